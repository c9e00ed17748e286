/**
 * How a blank core asks the primary for a slot. A core whose slot was given to another disk marks its data folder as
 * retired and takes no part until it is restarted.
 */

import { Instant } from '../../common/instant.js';
import { Term } from '../../epoch/term.js';
import type { CoreContext } from './core-context.js';

/** How a core gets a slot, and learns that it lost one. */
export type Joining = {
  /** Asks the primary for a slot, unless the last request was declined too recently. */
  readonly ask: () => Promise<void>;
  /** Whether the newest known term gives the slot of this core to another disk. */
  readonly isRetired: () => boolean;
  /** Marks the data folder as retired once a majority confirms that the slot was given to another disk. */
  readonly retireIfReplaced: () => Promise<void>;
};

/** How long the primary may take to answer a request for a slot, in milliseconds. */
const requestTimeoutMs = 3000;
/** The delay after the first declined request, in milliseconds; doubled by each further one. */
const firstRetryDelayMs = 200;
/** The longest delay between two requests, in milliseconds. */
const maxRetryDelayMs = 1600;

/** Creates the requests of a core for a slot. */
export const Joining = {
  of(context: CoreContext): Joining {
    const { register, proposer, clientFor, self, note, alert, ...options } = context.options;
    let isMarked = false;
    let declined = { epoch: -1, count: 0 };
    let retryAt: Instant = Instant.past;
    /** Delays the next request longer each time, and by the first delay again after the term has changed. */
    const scheduleRetry = (epoch: number) => {
      declined = { epoch, count: declined.epoch === epoch ? declined.count + 1 : 0 };
      retryAt = Instant.after(Math.min(maxRetryDelayMs, firstRetryDelayMs * 2 ** declined.count));
    };
    const isRetired = () => {
      const term = context.knownTerm.term();
      return term !== undefined && !register.isBlank() && !Term.has(term, register.disk);
    };
    return {
      isRetired,
      async ask() {
        const term = context.knownTerm.term();
        const core = term && Term.core(term, term.primary);
        if (!term || !core || Term.has(term, register.disk) || context.isLeaving) return;
        if (declined.epoch === term.epoch && !Instant.isPast(retryAt)) return;
        const reply = await clientFor(core)?.ask({ kind: 'join', core: self() }, requestTimeoutMs);
        if (reply?.kind !== 'done') return;
        scheduleRetry(term.epoch);
        note('asked to join', { why: reply.why });
      },
      async retireIfReplaced() {
        if (isMarked || !isRetired()) return;
        const term = await proposer.read();
        if (!term || Term.has(term, register.disk)) return;
        isMarked = true;
        await options.markRetired();
        alert('this core’s slot was given to another disk; it takes no part until it is restarted');
      },
    };
  },
};
