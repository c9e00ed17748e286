// A tenure is the register's value: who is primary under which epoch, which cores are in sync, and
// which disks the cores are. Cores are known by their disks, so that an empty machine at an old
// address is never taken for the one that was there.
import { Epoch } from '../kinds/epoch.js';
import type { Frame } from '../wire/frame.js';

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
  text: (tenure: Tenure): string =>
    `epoch ${tenure.epoch}, primary ${Tenure.core(tenure, tenure.primary)?.node ?? tenure.primary}, in sync ${tenure.inSync
      .map((disk) => Tenure.core(tenure, disk)?.node ?? disk)
      .join(' ')}`,
};
