/** Versions of the replicated state, ordered across changes of primary. */
import { Epoch } from './epoch.js';
import { Revision } from './revision.js';

/**
 * A pair of epoch and revision that orders all states of the system, by epoch first. A node never replaces the state it
 * holds by one with a lower or equal stamp.
 */
export type Stamp = { readonly epoch: Epoch; readonly revision: Revision };

/** Creates, compares and formats stamps. */
export const Stamp = {
  none: { epoch: Epoch.none, revision: Revision.none } as Stamp,
  of: (epoch: number, revision: number): Stamp => ({
    epoch: Epoch.of(epoch),
    revision: Revision.of(revision),
  }),
  /** Negative, zero or positive, as for `Array.sort`. */
  compare: (a: Stamp, b: Stamp): number => a.epoch - b.epoch || a.revision - b.revision,
  isNewer: (a: Stamp, b: Stamp): boolean => Stamp.compare(a, b) > 0,
  isSame: (a: Stamp, b: Stamp): boolean => Stamp.compare(a, b) === 0,
  text: (stamp: Stamp): string => `${stamp.epoch}.${stamp.revision}`,
};
