// A blank core asks the primary for a place; one whose place was given to another disk is told, marks its
// data folder as retired, and takes no part until it is started again.

import { Instant } from '../../common/instant.js';
import { Term } from '../../epoch/term.js';
import type { CoreContext } from './core-context.js';

export type Joining = {
  readonly ask: () => Promise<void>;
  readonly isRetired: () => boolean;
  readonly retireIfReplaced: () => Promise<void>;
};

/** How long the primary may take to answer a core that asks for a place, in milliseconds. */
const answerWithin = 3000;
/** How long a core waits after its first declined request for a place; doubled by each further one, in milliseconds. */
const firstPause = 200;
const longestPause = 1600;

export const Joining = {
  of(life: CoreContext): Joining {
    const { register, proposer, clientFor: courierTo, self, note, alert, ...needs } = life.options;
    let isTold = false;
    let declined = { epoch: -1, count: 0 };
    let mayAskAt: Instant = Instant.past;
    /** The next request waits longer each time, and no longer than the first pause after the term has changed. */
    const putOff = (epoch: number) => {
      declined = { epoch, count: declined.epoch === epoch ? declined.count + 1 : 0 };
      mayAskAt = Instant.after(Math.min(longestPause, firstPause * 2 ** declined.count));
    };
    const isRetired = () => {
      const term = life.knownTerm.term();
      return term !== undefined && !register.isBlank() && !Term.has(term, register.disk);
    };
    return {
      isRetired,
      async ask() {
        const term = life.knownTerm.term();
        const core = term && Term.core(term, term.primary);
        if (!term || !core || Term.has(term, register.disk) || life.isLeaving) return;
        if (declined.epoch === term.epoch && !Instant.isPast(mayAskAt)) return;
        const reply = await courierTo(core)?.ask({ kind: 'join', core: self() }, answerWithin);
        if (reply?.kind !== 'done') return;
        putOff(term.epoch);
        note('asked to join', { why: reply.why });
      },
      async retireIfReplaced() {
        if (isTold || !isRetired()) return;
        const term = await proposer.read();
        if (!term || Term.has(term, register.disk)) return;
        isTold = true;
        await needs.markRetired();
        alert('this core’s slot was given to another disk; it takes no part until it is started again');
      },
    };
  },
};
