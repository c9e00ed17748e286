// The agreed order of those that may do a duty: the primary, the other cores in sync, the rest, as the
// newest tenure lists them. The first live one does it, under the tenure's epoch.
import type { Frame } from '../wire/frame.js';

export type Order = readonly string[];

export const Order = {
  of(tenure: Frame.Tenure): Order {
    const nodeOf = (disk: string) => tenure.cores.find((core) => core.disk === disk)?.node;
    const disks = [tenure.primary, ...tenure.inSync, ...tenure.cores.map((core) => core.disk)];
    return [...new Set(disks.map(nodeOf))].filter((node) => node !== undefined);
  },
  first: (order: Order, isLive: (node: string) => boolean): string | undefined => order.find(isLive),
};
