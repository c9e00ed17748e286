/**
 * Keeps the ranges and the encoded bytes of a view, and both in compressed form, in which views and patches are sent
 * when both ends support it. Each is made once per view however many children ask. Small ones are compressed
 * synchronously.
 */
import { promisify } from 'node:util';
import { deflate, deflateSync, inflateSync } from 'node:zlib';
import { Failure } from '../common/failure.js';
import { View } from '../manifest/view.js';
import type { Chunks } from './chunks.js';
import { Ranges } from './ranges.js';

/** The cached ranges of a view. */
export type ViewCache = { readonly ranges: () => Ranges };

/** Largest accepted size after decompression (32 MiB), the size limit of a frame. */
const maxExpandedBytes = 32 * 1024 * 1024;
/** Below this size nothing is compressed. */
const minCompressedInputBytes = 512;
const empty = new Uint8Array();
const compress = promisify(deflate);

const rangeCache: Readonly<Record<Chunks.Cut, WeakMap<View, Ranges>>> = {
  position: new WeakMap(),
  name: new WeakMap(),
};
const encodedViews = new WeakMap<View, Uint8Array>();
const compressed = new WeakMap<View, Promise<Uint8Array>>();
const compressedSmallValues = new WeakMap<object, Uint8Array>();
type PatchCache = {
  readonly byList: WeakMap<readonly string[], Ranges.Patch>;
  readonly byText: Map<string, Ranges.Patch>;
};
const patchCaches: Readonly<Record<Chunks.Cut, WeakMap<View, PatchCache>>> = {
  position: new WeakMap(),
  name: new WeakMap(),
};

const compressSmall = (owner: object, write: () => Uint8Array): Uint8Array => {
  const known = compressedSmallValues.get(owner);
  if (known) return known;
  const bytes = write();
  const made = bytes.length < minCompressedInputBytes ? empty : deflateSync(bytes, { level: 3 });
  compressedSmallValues.set(owner, made);
  return made;
};
const decompress = (bytes: Uint8Array): Buffer => {
  try {
    return inflateSync(bytes, { maxOutputLength: maxExpandedBytes });
  } catch (cause) {
    throw Failure.of('frame', 'compressed data cannot be read', { length: bytes.length }, cause);
  }
};

/** Makes and caches the forms of a view, and decodes received ones. */
export const ViewCache = {
  ranges(view: View, cut: Chunks.Cut = 'name'): Ranges {
    const known = rangeCache[cut].get(view);
    if (known) return known;
    const ranges = Ranges.ofPatchedView(view, cut) ?? Ranges.cut(view, cut);
    rangeCache[cut].set(view, ranges);
    return ranges;
  },
  bytes(view: View): Uint8Array {
    const known = encodedViews.get(view);
    if (known) return known;
    const bytes = View.encode(view);
    encodedViews.set(view, bytes);
    return bytes;
  },
  compressed(view: View): Promise<Uint8Array> {
    const known = compressed.get(view);
    if (known) return known;
    const bytes = compress(ViewCache.bytes(view), { level: 1 });
    compressed.set(view, bytes);
    return bytes;
  },
  /** A small view compressed; empty when it is too small to gain from that. */
  compressedSmall: (view: View): Uint8Array => compressSmall(view, () => ViewCache.bytes(view)),
  /** The patch to the view for a holder of these ranges in this order. */
  patch(view: View, held: readonly string[], cut: Chunks.Cut): Ranges.Patch {
    const made: PatchCache = patchCaches[cut].get(view) ?? { byList: new WeakMap(), byText: new Map() };
    patchCaches[cut].set(view, made);
    const known = made.byList.get(held);
    if (known) return known;
    const text = held.join();
    const patch = made.byText.get(text) ?? Ranges.patch(ViewCache.ranges(view, cut), held, cut === 'name');
    made.byText.set(text, patch);
    made.byList.set(held, patch);
    return patch;
  },
  /** The ranges of a patch compressed; empty when they are too small to gain from that. */
  compressedPatch: (patch: Ranges.Patch): Uint8Array =>
    compressSmall(patch, () => Buffer.from(JSON.stringify(patch.ranges))),
  decodeView: ({
    view,
    compressed: bytes,
  }: {
    readonly view: Uint8Array;
    readonly compressed: Uint8Array;
  }): View => View.decode(bytes.length === 0 ? view : decompress(bytes)),
  decodePatch({
    seal,
    ranges,
    compressed: bytes,
  }: Ranges.Patch & { readonly compressed: Uint8Array }): Ranges.Patch {
    if (bytes.length === 0) return { seal, ranges };
    const text = decompress(bytes).toString('utf8');
    try {
      return { seal, ranges: JSON.parse(text) as Ranges.Patch['ranges'] };
    } catch (cause) {
      throw Failure.of('frame', 'patch cannot be read', {}, cause);
    }
  },
};
