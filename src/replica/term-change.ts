/**
 * Register changes that a primary makes under its own leadership. Each is based on the term that it leads under. A
 * change that finds another primary's term deposes this one, and a change with an unknown outcome leaves the
 * leadership uncertain until a later change settles it.
 */

import { Epoch } from '../common/epoch.js';
import type { Proposer } from '../epoch/proposer.js';
import { Term } from '../epoch/term.js';
import type { Leadership } from './leadership.js';

/** Register changes of the primary. */
export type TermChange = {
  /** Changes the term by `next`, which may return none; resolves true once the changed term is chosen and adopted. */
  readonly change: (next: (from: Term) => Term | undefined) => Promise<boolean>;
  /** Changes to an epoch above the given one. */
  readonly raiseEpoch: (above: Epoch) => Promise<boolean>;
  /** Sends the chosen term to all cores, so that those that missed it accept it too. */
  readonly announce: () => Promise<void>;
};

/** Creates the register changes of a primary. */
export const TermChange = {
  /** The register changes of one leadership. */
  of(options: {
    readonly leadership: Leadership;
    readonly proposer: Proposer;
    readonly note: (text: string, facts?: Record<string, unknown>) => void;
  }): TermChange {
    const { leadership, proposer } = options;
    const change: TermChange['change'] = async (next) => {
      const from = leadership.term();
      leadership.beginChange();
      const result = await proposer.change((base) =>
        base.epoch === from.epoch && base.primary === leadership.disk ? next(base) : undefined,
      );
      leadership.endChange(result.term !== undefined);
      if (!result.term) return false;
      if (result.isDone) {
        leadership.adopt(result.term, result.ballot);
        options.note('register changed', { term: Term.text(result.term) });
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
