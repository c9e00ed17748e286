/**
 * The budget duty of a core: pools the retry tokens that proxies do not need and grants them to proxies that request some. A
 * duty is a role that one core at a time holds; the others forward its messages to the holder. A new holder starts with an
 * empty pool: tokens in transit may be lost, but are never duplicated. The same core also holds the quota duty; any core may
 * answer a question for quotas from its own allowance.
 */
import type { Frame } from '../wire/frame.js';
import type { CoreAllowance } from './core-allowance.js';
import { DutyOrder } from './duty-order.js';
import type { QuotaDuty } from './quota-duty.js';
import { TokenPool } from './token-pool.js';

/** Pools and grants retry tokens. */
export type BudgetDuty = {
  /** Handles a message of a proxy, or forwards it to the holder. */
  readonly receive: (frame: BudgetDuty.Tokens) => void;
  /** Tokens in the pool, in thousandths. */
  readonly pooled: () => number;
  /** The node that holds the duty; undefined if none is known. */
  readonly holder: () => string | undefined;
};

/** Messages of the duty. */
export declare namespace BudgetDuty {
  /** A message about retry tokens or quotas. */
  type Tokens = Extract<Frame.Body, { kind: 'tokens' }>;
}

/** Creates the budget duty of a core. */
export const BudgetDuty = {
  of(needs: {
    readonly own: string;
    readonly term: () => Frame.Term | undefined;
    readonly isLive: (node: string) => boolean;
    readonly forward: (node: string, frame: BudgetDuty.Tokens) => void;
    readonly respond: (frame: BudgetDuty.Tokens) => void;
    readonly quotas: QuotaDuty;
    readonly allowance: CoreAllowance;
    /**
     * Whether word of a primary arrived recently. A core that is cut off considers itself the first live one. It then
     * grants no more than its own allowance, and the proxies below it admit up to their even shares. Retry tokens were
     * earned and cannot be granted twice, so they continue to be handled.
     */
    readonly hasRecentPrimary?: () => boolean;
  }): BudgetDuty {
    let pool = TokenPool.of();
    let epoch = 0;
    const holder = (): string | undefined => {
      const term = needs.term();
      return term && DutyOrder.firstLive(DutyOrder.of(term), needs.isLive);
    };
    const startTerm = (term: Frame.Term) => {
      if (term.epoch !== epoch) pool = TokenPool.of();
      epoch = term.epoch;
    };
    const grantFromAllowance = (frame: BudgetDuty.Tokens, { epoch: termEpoch }: Frame.Term): boolean => {
      const grants = frame.whole ? undefined : needs.allowance.grant(frame);
      if (grants) needs.respond({ ...frame, epoch: termEpoch, uses: [], grants, fromAllowance: true });
      return grants !== undefined;
    };
    const answerReport = (frame: BudgetDuty.Tokens, term: Frame.Term): void => {
      if (needs.hasRecentPrimary?.() === false) {
        grantFromAllowance(frame, term);
        return;
      }
      const response = needs.quotas.receive(frame, term.epoch);
      if (response?.listening === true && grantFromAllowance(frame, term)) return;
      if (response) needs.respond(response);
    };
    return {
      holder,
      pooled: () => pool.total(),
      receive(frame) {
        const term = needs.term();
        const holderNode = holder();
        if (!term || holderNode === undefined) return;
        const isQuotaReport = frame.uses.length > 0 || frame.serial > 0;
        if (holderNode !== needs.own) {
          if (!isQuotaReport || !grantFromAllowance(frame, term)) needs.forward(holderNode, frame);
          return;
        }
        if (isQuotaReport) return answerReport(frame, term);
        startTerm(term);
        pool.add(frame.batches);
        const wanted = Math.min(frame.wanted, pool.total());
        const batches = wanted > 0 ? pool.take(wanted) : undefined;
        const { epoch: grantEpoch } = term;
        if (batches) needs.respond({ ...frame, epoch: grantEpoch, batches, wanted: 0 });
      },
    };
  },
};
