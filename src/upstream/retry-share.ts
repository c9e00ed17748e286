/**
 * The share of this proxy in the fixed number of extra tries, which needs no token. The shares of all proxies stay within the
 * fixed number although nobody coordinates them:
 * - The share follows from the highest number of proxies ever known, so it does not grow in a partition. While the proxy is
 *   still discovering others it uses none.
 * - A process uses none until it has run for a whole window, because an earlier process of the same proxy may have used the
 *   share right before it ended.
 */
import { Instant } from '../common/instant.js';
import { RetryLimits } from '../duty/retry-limits.js';

/** The share of this proxy; each group of servers has a log of what was used of it. */
export type RetryShare = {
  /** Notices how many proxies there are; called periodically. */
  readonly observe: () => void;
  /** Creates the log of a group. */
  readonly logOf: () => RetryShare.Log;
};

export declare namespace RetryShare {
  /** Extra tries of one group that were made without a token. */
  type Log = {
    /** Uses one try of the share; returns false if none is left. */
    readonly use: () => boolean;
    /** Whether tries are recorded that still count. */
    readonly isInUse: () => boolean;
  };
}

/** How long the highest known number of proxies must be unchanged before a share is used, in milliseconds. */
const settledAfterMs = 2000;

const unused: RetryShare = { observe: () => {}, logOf: () => ({ use: () => false, isInUse: () => false }) };

/** Creates the share of a proxy. */
export const RetryShare = {
  of(limits: RetryLimits | undefined, proxies: () => number): RetryShare {
    if (!limits) return unused;
    const startedAt = Instant.now();
    let maxProxies = 0;
    let maxProxiesChangedAt = Instant.past;
    const observe = () => {
      const now = proxies();
      if (now <= maxProxies) return;
      maxProxies = now;
      maxProxiesChangedAt = Instant.now();
    };
    const current = () => {
      observe();
      const isSettled = maxProxies > 0 && Instant.since(maxProxiesChangedAt) >= settledAfterMs;
      if (!isSettled || Instant.since(startedAt) < limits.window) return undefined;
      return RetryLimits.shareOf(limits, maxProxies);
    };
    return {
      observe,
      logOf() {
        let usedAt: Instant[] = [];
        const forget = (window: number) => {
          usedAt = usedAt.filter((at) => Instant.since(at) < window);
        };
        return {
          use() {
            const share = current();
            if (!share) return false;
            forget(share.window);
            if (usedAt.length >= share.tries) return false;
            usedAt.push(Instant.now());
            return true;
          },
          isInUse() {
            forget(current()?.window ?? limits.window);
            return usedAt.length > 0;
          },
        };
      },
    };
  },
};
