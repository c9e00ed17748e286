/**
 * Slow start for a server that is new, reachable again, or back after an evacuation: over all live proxies together it
 * gets two concurrent requests at first, and twice as many every 1.5 s. Each proxy's share follows from the roster of live
 * proxies alone, by rank, so that the shares add up to the limit without communication. A server that answered this proxy
 * within the last seconds, and since it was last reported unreachable, is not slow-started, whatever a proxy that had lost
 * its own network may report.
 */

import { Instant } from '../common/instant.js';
import { Candidate } from './candidate.js';

/** Limits concurrent requests to servers that started recently. */
export type SlowStart = {
  /** Starts a slow start that began `age` ms ago; false when the server needs none. */
  readonly start: (instance: string, age?: number) => boolean;
  /** Records that the server answered. */
  readonly good: (instance: string) => void;
  readonly isRecentlyHealthy: (instance: string) => boolean;
  /** Records a report that the server is unreachable: its next slow start is not skipped. */
  readonly markUnreachable: (instance: string) => void;
  /** The most concurrent requests that this proxy may send to the server; infinite when it is not in slow start. */
  readonly concurrencyLimit: (instance: string) => number;
  /** Servers in slow start. */
  readonly active: () => readonly string[];
  readonly retain: (isListed: (instance: string) => boolean) => void;
};

/** Concurrent requests over all proxies at the beginning. */
const initialConcurrency = 2;
const doublingMs = 1500;
const durationMs = 7500;
const recentlyHealthyMs = 2000;

/** Creates slow start for the proxy `own`, with no server in it. */
export const SlowStart = {
  of(own: string, roster: () => readonly string[]): SlowStart {
    const began = new Map<string, Instant>();
    const lastGood = new Map<string, Instant>();
    const unreachable = new Set<string>();
    const isRecentlyHealthy = (instance: string) =>
      Instant.since(lastGood.get(instance) ?? Instant.past) < recentlyHealthyMs;
    const rank = (instance: string, proxies: readonly string[]): number => {
      const scoreOf = (proxy: string) => Candidate.hash(Candidate.hash(0x811c9dc5, instance), proxy);
      const ownScore = scoreOf(own);
      return proxies.filter((proxy) => proxy !== own && scoreOf(proxy) > ownScore).length;
    };
    return {
      good: (instance) => void lastGood.set(instance, Instant.now()),
      isRecentlyHealthy,
      markUnreachable(instance) {
        lastGood.delete(instance);
        unreachable.add(instance);
      },
      start(instance, age = 0) {
        if (isRecentlyHealthy(instance)) return false;
        const known = began.get(instance);
        const isRunning = known !== undefined && Instant.since(known) < durationMs;
        if (age > durationMs || (isRunning && !unreachable.has(instance))) return false;
        unreachable.delete(instance);
        began.set(instance, Instant.after(-age));
        return true;
      },
      concurrencyLimit(instance) {
        const from = began.get(instance);
        if (from === undefined) return Number.POSITIVE_INFINITY;
        const elapsed = Instant.since(from);
        if (elapsed >= durationMs) {
          began.delete(instance);
          return Number.POSITIVE_INFINITY;
        }
        const limit = Math.floor(initialConcurrency * 2 ** (elapsed / doublingMs));
        const proxies = roster();
        const count = Math.max(1, proxies.includes(own) ? proxies.length : proxies.length + 1);
        return Math.floor(limit / count) + (rank(instance, proxies) < limit % count ? 1 : 0);
      },
      active: () =>
        [...began].filter(([, from]) => Instant.since(from) < durationMs).map(([instance]) => instance),
      retain(isListed) {
        for (const map of [began, lastGood])
          for (const instance of map.keys()) if (!isListed(instance)) map.delete(instance);
        for (const instance of unreachable) if (!isListed(instance)) unreachable.delete(instance);
      },
    };
  },
};
