// The ranges and the bytes of the view that a feed holds, and both compressed, which views and patches travel as when
// both ends know it: made once for each view however many children ask. What is small is compressed at once.
import { promisify } from 'node:util';
import { deflate, deflateSync, inflateSync } from 'node:zlib';
import { Failure } from '../common/failure.js';
import { View } from '../manifest/view.js';
import type { Chunks } from './chunks.js';
import { Ranges } from './ranges.js';

export type ViewCache = { readonly ranges: () => Ranges };

const longest = 32 * 1024 * 1024;
const compressedFrom = 512;
const nothing = new Uint8Array();
const compress = promisify(deflate);

const kept: Readonly<Record<Chunks.Cut, WeakMap<View, Ranges>>> = {
  position: new WeakMap(),
  name: new WeakMap(),
};
const encoded = new WeakMap<View, Uint8Array>();
const compressed = new WeakMap<View, Promise<Uint8Array>>();
const small = new WeakMap<object, Uint8Array>();
type Made = {
  readonly byList: WeakMap<readonly string[], Ranges.Patch>;
  readonly byText: Map<string, Ranges.Patch>;
};
const patches: Readonly<Record<Chunks.Cut, WeakMap<View, Made>>> = {
  position: new WeakMap(),
  name: new WeakMap(),
};

const compressSmall = (owner: object, write: () => Uint8Array): Uint8Array => {
  const known = small.get(owner);
  if (known) return known;
  const bytes = write();
  const made = bytes.length < compressedFrom ? nothing : deflateSync(bytes, { level: 3 });
  small.set(owner, made);
  return made;
};
const expand = (bytes: Uint8Array): Buffer => {
  try {
    return inflateSync(bytes, { maxOutputLength: longest });
  } catch (cause) {
    throw Failure.of('frame', 'what was compressed cannot be read', { length: bytes.length }, cause);
  }
};

export const ViewCache = {
  ranges(view: View, cut: Chunks.Cut = 'name'): Ranges {
    const known = kept[cut].get(view);
    if (known) return known;
    const ranges = Ranges.ofPatchedView(view, cut) ?? Ranges.cut(view, cut);
    kept[cut].set(view, ranges);
    return ranges;
  },
  bytes(view: View): Uint8Array {
    const known = encoded.get(view);
    if (known) return known;
    const bytes = View.encode(view);
    encoded.set(view, bytes);
    return bytes;
  },
  compressed(view: View): Promise<Uint8Array> {
    const known = compressed.get(view);
    if (known) return known;
    const bytes = compress(ViewCache.bytes(view), { level: 1 });
    compressed.set(view, bytes);
    return bytes;
  },
  /** A small view compressed, or nothing where that is not worth it. */
  compressedSmall: (view: View): Uint8Array => compressSmall(view, () => ViewCache.bytes(view)),
  /** What changes of the view for one that holds these ranges in this order. */
  patch(view: View, held: readonly string[], cut: Chunks.Cut): Ranges.Patch {
    const made: Made = patches[cut].get(view) ?? { byList: new WeakMap(), byText: new Map() };
    patches[cut].set(view, made);
    const known = made.byList.get(held);
    if (known) return known;
    const text = held.join();
    const patch = made.byText.get(text) ?? Ranges.patch(ViewCache.ranges(view, cut), held, cut === 'name');
    made.byText.set(text, patch);
    made.byList.set(held, patch);
    return patch;
  },
  compressedPatch: (patch: Ranges.Patch): Uint8Array =>
    compressSmall(patch, () => Buffer.from(JSON.stringify(patch.ranges))),
  decodeView: ({
    view,
    compressed: bytes,
  }: {
    readonly view: Uint8Array;
    readonly compressed: Uint8Array;
  }): View => View.decode(bytes.length === 0 ? view : expand(bytes)),
  decodePatch({
    seal,
    ranges,
    compressed: bytes,
  }: Ranges.Patch & { readonly compressed: Uint8Array }): Ranges.Patch {
    if (bytes.length === 0) return { seal, ranges };
    const text = expand(bytes).toString('utf8');
    try {
      return { seal, ranges: JSON.parse(text) as Ranges.Patch['ranges'] };
    } catch (cause) {
      throw Failure.of('frame', 'a patch cannot be read', {}, cause);
    }
  },
};
