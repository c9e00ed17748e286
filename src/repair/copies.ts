// The ranges and the bytes of the view that a feed holds, made once for each view however many children ask.
import { View } from '../manifest/view.js';
import { Ranges } from './ranges.js';

export type Copies = { readonly ranges: () => Ranges };

const kept = new WeakMap<View, Ranges>();
const encoded = new WeakMap<View, Uint8Array>();

export const Copies = {
  of(view: View): Ranges {
    const known = kept.get(view);
    if (known) return known;
    const ranges = Ranges.cut(view);
    kept.set(view, ranges);
    return ranges;
  },
  bytes(view: View): Uint8Array {
    const known = encoded.get(view);
    if (known) return known;
    const bytes = View.encode(view);
    encoded.set(view, bytes);
    return bytes;
  },
};
