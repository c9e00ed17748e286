/**
 * The manifests that a state keeps, the newest last. Only the newest ones keep their source, the text that they were
 * made from; long ones reduce how many older ones are kept. An older manifest is rarely read: it is held as the bytes
 * in which it came, and decoded on access. Lists are immutable.
 */
import { Failure } from '../common/failure.js';
import type { Document } from '../manifest/document.js';
import { DocumentText } from './document-text.js';
import { EncodedChange } from './encoded-change.js';
import type { State } from './state.js';

/** The kept manifests, the newest last. */
export type Manifests = readonly State.Manifest[];

export declare namespace Manifests {
  /** How a kept document differs from the document of the change that it came with. */
  type Difference = {
    readonly evacuations?: Document['evacuations'];
    readonly hasSource: boolean;
  };
  /** A manifest whose document is in an encoded change. */
  type Packed = Difference & {
    readonly manifest: Omit<State.Manifest, 'document'>;
    readonly origin: EncodedChange;
  };
}

const maxManifests = 32;
const maxWithSource = 2;
/** Limit on the older manifests together, in characters of JSON. */
const maxOlderLength = 2 * 1024 * 1024;

/** The packed form of the manifests that are held as bytes. */
const packedManifests = new WeakMap<State.Manifest, Manifests.Packed>();

const differenceOf = ({ evacuations, source }: Document): Manifests.Difference => ({
  hasSource: source !== undefined,
  ...(evacuations ? { evacuations } : {}),
});

/** The kept document, made from that of its change, with the fields in their original order. */
const restore = (document: Document, { evacuations, hasSource }: Manifests.Difference): Document => {
  if (hasSource && !document.source) throw Failure.of('store', 'damaged snapshot: a source is missing');
  const restored: { -readonly [K in keyof Document]: Document[K] } = { ...document };
  if (!hasSource) delete restored.source;
  if (evacuations) restored.evacuations = evacuations;
  else delete restored.evacuations;
  return restored;
};

/** Decodes the document of a packed manifest. */
const decode = ({ origin, ...difference }: Manifests.Packed): Document => {
  const change = EncodedChange.decode(origin.payload);
  if (change.kind !== 'manifest') throw Failure.of('store', 'damaged snapshot: a part holds no manifest');
  const document = restore(change.document, difference);
  EncodedChange.copyOrigin(document, change.document);
  return document;
};

const unpack = (packed: Manifests.Packed): State.Manifest => ({
  ...packed.manifest,
  document: decode(packed),
});

/** A manifest that decodes its document on each access. */
const lazyManifest = (packed: Manifests.Packed): State.Manifest => {
  const manifest: State.Manifest = {
    ...packed.manifest,
    get document() {
      return decode(packed);
    },
  };
  packedManifests.set(manifest, packed);
  return manifest;
};

/** Packs a manifest; one whose origin is not known is encoded as a change of its own. */
const pack = ({ document, ...manifest }: State.Manifest): Manifests.Packed => {
  const { epoch, revision, by, at } = manifest;
  const stamp = { epoch, revision };
  const encode = () =>
    EncodedChange.encode({ kind: 'manifest', stamp, document, by, at, what: '', teams: [] });
  return { manifest, origin: EncodedChange.originOf(document) ?? encode(), ...differenceOf(document) };
};

/** The form in which older manifests are kept: without the source, and as bytes where those are known. */
const shrink = (manifest: State.Manifest): State.Manifest => {
  if (packedManifests.has(manifest)) return manifest;
  const { document, ...rest } = manifest;
  const length = manifest.length ?? DocumentText.measure(document);
  const origin = EncodedChange.originOf(document);
  if (origin)
    return lazyManifest({
      manifest: { ...rest, length },
      origin,
      ...differenceOf(document),
      hasSource: false,
    });
  const { source: _source, ...withoutSource } = document;
  return { ...rest, length, document: withoutSource as Document };
};

/** Limits the number of manifests and the total length of the older ones. */
const prune = (all: Manifests): Manifests => {
  const manifests = all.slice(-maxManifests);
  let length = 0;
  for (let index = manifests.length - maxWithSource - 1; index >= 0; index -= 1) {
    const manifest = shrink(manifests[index]!);
    length += manifest.length!;
    if (length > maxOlderLength) return manifests.slice(index + 1);
    manifests[index] = manifest;
  }
  return manifests;
};

/** Extends, packs and unpacks lists of kept manifests. */
export const Manifests = {
  /** The list with a newer manifest added at its end. */
  add: (manifests: Manifests, manifest: State.Manifest): Manifests => prune([...manifests, manifest]),
  /** A manifest with the bytes that hold its document. */
  pack: (manifest: State.Manifest): Manifests.Packed => packedManifests.get(manifest) ?? pack(manifest),
  /** A list from packed manifests: the newest are decoded at once, the older ones on access. */
  unpack: (all: readonly Manifests.Packed[]): Manifests =>
    all.map((packed, index) => (index < all.length - maxWithSource ? lazyManifest(packed) : unpack(packed))),
};
