// Changes of the register that a primary makes under its own leadership. Each goes out from the term that it
// leads under; a change that finds another primary's term deposes it, and one whose outcome is unknown leaves
// the leadership unsure until a later change has settled it.

import { Epoch } from '../common/epoch.js';
import type { Proposer } from '../epoch/proposer.js';
import { Term } from '../epoch/term.js';
import type { Leadership } from './leadership.js';

/** The primary's changes of the register. */
export type TermChange = {
  /** Changes the term by `next`, which may decline; true once the changed term is chosen and adopted. */
  readonly change: (next: (from: Term) => Term | undefined) => Promise<boolean>;
  /** Goes on under an epoch above the given one. */
  readonly raiseEpoch: (above: Epoch) => Promise<boolean>;
  /** Tells all cores the term that was chosen, so that those who missed it accept it too. */
  readonly announce: () => Promise<void>;
};

export const TermChange = {
  of(needs: {
    readonly leadership: Leadership;
    readonly proposer: Proposer;
    readonly note: (text: string, facts?: Record<string, unknown>) => void;
  }): TermChange {
    const { leadership, proposer } = needs;
    const change: TermChange['change'] = async (next) => {
      const from = leadership.term();
      leadership.beginChange();
      const result = await proposer.change((base) =>
        base.epoch === from.epoch && base.primary === leadership.disk ? next(base) : undefined,
      );
      leadership.settle(result.term !== undefined);
      if (!result.term) return false;
      if (result.isDone) {
        leadership.adopt(result.term, result.ballot);
        needs.note('register changed', { term: Term.text(result.term) });
        return true;
      }
      if (result.term.primary === leadership.disk) leadership.adopt(result.term, result.ballot);
      else leadership.depose(`another core is primary: ${Term.text(result.term)}`);
      return false;
    };
    return {
      change,
      raiseEpoch: (above) =>
        change((base) => Term.next({ ...base, epoch: Epoch.of(Math.max(base.epoch, above)) }, {})),
      announce: () => proposer.install(leadership.term(), leadership.ballot()),
    };
  },
};
