/**
 * The acceptor of the register (Paxos): the state that one core keeps on its disk, and the rules by
 * which it changes. All functions are pure. They return the state that has to be written and synced before the
 * request is answered, or undefined where the request is refused.
 */
import { Epoch } from '../common/epoch.js';
import { Ballot } from './ballot.js';
import { Term } from './term.js';

/** The register state that one core keeps on its disk. */
export type Acceptor = {
  readonly disk: string;
  readonly promised: Ballot;
  readonly accepted: Ballot;
  readonly term: Term | null;
  /** Requests of a primary with an epoch below this one are refused. Written with the next record. */
  readonly floor: Epoch;
};

/** The rules for promises, accepted terms and the epoch floor. */
export const Acceptor = {
  /**
   * The state to persist before a ballot is promised, or undefined if it is refused. A blank core promises a ballot
   * only while the cores are forming.
   */
  prepare(state: Acceptor, ballot: Ballot, isForming: boolean): Acceptor | undefined {
    if (state.term === null && !isForming) return undefined;
    if (Ballot.compare(ballot, state.promised) <= 0) return undefined;
    return { ...state, promised: ballot };
  },
  /**
   * The state to persist before a term is accepted, or undefined if it is refused: when the term does not list
   * this core's disk, when the core is blank and the term is not known to be chosen, when the ballot is below the
   * promised one, and, whatever its ballot, when the term belongs to an earlier forming than the accepted one.
   */
  accept(state: Acceptor, ballot: Ballot, term: Term, isChosen: boolean): Acceptor | undefined {
    if (state.term === null && !isChosen) return undefined;
    if (!Term.has(term, state.disk)) return undefined;
    if (state.term !== null && term.formed < state.term.formed) return undefined;
    if (Ballot.compare(ballot, state.promised) < 0) return undefined;
    if (Ballot.compare(ballot, state.accepted) === 0) return state;
    const floor = Epoch.of(Math.max(term.epoch, state.floor));
    return { ...state, promised: ballot, accepted: ballot, term, floor };
  },
  /** The state with its floor raised to at least an epoch; the floor never decreases. */
  raiseFloor: (state: Acceptor, epoch: Epoch): Acceptor =>
    epoch > state.floor ? { ...state, floor: epoch } : state,
};
