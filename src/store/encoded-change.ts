/**
 * Changes as bytes: JSON, compressed when long. The bytes are the same on disk and on the way to a backup. A change
 * keeps the bytes that it was read from or written to for as long as it lives, so that neither is done twice. Changes
 * are immutable.
 */
import { deflateRawSync, inflateRawSync } from 'node:zlib';
import type { Document } from '../manifest/document.js';
import { DocumentText } from './document-text.js';
import type { State } from './state.js';

/** A change as bytes, and the cost of reading it, in characters. */
export type EncodedChange = { readonly payload: Buffer; readonly cost: number };

/** Changes of at least this length are compressed. */
const compressionMinimumBytes = 64 * 1024;
/** The first byte of a compressed payload; JSON never begins with it. */
const compressedMark = 0;
/** The cost of reading a change beside its characters. */
const recordCost = 1024;
const documentName = ',"document":';

const encodings = new WeakMap<State.Change, EncodedChange>();
/** The encoded change that a document came with. */
const origins = new WeakMap<Document, EncodedChange>();

const remember = (change: State.Change, encoding: EncodedChange): void => {
  encodings.set(change, encoding);
  if (change.kind === 'manifest') origins.set(change.document, encoding);
};

const costOf = (text: string): number => text.length + recordCost;

const compress = (text: string): Buffer => {
  const plain = Buffer.from(text);
  if (plain.length < compressionMinimumBytes) return plain;
  return Buffer.concat([Buffer.of(compressedMark), deflateRawSync(plain, { level: 1 })]);
};

const decompress = (payload: Uint8Array): string => {
  const plain = payload[0] === compressedMark ? inflateRawSync(payload.subarray(1)) : Buffer.from(payload);
  return plain.toString('utf8');
};

/** The JSON of a change; its document is serialized only once. */
const serialize = (change: State.Change): string => {
  if (change.kind !== 'manifest') return JSON.stringify(change);
  const { document, ...rest } = change;
  const text = DocumentText.serialize(document);
  return `${JSON.stringify(rest).slice(0, -1)}${documentName}${text}}`;
};

const parse = (text: string): State.Change => {
  const change = JSON.parse(text) as State.Change;
  if (change.kind === 'manifest') {
    const { document, ...rest } = change;
    DocumentText.setLength(document, text.length - JSON.stringify(rest).length - documentName.length);
  }
  return change;
};

const encode = (change: State.Change): EncodedChange => {
  const known = encodings.get(change);
  if (known) return known;
  const text = serialize(change);
  const encoding = { payload: compress(text), cost: costOf(text) };
  remember(change, encoding);
  return encoding;
};

/** Encodes and decodes changes, and remembers the bytes that documents came in. */
export const EncodedChange = {
  compress,
  /** The encoded change that a document came with, where it is still known. */
  originOf: (document: Document): EncodedChange | undefined => origins.get(document),
  /** Gives a document that differs from another one only in its evacuations the same origin. */
  copyOrigin(document: Document, from: Document): void {
    const origin = origins.get(from);
    if (origin) origins.set(document, origin);
  },
  /** The bytes of a change and the cost of reading them. */
  encode,
  /** The change that the bytes hold. */
  decode(payload: Uint8Array): State.Change {
    const text = decompress(payload);
    const change = parse(text);
    // Copies the bytes: they may be a slice of a longer buffer, which would otherwise stay in memory.
    remember(change, { payload: Buffer.from(payload), cost: costOf(text) });
    return change;
  },
};
