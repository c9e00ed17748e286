// The agreed order of those that may do a duty: the primary, the other cores in sync, the rest, as the
// newest term lists them. The first live one does it, under the term's epoch.
import type { Frame } from '../wire/frame.js';

export type DutyOrder = readonly string[];

export const DutyOrder = {
  of(term: Frame.Term): DutyOrder {
    const nodeOf = (disk: string) => term.cores.find((core) => core.disk === disk)?.node;
    const disks = [term.primary, ...term.inSync, ...term.cores.map((core) => core.disk)];
    return [...new Set(disks.map(nodeOf))].filter((node) => node !== undefined);
  },
  firstLive: (order: DutyOrder, isLive: (node: string) => boolean): string | undefined => order.find(isLive),
};
