// The manifests that a state keeps, the newest last. Of them the newest ones hold the words that they were made
// from, the older ones do not, and long ones leave room for fewer. An older one is seldom asked for: it is held as
// the bytes in which it came, and read when somebody asks. Lists are never changed, only replaced.
import { Failure } from '../kinds/failure.js';
import type { Document } from '../manifest/document.js';
import { DocumentText } from './document-text.js';
import { EncodedChange } from './encoded-change.js';
import type { State } from './state.js';

/** Kept manifests, the newest last. */
export type Manifests = readonly State.Manifest[];

export declare namespace Manifests {
  /** How a kept document differs from the one that its change brought. */
  type Difference = {
    readonly evacuations?: Document['evacuations'];
    readonly hasSource: boolean;
  };
  /** A manifest whose document lies in the bytes of a change. */
  type Packed = Difference & {
    readonly manifest: Omit<State.Manifest, 'document'>;
    readonly origin: EncodedChange;
  };
}

const keptManifests = 32;
const keptWithSource = 2;
const keptLength = 2 * 1024 * 1024;

/** What is known of manifests that are held as bytes. */
const packedOnes = new WeakMap<State.Manifest, Manifests.Packed>();

const differenceOf = ({ evacuations, source }: Document): Manifests.Difference => ({
  hasSource: source !== undefined,
  ...(evacuations ? { evacuations } : {}),
});

/** The document that is kept, its fields in the order in which they came. */
const restore = (document: Document, { evacuations, hasSource }: Manifests.Difference): Document => {
  if (hasSource && !document.source) throw Failure.of('store', 'damaged snapshot: a source is missing');
  const restored: { -readonly [K in keyof Document]: Document[K] } = { ...document };
  if (!hasSource) delete restored.source;
  if (evacuations) restored.evacuations = evacuations;
  else delete restored.evacuations;
  return restored;
};

/** The document in a packed manifest, read anew. */
const read = ({ origin, ...difference }: Manifests.Packed): Document => {
  const change = EncodedChange.decode(origin.payload);
  if (change.kind !== 'manifest') throw Failure.of('store', 'damaged snapshot: a part holds no manifest');
  const document = restore(change.document, difference);
  EncodedChange.follow(document, change.document);
  return document;
};

const unpack = (packed: Manifests.Packed): State.Manifest => ({ ...packed.manifest, document: read(packed) });

/** A manifest that reads its document whenever it is asked for. */
const hold = (packed: Manifests.Packed): State.Manifest => {
  const manifest: State.Manifest = {
    ...packed.manifest,
    get document() {
      return read(packed);
    },
  };
  packedOnes.set(manifest, packed);
  return manifest;
};

/** A manifest as a change would bring it, for one that came with others. */
const pack = ({ document, ...manifest }: State.Manifest): Manifests.Packed => {
  const { epoch, revision, by, at } = manifest;
  const stamp = { epoch, revision };
  const make = () =>
    EncodedChange.encoded({ kind: 'manifest', stamp, document, by, at, what: '', teams: [] });
  return { manifest, origin: EncodedChange.originOf(document) ?? make(), ...differenceOf(document) };
};

/** An older manifest: without its source, and as bytes where they are at hand. */
const age = (manifest: State.Manifest): State.Manifest => {
  if (packedOnes.has(manifest)) return manifest;
  const { document, ...rest } = manifest;
  const length = manifest.length ?? DocumentText.measure(document);
  const origin = EncodedChange.originOf(document);
  if (origin)
    return hold({ manifest: { ...rest, length }, origin, ...differenceOf(document), hasSource: false });
  const { source: _source, ...withoutSource } = document;
  return { ...rest, length, document: withoutSource as Document };
};

/** What is kept of a list: so many, and of the older ones so many characters. */
const prune = (all: Manifests): Manifests => {
  const manifests = all.slice(-keptManifests);
  let length = 0;
  for (let index = manifests.length - keptWithSource - 1; index >= 0; index -= 1) {
    const manifest = age(manifests[index]!);
    length += manifest.length!;
    if (length > keptLength) return manifests.slice(index + 1);
    manifests[index] = manifest;
  }
  return manifests;
};

export const Manifests = {
  /** The list with a newer manifest at its end. */
  add: (manifests: Manifests, manifest: State.Manifest): Manifests => prune([...manifests, manifest]),
  /** Each manifest with the bytes that hold its document. */
  pack: (manifest: State.Manifest): Manifests.Packed => packedOnes.get(manifest) ?? pack(manifest),
  /** The list of packed manifests: the newest are read at once, the older ones when they are asked for. */
  unpack: (all: readonly Manifests.Packed[]): Manifests =>
    all.map((packed, index) => (index < all.length - keptWithSource ? hold(packed) : unpack(packed))),
};
