// The bytes of the file: each record is its length, a checksum of that length, a checksum of the
// payload, and the payload. A record torn at the very end, in its head or its
// payload, was never acknowledged and is cut off; damage with a whole record after it makes the whole copy
// untrusted, for what follows it can't be vouched for.
import { crc32 } from 'node:zlib';
import { Failure } from '../common/failure.js';

/** The payloads of a file's whole records, and the length up to which it holds them. */
export type Records = { readonly payloads: readonly Buffer[]; readonly length: number };

const head = 12;

/** Whether nothing but zeros is left, as some file systems leave them. */
const isBlank = (bytes: Buffer): boolean => bytes.every((byte) => byte === 0);

/** Whether a whole record lies anywhere after a damaged head. */
const isFollowed = (bytes: Buffer): boolean => {
  for (let start = 1; start + head <= bytes.length; start += 1) {
    const length = bytes.readUInt32BE(start);
    const end = start + head + length;
    if (length === 0 || end > bytes.length) continue;
    if (crc32(bytes.subarray(start, start + 4)) !== bytes.readUInt32BE(start + 4)) continue;
    if (crc32(bytes.subarray(start + head, end)) === bytes.readUInt32BE(start + 8)) return true;
  }
  return false;
};

export const Records = {
  /** A payload as a record. */
  encode(payload: Uint8Array): Buffer {
    const bytes = Buffer.allocUnsafe(head + payload.length);
    bytes.writeUInt32BE(payload.length, 0);
    bytes.writeUInt32BE(crc32(bytes.subarray(0, 4)), 4);
    bytes.writeUInt32BE(crc32(payload), 8);
    bytes.set(payload, head);
    return bytes;
  },
  /** The whole records of a file; throws where one is damaged that was acknowledged. */
  decode(bytes: Buffer): Records {
    const payloads: Buffer[] = [];
    let offset = 0;
    while (offset < bytes.length) {
      const rest = bytes.subarray(offset);
      if (rest.length < head || isBlank(rest)) break;
      const length = rest.readUInt32BE(0);
      if (crc32(rest.subarray(0, 4)) !== rest.readUInt32BE(4)) {
        if (!isFollowed(rest)) break;
        throw Failure.of('store', 'damaged record', { offset });
      }
      if (rest.length < head + length) break;
      const payload = rest.subarray(head, head + length);
      if (crc32(payload) !== rest.readUInt32BE(8)) {
        if (rest.length === head + length) break;
        throw Failure.of('store', 'damaged record', { offset });
      }
      payloads.push(payload);
      offset += head + length;
    }
    return { payloads, length: offset };
  },
};
