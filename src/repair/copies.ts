// The ranges and the bytes of the view that a feed holds, made once for each view however many children ask,
// and the bytes compressed, which a whole view travels as when both ends know it.
import { promisify } from 'node:util';
import { deflate, inflateSync } from 'node:zlib';
import { Failure } from '../kinds/failure.js';
import { View } from '../manifest/view.js';
import type { Chunks } from './chunks.js';
import { Ranges } from './ranges.js';

export type Copies = { readonly ranges: () => Ranges };

const longest = 32 * 1024 * 1024;
const compress = promisify(deflate);

const kept: Readonly<Record<Chunks.Cut, WeakMap<View, Ranges>>> = {
  position: new WeakMap(),
  name: new WeakMap(),
};
const encoded = new WeakMap<View, Uint8Array>();
const compressed = new WeakMap<View, Promise<Uint8Array>>();

export const Copies = {
  of(view: View, cut: Chunks.Cut = 'name'): Ranges {
    const known = kept[cut].get(view);
    if (known) return known;
    const ranges = Ranges.cut(view, cut);
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
    const bytes = compress(Copies.bytes(view), { level: 1 });
    compressed.set(view, bytes);
    return bytes;
  },
  read({ view, compressed: bytes }: { readonly view: Uint8Array; readonly compressed: Uint8Array }): View {
    if (bytes.length === 0) return View.decode(view);
    try {
      return View.decode(inflateSync(bytes, { maxOutputLength: longest }));
    } catch (cause) {
      throw Failure.of('frame', 'compressed view cannot be read', { length: bytes.length }, cause);
    }
  },
};
