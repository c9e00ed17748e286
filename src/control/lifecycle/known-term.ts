// The term that a core takes for the one in force. It goes by the order of the register, the later forming
// first and then the higher ballot, and never by the epoch, which too few may have accepted.
import { Ballot } from '../../epoch/ballot.js';
import { Term } from '../../epoch/term.js';

export type KnownTerm = {
  readonly term: () => Term | undefined;
  /** Takes a term that goes before the one known. */
  readonly learn: (term: Term | null | undefined, ballot: Ballot) => void;
};

export const KnownTerm = {
  /** `onOther` is called when the newly known term has another epoch or another primary. */
  of(onOther: (term: Term) => void): KnownTerm {
    let known: Term | undefined;
    let knownBallot = Ballot.none;
    return {
      term: () => known,
      learn(term, ballot) {
        if (!term || (known && Term.compare(term, ballot, known, knownBallot) <= 0)) return;
        const isOther = term.epoch !== known?.epoch || term.primary !== known.primary;
        known = term;
        knownBallot = ballot;
        if (isOther) onOther(term);
      },
    };
  },
};
