// The record of one core's time as primary: the term it leads under and the ballot that chose it, whether the
// outcome of its last change of the register is known, the highest epoch that a backup told of, and its end.

import { Epoch } from '../common/epoch.js';
import { Failure } from '../common/failure.js';
import { StateMachine } from '../common/state-machine.js';
import type { Ballot } from '../epoch/ballot.js';
import type { Term } from '../epoch/term.js';

/** What a primary knows of its own leadership, with one function for each way in which that may change. */
export type Leadership = {
  /** The name of the primary's own disk. */
  readonly disk: string;
  readonly term: () => Term;
  /** The ballot that chose the term. */
  readonly ballot: () => Ballot;
  /** The disks in sync, without the primary's own. */
  readonly backups: () => readonly string[];
  readonly isLeading: () => boolean;
  /** Throws `unconfirmed` once deposed. */
  readonly mustLead: () => void;
  /** Whether the outcome of a change of the register is not known yet: nothing may be acknowledged. */
  readonly isUnsure: () => boolean;
  /** The highest epoch that a backup has promised to another core, or none. */
  readonly promised: () => Epoch;
  /** A change of the register begins: its outcome is unknown until `settle`. */
  readonly beginChange: () => void;
  /** The outcome of the last change of the register is known, or still is not. */
  readonly settle: (isKnown: boolean) => void;
  /** Goes on under a term that the register holds and that names this core as primary. */
  readonly adopt: (term: Term, ballot: Ballot) => void;
  /** A backup has promised this epoch to another core and takes nothing from below it. */
  readonly recordPromise: (epoch: Epoch) => void;
  /** Ends the leadership for good; only the first reason is told. */
  readonly depose: (why: string) => void;
  /** Resolves with the reason once deposed. */
  readonly deposed: Promise<string>;
};

export const Leadership = {
  /** A leadership that begins under a term which the register has just chosen. */
  of(disk: string, chosen: Term, chosenBy: Ballot): Leadership {
    const phase = StateMachine.of('leading', { leading: ['deposed'], deposed: [] });
    let term = chosen;
    let ballot = chosenBy;
    let isUnsure = false;
    let promised = Epoch.none;
    let tellDeposed: (why: string) => void = () => {};
    const deposed = new Promise<string>((resolve) => {
      tellDeposed = resolve;
    });
    return {
      disk,
      term: () => term,
      ballot: () => ballot,
      backups: () => term.inSync.filter((member) => member !== disk),
      isLeading: () => phase.is('leading'),
      mustLead() {
        if (!phase.is('leading')) throw Failure.of('unconfirmed', 'no longer primary');
      },
      isUnsure: () => isUnsure,
      promised: () => promised,
      beginChange() {
        isUnsure = true;
      },
      settle(isKnown) {
        isUnsure = !isKnown;
      },
      adopt(next, by) {
        term = next;
        ballot = by;
      },
      recordPromise(epoch) {
        if (epoch > promised) promised = epoch;
      },
      depose(why) {
        if (phase.is('deposed')) return;
        phase.transitionTo('deposed');
        tellDeposed(why);
      },
      deposed,
    };
  },
};
