// The ranges of the view that a feed holds, cut once for each view.
import type { View } from '../manifest/view.js';
import { Ranges } from './ranges.js';

export type Copies = { readonly ranges: () => Ranges };

const kept = new WeakMap<View, Ranges>();

export const Copies = {
  of(view: View): Ranges {
    const known = kept.get(view);
    if (known) return known;
    const ranges = Ranges.cut(view);
    kept.set(view, ranges);
    return ranges;
  },
};
