// What a core's part of the register keeps, and the rules by which it changes: pure functions from what
// is kept and what is asked to what has to be kept (and synced) before the answer, or to a refusal.
import { Epoch } from '../kinds/epoch.js';
import { Ballot } from './ballot.js';
import { Term } from './term.js';

/** What is kept on the disk of one core. */
export type Acceptor = {
  readonly disk: string;
  readonly promised: Ballot;
  readonly accepted: Ballot;
  readonly term: Term | null;
  /** The epoch below which nothing is taken from a primary; kept with the next record that is written. */
  readonly floor: Epoch;
};

export const Acceptor = {
  /** The record to keep before a promise is given, or nothing if it is refused. A blank core promises nothing. */
  prepare(kept: Acceptor, ballot: Ballot, isForming: boolean): Acceptor | undefined {
    if (kept.term === null && !isForming) return undefined;
    if (Ballot.compare(ballot, kept.promised) <= 0) return undefined;
    return { ...kept, promised: ballot };
  },
  /**
   * The record to keep before a term is accepted, or nothing if it is refused: by a core that the term does
   * not list, by a blank core unless the term is chosen, below the ballot promised, and for a term of an
   * earlier forming than the one accepted, whatever its ballot.
   */
  accept(kept: Acceptor, ballot: Ballot, term: Term, isChosen: boolean): Acceptor | undefined {
    if (kept.term === null && !isChosen) return undefined;
    if (!Term.has(term, kept.disk)) return undefined;
    if (kept.term !== null && term.formed < kept.term.formed) return undefined;
    if (Ballot.compare(ballot, kept.promised) < 0) return undefined;
    if (Ballot.compare(ballot, kept.accepted) === 0) return kept;
    const floor = Epoch.of(Math.max(term.epoch, kept.floor));
    return { ...kept, promised: ballot, accepted: ballot, term, floor };
  },
  /** The floor raised to an epoch; it never falls. */
  raiseFloor: (kept: Acceptor, epoch: Epoch): Acceptor =>
    epoch > kept.floor ? { ...kept, floor: epoch } : kept,
};
