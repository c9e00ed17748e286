/**
 * The term that a core takes to be in force. Terms are ordered as in the register, by the later forming first and then
 * by the higher ballot, and never by the epoch, which too few cores may have accepted.
 */

import { Ballot } from '../../epoch/ballot.js';
import { Term } from '../../epoch/term.js';

/** The newest term that a core knows. */
export type KnownTerm = {
  /** The newest known term. */
  readonly term: () => Term | undefined;
  /** Replaces the known term if this one is newer. */
  readonly learn: (term: Term | null | undefined, ballot: Ballot) => void;
};

/** Creates the known term of a core. */
export const KnownTerm = {
  /** `onChange` is called when the newly known term has another epoch or another primary. */
  of(onChange: (term: Term) => void): KnownTerm {
    let known: Term | undefined;
    let knownBallot = Ballot.none;
    return {
      term: () => known,
      learn(term, ballot) {
        if (!term || (known && Term.compare(term, ballot, known, knownBallot) <= 0)) return;
        const isChanged = term.epoch !== known?.epoch || term.primary !== known.primary;
        known = term;
        knownBallot = ballot;
        if (isChanged) onChange(term);
      },
    };
  },
};
