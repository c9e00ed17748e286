/**
 * Retry budget of one proxy. Each real request earns a fifth of a token and each try after the first costs a whole one.
 * No token is created in any other way, so across all proxies the tokens allow extra tries for less than a fifth of the
 * requests. A proxy keeps a reserve of one token and passes surplus tokens to a shared pool, from which it refills the
 * reserve. A try that finds no token requests more; the resumption of a broken stream waits briefly for them. Grants
 * from an epoch older than the newest one seen are ignored.
 *
 * In addition, operators may allow a fixed number of extra tries per window, summed over all proxies and regardless of
 * the traffic. Each proxy uses an even share of a part of that number, computed from the highest number of proxies it
 * has ever known, so that the sum stays below the limit despite restarts and network partitions. A share below one is
 * one try in a correspondingly longer window, provided that one try from every proxy at once stays within half of the
 * limit. While a proxy is still discovering others it uses no share, because the share would be too large.
 */

import { Instant } from '../common/instant.js';
import { Timer } from '../common/timer.js';
import { TokenPool } from '../duty/token-pool.js';

/** The retry budget of one proxy. */
export type Budget = {
  /** Credits a fifth of a token for one request. */
  readonly earn: () => void;
  /** Pays for one try with a token, or with a try of the fixed allowance; undefined if neither is available. */
  readonly spend: () => Budget.Payment | undefined;
  /** Requests tokens from the pool if none is held and the last request is not too recent. */
  readonly requestTokens: () => void;
  /**
   * Resolves once a token is held, or after `span` milliseconds or an abort without one; requests tokens from the pool
   * meanwhile.
   */
  readonly waitForToken: (span: number, signal: AbortSignal) => Promise<void>;
  /** Number of tokens held, including fractions. */
  readonly held: () => number;
  /** Adds tokens from the pool; a grant from an old epoch is ignored. */
  readonly grant: (epoch: number, batches: readonly TokenPool.Batch[]) => void;
  /** Periodic work: refills the reserve from the pool or passes the surplus to it. */
  readonly maintain: () => void;
};

/** Types of the retry budget. */
export declare namespace Budget {
  /** What paid for an extra try. */
  type Payment = 'token' | 'allowance';
  /** Extra tries that all proxies together may make per window (in milliseconds), without earning them. */
  type Allowance = { readonly tries: number; readonly window: number; readonly proxies: () => number };
}

/** Token amounts are counted in thousandths, so that fifths add up exactly. */
const oneToken = 1000;
/** Earned by each request, in thousandths of a token. */
const earnedPerRequest = 200;
const reserve = oneToken;
/**
 * Remaining lifetime that a token needs to count toward the reserve, in milliseconds: a try may take this long before
 * it fails and a token is needed.
 */
const minReserveLifetimeMs = 2000;
/** Smallest amount exchanged with the pool, in thousandths of a token. */
const minTransfer = 250;
/** Smallest amount requested when a try finds no token, in thousandths of a token. */
const minRequest = 3 * oneToken;
/** Minimum interval between two requests to the pool, in milliseconds. */
const requestIntervalMs = 50;
/** Fraction of the fixed allowance that the shares of all proxies add up to. */
const allowanceFraction = 0.35;
/** Fraction of the fixed allowance that one try from every proxy at once may reach. */
const maxSimultaneousFraction = 0.5;
/** How long the highest known number of proxies must be unchanged before a share is used, in milliseconds. */
const settledAfterMs = 2000;

/** Creates retry budgets. */
export const Budget = {
  /** `send` transmits surplus batches and the requested amount to the pool; it returns false if it cannot. */
  of(
    send: (batches: readonly TokenPool.Batch[], wanted: number) => boolean = () => false,
    allowance?: Budget.Allowance,
  ): Budget {
    let maxProxies = 0;
    let maxProxiesChangedAt = Instant.past;
    let allowedTriesAt: Instant[] = [];
    const updateMaxProxies = () => {
      const now = allowance?.proxies() ?? 0;
      if (now <= maxProxies) return;
      maxProxies = now;
      maxProxiesChangedAt = Instant.now();
    };
    const spendAllowance = (): 'allowance' | undefined => {
      if (!allowance) return undefined;
      updateMaxProxies();
      if (maxProxies === 0 || Instant.since(maxProxiesChangedAt) < settledAfterMs) return undefined;
      const share = (allowance.tries * allowanceFraction) / maxProxies;
      if (share < 1 && maxProxies > allowance.tries * maxSimultaneousFraction) return undefined;
      const window = allowance.window / Math.min(1, share);
      allowedTriesAt = allowedTriesAt.filter((at) => Instant.since(at) < window);
      if (allowedTriesAt.length >= Math.max(1, Math.floor(share))) return undefined;
      allowedTriesAt.push(Instant.now());
      return 'allowance';
    };
    const purse = TokenPool.of();
    let epoch = 0;
    let requestedAt = 0 as Instant;
    let waiters = 0;
    const wakeCallbacks = new Set<() => void>();
    const hasToken = () => purse.total() >= oneToken;
    const requestTokens = () => {
      if (hasToken() || Instant.since(requestedAt) < requestIntervalMs) return;
      requestedAt = Instant.now();
      send([], Math.max(minRequest, waiters * oneToken));
    };
    return {
      held: () => purse.total() / oneToken,
      earn: () => purse.add([{ amount: earnedPerRequest, age: 0 }]),
      spend: () => (purse.take(oneToken) !== undefined ? 'token' : spendAllowance()),
      requestTokens,
      async waitForToken(span, signal) {
        const until = Instant.after(span);
        waiters += 1;
        while (!hasToken() && !Instant.isPast(until) && !signal.aborted) {
          requestTokens();
          const pauseController = new AbortController();
          const wake = () => pauseController.abort();
          wakeCallbacks.add(wake);
          signal.addEventListener('abort', wake, { once: true });
          await Timer.sleep(Math.min(requestIntervalMs, Instant.remaining(until)), pauseController.signal);
          signal.removeEventListener('abort', wake);
          wakeCallbacks.delete(wake);
        }
        waiters -= 1;
      },
      grant(from, batches) {
        if (from < epoch) return;
        epoch = from;
        purse.add(batches);
        for (const wake of [...wakeCallbacks]) wake();
      },
      maintain() {
        updateMaxProxies();
        const missing = reserve - purse.total();
        if (missing >= minTransfer) send([], missing);
        const surplus = purse.total(minReserveLifetimeMs) - reserve;
        if (surplus < minTransfer) return;
        const batches = purse.take(surplus, true);
        if (batches && !send(batches, 0)) purse.add(batches);
      },
    };
  },
};
