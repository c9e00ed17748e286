/**
 * Retry budget of one proxy. Each group of servers has tokens of its own: a request for the group earns a share of a token, and
 * each try after the first that goes to the group costs a whole one. No token is created in any other way, and none moves to
 * another group. A proxy keeps a small reserve for each group and passes surplus tokens to a pool at the control plane,
 * from which it refills the reserve. Grants from an epoch older than the newest one seen are ignored.
 *
 * In addition, operators may allow a fixed number of extra tries per window and group, summed over all proxies and regardless
 * of the traffic; each proxy uses its share of it (`retry-share`).
 */

import { RetryLimits } from '../duty/retry-limits.js';
import type { TokenPools } from '../duty/token-pools.js';
import { GroupBudget } from './group-budget.js';
import { RetryShare } from './retry-share.js';

/** The retry budget of one proxy; groups are given by name. */
export type Budget = {
  /** Credits the tokens that one request for the group earns. */
  readonly earn: (group: string) => void;
  /** Pays for one try with a token, or with a try of the fixed number; undefined if neither is available. */
  readonly spend: (group: string) => Budget.Payment | undefined;
  /** Requests tokens from the pool if none is held and the last request is not too recent. */
  readonly requestTokens: (group: string) => void;
  /**
   * Resolves once a token is held, or after `span` milliseconds or an abort without one; requests tokens from the pool
   * meanwhile.
   */
  readonly waitForToken: (group: string, span: number, signal: AbortSignal) => Promise<void>;
  /** Number of tokens held for a group, including fractions. */
  readonly held: (group: string) => number;
  /** Number of tokens held for all groups. */
  readonly heldInTotal: () => number;
  /** Adds tokens from the pool; a grant from an old epoch is ignored. */
  readonly grant: (epoch: number, grants: readonly TokenPools.Transfer[]) => void;
  /** Periodic work: refills the reserves from the pools or passes the surplus to them. */
  readonly maintain: () => void;
  /** Keeps a reserve for these groups, and forgets others once nothing of theirs is in use. */
  readonly retain: (groups: Iterable<string>) => void;
};

/** Types of the retry budget. */
export declare namespace Budget {
  /** What paid for an extra try. */
  type Payment = 'token' | 'allowance';
  /** Transmits tokens and requests to the pool; returns false if it cannot. */
  type Send = (transfers: readonly TokenPools.Transfer[]) => boolean;
}

type Account = { readonly tokens: GroupBudget; readonly share: RetryShare.Log };

const { oneToken } = RetryLimits;

/** Creates retry budgets. */
export const Budget = {
  of(
    send: Budget.Send = () => false,
    limits: RetryLimits | undefined = undefined,
    proxies: () => number = () => 0,
  ): Budget {
    const share = RetryShare.of(limits, proxies);
    const accounts = new Map<string, Account>();
    let retained: ReadonlySet<string> = new Set();
    let epoch = 0;
    const accountOf = (group: string): Account => {
      const existing = accounts.get(group);
      if (existing) return existing;
      const request = (wanted: number) => void send([{ group, batches: [], wanted }]);
      const account = { tokens: GroupBudget.of(request), share: share.logOf() };
      accounts.set(group, account);
      return account;
    };
    const balanceAll = (): TokenPools.Transfer[] =>
      [...accounts]
        .map(([group, { tokens }]) => ({ group, ...tokens.balance() }))
        .filter(({ batches, wanted }) => batches.length > 0 || wanted > 0);
    return {
      earn: (group) => accountOf(group).tokens.earn(RetryLimits.earnedPerRequest(limits)),
      spend(group) {
        const account = accountOf(group);
        if (account.tokens.takeToken()) return 'token';
        return account.share.use() ? 'allowance' : undefined;
      },
      requestTokens: (group) => accountOf(group).tokens.requestTokens(),
      waitForToken: (group, span, signal) => accountOf(group).tokens.waitForToken(span, signal),
      held: (group) => (accounts.get(group)?.tokens.held() ?? 0) / oneToken,
      heldInTotal: () =>
        [...accounts.values()].reduce((sum, { tokens }) => sum + tokens.held(), 0) / oneToken,
      grant(from, grants) {
        if (from < epoch) return;
        epoch = from;
        for (const { group, batches } of grants) accountOf(group).tokens.add(batches);
      },
      maintain() {
        share.observe();
        const transfers = balanceAll();
        if (transfers.length > 0 && !send(transfers))
          for (const { group, batches } of transfers) accountOf(group).tokens.add(batches);
        for (const [group, { tokens, share: log }] of accounts)
          if (!retained.has(group) && !tokens.isInUse() && !log.isInUse()) accounts.delete(group);
      },
      retain(groups) {
        retained = new Set(groups);
        for (const group of retained) accountOf(group);
      },
    };
  },
};
