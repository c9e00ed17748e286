// A tenure is the register's value: who is primary under which epoch, which cores are in sync, and
// which disks the cores are. Cores are known by their disks, so that an empty machine at an old
// address is never taken for the one that was there. Of two that were accepted, the newer is the one of the
// later forming, and within one forming that of the higher ballot: one with a higher epoch may have been
// accepted by too few, and never be chosen.
import { Epoch } from '../kinds/epoch.js';
import type { Frame } from '../wire/frame.js';
import { Ballot } from './ballot.js';

export type Tenure = Frame.Tenure;

export const Tenure = {
  majority: (tenure: Tenure): number => Math.floor(tenure.cores.length / 2) + 1,
  has: (tenure: Tenure, disk: string): boolean => tenure.cores.some((core) => core.disk === disk),
  isInSync: (tenure: Tenure, disk: string): boolean => tenure.inSync.includes(disk),
  core: (tenure: Tenure, disk: string): Frame.Core | undefined =>
    tenure.cores.find((core) => core.disk === disk),
  next: (tenure: Tenure, change: Partial<Omit<Tenure, 'epoch'>>): Tenure => ({
    ...tenure,
    ...change,
    epoch: Epoch.after(tenure.epoch),
  }),
  compare: (a: Tenure, ballotOfA: Ballot, b: Tenure, ballotOfB: Ballot): number =>
    a.formed - b.formed || Ballot.compare(ballotOfA, ballotOfB),
  text: (tenure: Tenure): string =>
    `epoch ${tenure.epoch}, primary ${Tenure.core(tenure, tenure.primary)?.node ?? tenure.primary}, in sync ${tenure.inSync
      .map((disk) => Tenure.core(tenure, disk)?.node ?? disk)
      .join(' ')}`,
};
