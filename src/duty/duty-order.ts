/**
 * Order of succession for a duty, which all cores derive from the newest term: the primary, then the other in-sync cores, then
 * the rest. The first live core holds the duty, under the epoch of the term.
 */
import type { Frame } from '../wire/frame.js';

/** Nodes in order of succession. */
export type DutyOrder = readonly string[];

/** Derives the order from a term. */
export const DutyOrder = {
  of(term: Frame.Term): DutyOrder {
    const nodeOf = (disk: string) => term.cores.find((core) => core.disk === disk)?.node;
    const disks = [term.primary, ...term.inSync, ...term.cores.map((core) => core.disk)];
    return [...new Set(disks.map(nodeOf))].filter((node) => node !== undefined);
  },
  /** The first live node of the order. */
  firstLive: (order: DutyOrder, isLive: (node: string) => boolean): string | undefined => order.find(isLive),
};
