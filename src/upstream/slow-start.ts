// A server that is new, back after it was dark, or taken back after an evacuation is fed gently: over all
// live proxies together it gets two requests at once, then twice as many every second and a half. Each
// proxy's part follows from the roster of live proxies alone, by rank, so the parts add up to the limit
// without any talk. A server that answered us a moment ago, and since we were told that it was dark, is not
// taken for cold, whatever a proxy that was itself cut off may say.
import { Moment } from '../kinds/moment.js';
import { Candidate } from './candidate.js';

export type SlowStart = {
  readonly start: (instance: string, age?: number) => boolean;
  readonly good: (instance: string) => void;
  readonly isRecentlyHealthy: (instance: string) => boolean;
  readonly markUnreachable: (instance: string) => void;
  readonly concurrencyLimit: (instance: string) => number;
  readonly active: () => readonly string[];
  readonly retain: (isHeld: (instance: string) => boolean) => void;
};

const first = 2;
const doubling = 1500;
const over = 7500;
const freshlyGood = 2000;

export const SlowStart = {
  of(own: string, roster: () => readonly string[]): SlowStart {
    const began = new Map<string, Moment>();
    const lastGood = new Map<string, Moment>();
    const doubted = new Set<string>();
    const isFresh = (instance: string) => Moment.since(lastGood.get(instance) ?? Moment.past) < freshlyGood;
    const rank = (instance: string, proxies: readonly string[]): number => {
      const weigh = (proxy: string) => Candidate.hash(Candidate.hash(0x811c9dc5, instance), proxy);
      const mine = weigh(own);
      return proxies.filter((proxy) => proxy !== own && weigh(proxy) > mine).length;
    };
    return {
      good: (instance) => void lastGood.set(instance, Moment.now()),
      isRecentlyHealthy: isFresh,
      markUnreachable(instance) {
        lastGood.delete(instance);
        doubted.add(instance);
      },
      start(instance, age = 0) {
        if (isFresh(instance)) return false;
        const known = began.get(instance);
        const isRunning = known !== undefined && Moment.since(known) < over;
        if (age > over || (isRunning && !doubted.has(instance))) return false;
        doubted.delete(instance);
        began.set(instance, Moment.after(-age));
        return true;
      },
      concurrencyLimit(instance) {
        const from = began.get(instance);
        if (from === undefined) return Number.POSITIVE_INFINITY;
        const span = Moment.since(from);
        if (span >= over) {
          began.delete(instance);
          return Number.POSITIVE_INFINITY;
        }
        const limit = Math.floor(first * 2 ** (span / doubling));
        const proxies = roster();
        const count = Math.max(1, proxies.includes(own) ? proxies.length : proxies.length + 1);
        return Math.floor(limit / count) + (rank(instance, proxies) < limit % count ? 1 : 0);
      },
      active: () => [...began].filter(([, from]) => Moment.since(from) < over).map(([instance]) => instance),
      retain(isHeld) {
        for (const kept of [began, lastGood])
          for (const instance of kept.keys()) if (!isHeld(instance)) kept.delete(instance);
        for (const instance of doubted) if (!isHeld(instance)) doubted.delete(instance);
      },
    };
  },
};
