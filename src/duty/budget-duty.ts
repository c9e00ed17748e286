// The budget duty at a core: pools the tokens that proxies have no use for and grants them to those that
// ask. A core that does not hold the duty passes what comes up on to the one that does. A new holder
// begins empty; what was on its way is lost, never made twice. The same holder answers for quotas.
import type { Frame } from '../wire/frame.js';
import { DutyOrder } from './duty-order.js';
import type { QuotaDuty } from './quota-duty.js';
import { TokenPool } from './token-pool.js';

export type BudgetDuty = {
  readonly receive: (frame: BudgetDuty.Tokens) => void;
  readonly pooled: () => number;
  readonly holder: () => string | undefined;
};

export declare namespace BudgetDuty {
  type Tokens = Extract<Frame.Body, { kind: 'tokens' }>;
}

export const BudgetDuty = {
  of(needs: {
    readonly own: string;
    readonly term: () => Frame.Term | undefined;
    readonly isLive: (node: string) => boolean;
    readonly forward: (node: string, frame: BudgetDuty.Tokens) => void;
    readonly respond: (frame: BudgetDuty.Tokens) => void;
    readonly quotas: QuotaDuty;
    /**
     * Whether a primary was heard of just now. A core that is cut off takes itself for the first live one; it
     * grants no quotas then, and the proxies below it let in their even parts alone. Tokens were earned and can't
     * be granted twice, so they go on.
     */
    readonly hasRecentPrimary?: () => boolean;
  }): BudgetDuty {
    let pool = TokenPool.of();
    let epoch = 0;
    const holder = (): string | undefined => {
      const term = needs.term();
      return term && DutyOrder.firstLive(DutyOrder.of(term), needs.isLive);
    };
    const hold = (term: Frame.Term) => {
      if (term.epoch !== epoch) pool = TokenPool.of();
      epoch = term.epoch;
    };
    return {
      holder,
      pooled: () => pool.total(),
      receive(frame) {
        const term = needs.term();
        const who = holder();
        if (!term || who === undefined) return;
        if (who !== needs.own) return needs.forward(who, frame);
        if (frame.uses.length > 0 || frame.serial > 0) {
          if (needs.hasRecentPrimary?.() === false) return;
          const response = needs.quotas.receive(frame, term.epoch);
          if (response) needs.respond(response);
          return;
        }
        hold(term);
        pool.add(frame.batches);
        const wanted = Math.min(frame.wanted, pool.total());
        const batches = wanted > 0 ? pool.take(wanted) : undefined;
        const { epoch: under } = term;
        if (batches) needs.respond({ ...frame, epoch: under, batches, wanted: 0 });
      },
    };
  },
};
