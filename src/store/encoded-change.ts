// Changes as bytes, the same on the disk and on their way to a backup: JSON, packed when it is long. A change
// keeps the bytes that it was read from or written to as long as it lives, so that neither is done twice. Changes
// are never altered.
import { deflateRawSync, inflateRawSync } from 'node:zlib';
import type { Document } from '../manifest/document.js';
import { DocumentText } from './document-text.js';
import type { State } from './state.js';

/** A change as bytes, and what reading it costs, in characters. */
export type EncodedChange = { readonly payload: Buffer; readonly cost: number };

const packedFrom = 64 * 1024;
const packed = 0;
/** What reading a change costs beside its characters. */
const costOfRecord = 1024;
const documentName = ',"document":';

const known = new WeakMap<State.Change, EncodedChange>();
/** The bytes of the change that brought a document. */
const origins = new WeakMap<Document, EncodedChange>();

const learn = (change: State.Change, codec: EncodedChange): void => {
  known.set(change, codec);
  if (change.kind === 'manifest') origins.set(change.document, codec);
};

const costOf = (text: string): number => text.length + costOfRecord;

const pack = (text: string): Buffer => {
  const plain = Buffer.from(text);
  if (plain.length < packedFrom) return plain;
  return Buffer.concat([Buffer.of(packed), deflateRawSync(plain, { level: 1 })]);
};

const unpack = (payload: Uint8Array): string => {
  const plain = payload[0] === packed ? inflateRawSync(payload.subarray(1)) : Buffer.from(payload);
  return plain.toString('utf8');
};

/** The text of a change; a document's part is written only once. */
const write = (change: State.Change): string => {
  if (change.kind !== 'manifest') return JSON.stringify(change);
  const { document, ...rest } = change;
  const text = DocumentText.take(document);
  return `${JSON.stringify(rest).slice(0, -1)}${documentName}${text}}`;
};

const read = (text: string): State.Change => {
  const change = JSON.parse(text) as State.Change;
  if (change.kind === 'manifest') {
    const { document, ...rest } = change;
    DocumentText.tell(document, text.length - JSON.stringify(rest).length - documentName.length);
  }
  return change;
};

const encoded = (change: State.Change): EncodedChange => {
  const found = known.get(change);
  if (found) return found;
  const text = write(change);
  const made = { payload: pack(text), cost: costOf(text) };
  learn(change, made);
  return made;
};

export const EncodedChange = {
  pack,
  /** The bytes of the change that brought a document, where they are still known. */
  originOf: (document: Document): EncodedChange | undefined => origins.get(document),
  /** Notes that a document differs from another one in its evacuations alone. */
  follow(document: Document, from: Document): void {
    const origin = origins.get(from);
    if (origin) origins.set(document, origin);
  },
  /** The bytes of a change and the cost of reading them. */
  encoded,
  /** The change that bytes hold. */
  decode(payload: Uint8Array): State.Change {
    const text = unpack(payload);
    const change = read(text);
    // A copy: the bytes may lie in a longer buffer, which would live as long.
    learn(change, { payload: Buffer.from(payload), cost: costOf(text) });
    return change;
  },
};
