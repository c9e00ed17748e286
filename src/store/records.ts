/**
 * The file format of the store: a sequence of records, each made of the payload's length, a CRC-32 of that length, a
 * CRC-32 of the payload, and the payload. A record torn at the very end of the file, in its header or in its payload,
 * was never acknowledged and is cut off. Damage with a whole record after it makes the whole copy untrusted, as
 * nothing vouches for the records that follow.
 */
import { crc32 } from 'node:zlib';
import { Failure } from '../common/failure.js';

/** The payloads of a file's whole records, and the length in bytes of the part that holds them. */
export type Records = { readonly payloads: readonly Buffer[]; readonly length: number };

/** Three 32-bit integers: length, CRC-32 of the length, CRC-32 of the payload. */
const headerBytes = 12;

/** Whether only zeros are left, as some file systems leave them after a crash. */
const isBlank = (bytes: Buffer): boolean => bytes.every((byte) => byte === 0);

/** Whether a whole record lies anywhere after a damaged header. */
const hasLaterRecord = (bytes: Buffer): boolean => {
  for (let start = 1; start + headerBytes <= bytes.length; start += 1) {
    const length = bytes.readUInt32BE(start);
    const end = start + headerBytes + length;
    if (length === 0 || end > bytes.length) continue;
    if (crc32(bytes.subarray(start, start + 4)) !== bytes.readUInt32BE(start + 4)) continue;
    if (crc32(bytes.subarray(start + headerBytes, end)) === bytes.readUInt32BE(start + 8)) return true;
  }
  return false;
};

/** Encodes and decodes records. */
export const Records = {
  /** A payload as a record. */
  encode(payload: Uint8Array): Buffer {
    const bytes = Buffer.allocUnsafe(headerBytes + payload.length);
    bytes.writeUInt32BE(payload.length, 0);
    bytes.writeUInt32BE(crc32(bytes.subarray(0, 4)), 4);
    bytes.writeUInt32BE(crc32(payload), 8);
    bytes.set(payload, headerBytes);
    return bytes;
  },
  /** The whole records of a file; throws if a record that may have been acknowledged is damaged. */
  decode(bytes: Buffer): Records {
    const payloads: Buffer[] = [];
    let offset = 0;
    while (offset < bytes.length) {
      const rest = bytes.subarray(offset);
      if (rest.length < headerBytes || isBlank(rest)) break;
      const length = rest.readUInt32BE(0);
      if (crc32(rest.subarray(0, 4)) !== rest.readUInt32BE(4)) {
        if (!hasLaterRecord(rest)) break;
        throw Failure.of('store', 'damaged record', { offset });
      }
      if (rest.length < headerBytes + length) break;
      const payload = rest.subarray(headerBytes, headerBytes + length);
      if (crc32(payload) !== rest.readUInt32BE(8)) {
        if (rest.length === headerBytes + length) break;
        throw Failure.of('store', 'damaged record', { offset });
      }
      payloads.push(payload);
      offset += headerBytes + length;
    }
    return { payloads, length: offset };
  },
};
