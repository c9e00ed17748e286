/**
 * The state of one core's leadership: its term and the ballot that chose it, whether the outcome of its last register
 * change is known, the highest epoch that a backup reported as promised, and whether it has been deposed.
 */

import { Epoch } from '../common/epoch.js';
import { Failure } from '../common/failure.js';
import { StateMachine } from '../common/state-machine.js';
import type { Ballot } from '../epoch/ballot.js';
import type { Term } from '../epoch/term.js';

/** What a primary knows of its own leadership, and the operations that change it. */
export type Leadership = {
  /** The name of the primary's own disk. */
  readonly disk: string;
  /** The term that this core leads under. */
  readonly term: () => Term;
  /** The ballot that chose the term. */
  readonly ballot: () => Ballot;
  /** The in-sync disks other than the primary's own. */
  readonly backups: () => readonly string[];
  /** Whether the leadership has not been deposed. */
  readonly isLeading: () => boolean;
  /** Throws `unconfirmed` once deposed. */
  readonly mustLead: () => void;
  /** Whether the outcome of a register change is unknown; while it is, nothing may be acknowledged. */
  readonly isOutcomeUnknown: () => boolean;
  /** The highest epoch that a backup has promised to another core, or `Epoch.none`. */
  readonly promised: () => Epoch;
  /** Marks the start of a register change; its outcome is unknown until `endChange`. */
  readonly beginChange: () => void;
  /** Records whether the outcome of the last register change is known. */
  readonly endChange: (isKnown: boolean) => void;
  /** Continues under a term that the register holds and that names this core as primary. */
  readonly adopt: (term: Term, ballot: Ballot) => void;
  /** Records that a backup has promised this epoch to another core and rejects everything below it. */
  readonly recordPromise: (epoch: Epoch) => void;
  /** Ends the leadership permanently; only the first reason is reported. */
  readonly depose: (why: string) => void;
  /** Resolves with the reason once deposed. */
  readonly deposed: Promise<string>;
};

/** Creates the state of a leadership. */
export const Leadership = {
  /** A leadership that starts under a term which the register has just chosen. */
  of(disk: string, chosen: Term, chosenBy: Ballot): Leadership {
    const phase = StateMachine.of('leading', { leading: ['deposed'], deposed: [] });
    let term = chosen;
    let ballot = chosenBy;
    let isOutcomeUnknown = false;
    let promised = Epoch.none;
    let resolveDeposed: (why: string) => void = () => {};
    const deposed = new Promise<string>((resolve) => {
      resolveDeposed = resolve;
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
      isOutcomeUnknown: () => isOutcomeUnknown,
      promised: () => promised,
      beginChange() {
        isOutcomeUnknown = true;
      },
      endChange(isKnown) {
        isOutcomeUnknown = !isKnown;
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
        resolveDeposed(why);
      },
      deposed,
    };
  },
};
