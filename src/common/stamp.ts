// A stamp is (epoch, revision), the order in which the whole system's states follow one another. A
// node never replaces what it holds by something with a lower or equal stamp.
import { Epoch } from './epoch.js';
import { Revision } from './revision.js';

export type Stamp = { readonly epoch: Epoch; readonly revision: Revision };

export const Stamp = {
  none: { epoch: Epoch.none, revision: Revision.none } as Stamp,
  of: (epoch: number, revision: number): Stamp => ({
    epoch: Epoch.of(epoch),
    revision: Revision.of(revision),
  }),
  compare: (a: Stamp, b: Stamp): number => a.epoch - b.epoch || a.revision - b.revision,
  isNewer: (a: Stamp, b: Stamp): boolean => Stamp.compare(a, b) > 0,
  isSame: (a: Stamp, b: Stamp): boolean => Stamp.compare(a, b) === 0,
  text: (stamp: Stamp): string => `${stamp.epoch}.${stamp.revision}`,
};
