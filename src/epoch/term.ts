/**
 * A term is the register's value: which core is primary under which epoch, which cores are in sync, and which disks
 * belong to the cores. Cores are identified by their disks, so that an empty machine at a known address is not taken
 * for the one that was there before.
 *
 * Of two accepted terms, the newer one is that of the later forming and, within one forming, that of the higher
 * ballot. The epoch does not decide: a term with a higher epoch may have been accepted by too few cores and never be
 * chosen.
 */
import { Epoch } from '../common/epoch.js';
import type { Frame } from '../wire/frame.js';
import { Ballot } from './ballot.js';

/** The value of the register. */
export type Term = Frame.Term;

/** Questions about terms, and their successors. */
export const Term = {
  /** How many of a term's cores make a majority. */
  majority: (term: Term): number => Math.floor(term.cores.length / 2) + 1,
  has: (term: Term, disk: string): boolean => term.cores.some((core) => core.disk === disk),
  isInSync: (term: Term, disk: string): boolean => term.inSync.includes(disk),
  core: (term: Term, disk: string): Frame.Core | undefined => term.cores.find((core) => core.disk === disk),
  /** A changed term under the next epoch. */
  next: (term: Term, change: Partial<Omit<Term, 'epoch'>>): Term => ({
    ...term,
    ...change,
    epoch: Epoch.after(term.epoch),
  }),
  /** Orders accepted terms by forming, then by ballot. */
  compare: (a: Term, ballotOfA: Ballot, b: Term, ballotOfB: Ballot): number =>
    a.formed - b.formed || Ballot.compare(ballotOfA, ballotOfB),
  /** Whether two terms have the same epoch, forming, primary, in-sync set and cores. */
  isSame: (a: Term, b: Term): boolean =>
    a === b ||
    (a.epoch === b.epoch &&
      a.formed === b.formed &&
      a.primary === b.primary &&
      a.inSync.length === b.inSync.length &&
      a.inSync.every((disk, index) => disk === b.inSync[index]) &&
      a.cores.length === b.cores.length &&
      a.cores.every((core, index) => core.disk === b.cores[index]?.disk)),
  /** A term as operators read it in the log. */
  text: (term: Term): string =>
    `epoch ${term.epoch}, primary ${Term.core(term, term.primary)?.node ?? term.primary}, in sync ${term.inSync
      .map((disk) => Term.core(term, disk)?.node ?? disk)
      .join(' ')}`,
};
