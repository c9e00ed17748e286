// A term is the register's value: who is primary under which epoch, which cores are in sync, and
// which disks the cores are. Cores are known by their disks, so that an empty machine at an old
// address is never taken for the one that was there. Of two that were accepted, the newer is the one of the
// later forming, and within one forming that of the higher ballot: one with a higher epoch may have been
// accepted by too few, and never be chosen.
import { Epoch } from '../common/epoch.js';
import type { Frame } from '../wire/frame.js';
import { Ballot } from './ballot.js';

export type Term = Frame.Term;

export const Term = {
  majority: (term: Term): number => Math.floor(term.cores.length / 2) + 1,
  has: (term: Term, disk: string): boolean => term.cores.some((core) => core.disk === disk),
  isInSync: (term: Term, disk: string): boolean => term.inSync.includes(disk),
  core: (term: Term, disk: string): Frame.Core | undefined => term.cores.find((core) => core.disk === disk),
  next: (term: Term, change: Partial<Omit<Term, 'epoch'>>): Term => ({
    ...term,
    ...change,
    epoch: Epoch.after(term.epoch),
  }),
  compare: (a: Term, ballotOfA: Ballot, b: Term, ballotOfB: Ballot): number =>
    a.formed - b.formed || Ballot.compare(ballotOfA, ballotOfB),
  /** Whether two are the same value: same epoch, forming, primary, cores in sync and cores. */
  isSame: (a: Term, b: Term): boolean =>
    a === b ||
    (a.epoch === b.epoch &&
      a.formed === b.formed &&
      a.primary === b.primary &&
      a.inSync.length === b.inSync.length &&
      a.inSync.every((disk, index) => disk === b.inSync[index]) &&
      a.cores.length === b.cores.length &&
      a.cores.every((core, index) => core.disk === b.cores[index]?.disk)),
  text: (term: Term): string =>
    `epoch ${term.epoch}, primary ${Term.core(term, term.primary)?.node ?? term.primary}, in sync ${term.inSync
      .map((disk) => Term.core(term, disk)?.node ?? disk)
      .join(' ')}`,
};
