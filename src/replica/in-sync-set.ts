/**
 * Selection of the in-sync set: which member replaces a backup that does not confirm. A member of the set is replaced,
 * never just removed, and only cores that hold the state are added.
 */
import { Term } from '../epoch/term.js';

/** The disks in sync, by name. */
export type InSyncSet = readonly string[];

/** Selects in-sync sets, as a pure function of the term and of the disks that hold the state. */
export const InSyncSet = {
  /** Whether the set is large enough to tolerate the given number of losses. */
  isLargeEnough: (term: Term, losses: number): boolean => term.inSync.length > losses,
  /** The next set, with current backups that hold the state first; undefined while too few disks hold it. */
  choose(
    primary: string,
    backups: readonly string[],
    holders: ReadonlySet<string>,
    losses: number,
  ): InSyncSet | undefined {
    const candidates = [...new Set([...backups, ...holders])].filter((disk) => holders.has(disk));
    const chosen = candidates.slice(0, losses);
    return chosen.length === losses ? [primary, ...chosen] : undefined;
  },
  /** The next term with this in-sync set; undefined if a disk of the set is no longer one of the cores. */
  swap: (term: Term, inSync: InSyncSet): Term | undefined =>
    inSync.every((disk) => Term.has(term, disk)) ? Term.next(term, { inSync }) : undefined,
};
