/**
 * The retry tokens that one proxy holds for one group of servers. It keeps a reserve, passes what exceeds it to the pool of the
 * group, and requests from there what is missing; less often while it has no requests for the group.
 */
import { Instant } from '../common/instant.js';
import { Timer } from '../common/timer.js';
import { RetryLimits } from '../duty/retry-limits.js';
import { TokenPool } from '../duty/token-pool.js';

/** The retry tokens for one group. */
export type GroupBudget = {
  /** Amount held, in thousandths of a token. */
  readonly held: () => number;
  readonly earn: (amount: number) => void;
  /** Takes one token; returns false if none is held. */
  readonly takeToken: () => boolean;
  /** Requests tokens from the pool if none is held and the last request is not too recent. */
  readonly requestTokens: () => void;
  /** Resolves once a token is held, or after `span` milliseconds or an abort without one. */
  readonly waitForToken: (span: number, signal: AbortSignal) => Promise<void>;
  /** Adds tokens from the pool. */
  readonly add: (batches: readonly TokenPool.Batch[]) => void;
  /** Takes the surplus to be passed to the pool, or tells what the reserve lacks. */
  readonly balance: () => GroupBudget.Balance;
  /** Whether tokens are held, waited for, or were earned within their lifetime. */
  readonly isInUse: () => boolean;
};

export declare namespace GroupBudget {
  /** What goes to the pool, and the amount wanted from it, in thousandths of a token. */
  type Balance = { readonly batches: readonly TokenPool.Batch[]; readonly wanted: number };
}

const { oneToken, reserve } = RetryLimits;
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
/** Minimum interval at which the reserve of a group without requests is refilled, in milliseconds. */
const idleRefillIntervalMs = 2000;
const noTokens: readonly TokenPool.Batch[] = [];

/** Creates the budget of a group. */
export const GroupBudget = {
  /** `request` asks the pool for an amount in thousandths of a token. */
  of(request: (wanted: number) => void): GroupBudget {
    const tokens = TokenPool.of();
    const wakeCallbacks = new Set<() => void>();
    let requestedAt = Instant.past;
    let earnedAt = Instant.past;
    let refilledAt = Instant.past;
    let waiters = 0;
    const hasToken = () => tokens.total() >= oneToken;
    const isActive = () => Instant.since(earnedAt) < TokenPool.lifetimeMs;
    const requestTokens = () => {
      if (hasToken() || Instant.since(requestedAt) < requestIntervalMs) return;
      requestedAt = Instant.now();
      request(Math.max(minRequest, waiters * oneToken));
    };
    const waitForGrant = async (until: Instant, signal: AbortSignal) => {
      const pauseController = new AbortController();
      const wake = () => pauseController.abort();
      wakeCallbacks.add(wake);
      signal.addEventListener('abort', wake, { once: true });
      await Timer.sleep(Math.min(requestIntervalMs, Instant.remaining(until)), pauseController.signal);
      signal.removeEventListener('abort', wake);
      wakeCallbacks.delete(wake);
    };
    return {
      held: () => tokens.total(),
      earn(amount) {
        earnedAt = Instant.now();
        tokens.add([{ amount, age: 0 }]);
      },
      takeToken: () => tokens.take(oneToken) !== undefined,
      requestTokens,
      async waitForToken(span, signal) {
        const until = Instant.after(span);
        waiters += 1;
        while (!hasToken() && !Instant.isPast(until) && !signal.aborted) {
          requestTokens();
          await waitForGrant(until, signal);
        }
        waiters -= 1;
      },
      add(batches) {
        tokens.add(batches);
        for (const wake of [...wakeCallbacks]) wake();
      },
      balance() {
        const missing = reserve - tokens.total();
        const surplus = tokens.total(minReserveLifetimeMs) - reserve;
        const isDue = isActive() || Instant.since(refilledAt) >= idleRefillIntervalMs;
        const wanted = isDue && missing >= minTransfer ? missing : 0;
        if (wanted > 0) refilledAt = Instant.now();
        return {
          wanted,
          batches: (surplus >= minTransfer && tokens.take(surplus, true)) || noTokens,
        };
      },
      isInUse: () => waiters > 0 || isActive() || tokens.total() > 0,
    };
  },
};
