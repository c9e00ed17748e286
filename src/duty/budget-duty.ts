/**
 * The budget duty of a core: pools the retry tokens that proxies do not need, by group of servers, and grants them to proxies
 * that request some. A duty is a role that one core at a time holds; the others forward its messages to the holder. A new
 * holder starts with empty pools: tokens in transit may be lost, but are never duplicated. The same core also holds the quota
 * duty; any core may answer a question for quotas from its own allowance.
 */
import type { Frame } from '../wire/frame.js';
import type { CoreAllowance } from './core-allowance.js';
import { DutyOrder } from './duty-order.js';
import type { QuotaDuty } from './quota-duty.js';
import { TokenPools } from './token-pools.js';

/** Pools and grants retry tokens. */
export type BudgetDuty = {
  /** Handles a message of a proxy, or forwards it to the holder. */
  readonly receive: (frame: BudgetDuty.Tokens) => void;
  /** Tokens in the pools by group, in thousandths. */
  readonly pooled: () => Readonly<Record<string, number>>;
  /** The node that holds the duty; undefined if none is known. */
  readonly holder: () => string | undefined;
};

/** Messages of the duty. */
export declare namespace BudgetDuty {
  /** A message about retry tokens or quotas. */
  type Tokens = Extract<Frame.Body, { kind: 'tokens' }>;
}

/** The name under which tokens of no group are pooled; no group has it. */
const ungrouped = '';

/** Whether requests wait for a grant and none of them got one. */
const isNothingGranted = ({ uses }: BudgetDuty.Tokens, { grants }: BudgetDuty.Tokens): boolean => {
  const waiting = uses.filter(({ must }) => must.requests > 0).map(({ team }) => team);
  return (
    waiting.length > 0 && grants.every(({ team, requests }) => !waiting.includes(team) || requests === 0)
  );
};

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
    /** The most tokens that the pool of a group may hold, in thousandths. */
    readonly poolCapacity: () => number;
    /**
     * Whether word of a primary arrived recently. A core that is cut off considers itself the first live one. It then
     * grants no more than its own allowance, and the proxies below it admit up to their even shares. Retry tokens were
     * earned and cannot be granted twice, so they continue to be handled.
     */
    readonly hasRecentPrimary?: () => boolean;
  }): BudgetDuty {
    const pools = TokenPools.of(needs.poolCapacity);
    let epoch = 0;
    const holder = (): string | undefined => {
      const term = needs.term();
      return term && DutyOrder.firstLive(DutyOrder.of(term), needs.isLive);
    };
    const startTerm = (term: Frame.Term) => {
      if (term.epoch !== epoch) pools.clear();
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
      if (response && isNothingGranted(frame, response) && grantFromAllowance(frame, term)) return;
      if (response) needs.respond(response);
    };
    /** Proxies of earlier versions keep one kind of token, in the fields of the frame itself; theirs go to each other. */
    const exchangeUngrouped = (frame: BudgetDuty.Tokens, termEpoch: number): void => {
      const { batches, wanted } = frame;
      const [granted] = pools.exchange([{ group: ungrouped, batches, wanted }]);
      if (granted) needs.respond({ ...frame, epoch: termEpoch, batches: granted.batches, wanted: 0 });
    };
    const exchange = (
      frame: BudgetDuty.Tokens,
      transfers: readonly Frame.Transfer[],
      termEpoch: number,
    ): void => {
      const granted = pools.exchange(transfers.filter(({ group }) => group !== ungrouped));
      if (granted.length > 0) needs.respond({ ...frame, epoch: termEpoch, transfers: granted });
    };
    return {
      holder,
      pooled: pools.totals,
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
        const { transfers = [] } = frame;
        if (transfers.length > 0) exchange(frame, transfers, term.epoch);
        else exchangeUngrouped(frame, term.epoch);
      },
    };
  },
};
