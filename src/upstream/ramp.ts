// A server that is new, back after it was dark, or taken back after an evacuation is fed gently: over all
// live proxies together it gets two requests at once, then twice as many every second and a half. Each
// proxy's part follows from the roster of live proxies alone, by rank, so the parts add up to the limit
// without any talk. A server that answered us a moment ago, and since we were told that it was dark, is not
// taken for cold, whatever a proxy that was itself cut off may say.
import { Instant } from '../common/instant.js';
import { Pick } from './pick.js';

export type Ramp = {
  readonly begin: (instance: string, age?: number) => boolean;
  readonly good: (instance: string) => void;
  readonly isFresh: (instance: string) => boolean;
  readonly doubt: (instance: string) => void;
  readonly allowance: (instance: string) => number;
  readonly gentle: () => readonly string[];
  readonly retain: (isHeld: (instance: string) => boolean) => void;
};

const first = 2;
const doubling = 1500;
const over = 7500;
const freshlyGood = 2000;

export const Ramp = {
  of(own: string, roster: () => readonly string[]): Ramp {
    const began = new Map<string, Instant>();
    const lastGood = new Map<string, Instant>();
    const doubted = new Set<string>();
    const isFresh = (instance: string) => Instant.since(lastGood.get(instance) ?? Instant.past) < freshlyGood;
    const rank = (instance: string, proxies: readonly string[]): number => {
      const weigh = (proxy: string) => Pick.mix(Pick.mix(0x811c9dc5, instance), proxy);
      const mine = weigh(own);
      return proxies.filter((proxy) => proxy !== own && weigh(proxy) > mine).length;
    };
    return {
      good: (instance) => void lastGood.set(instance, Instant.now()),
      isFresh,
      doubt(instance) {
        lastGood.delete(instance);
        doubted.add(instance);
      },
      begin(instance, age = 0) {
        if (isFresh(instance)) return false;
        const known = began.get(instance);
        const isRunning = known !== undefined && Instant.since(known) < over;
        if (age > over || (isRunning && !doubted.has(instance))) return false;
        doubted.delete(instance);
        began.set(instance, Instant.after(-age));
        return true;
      },
      allowance(instance) {
        const from = began.get(instance);
        if (from === undefined) return Number.POSITIVE_INFINITY;
        const span = Instant.since(from);
        if (span >= over) {
          began.delete(instance);
          return Number.POSITIVE_INFINITY;
        }
        const limit = Math.floor(first * 2 ** (span / doubling));
        const proxies = roster();
        const count = Math.max(1, proxies.includes(own) ? proxies.length : proxies.length + 1);
        return Math.floor(limit / count) + (rank(instance, proxies) < limit % count ? 1 : 0);
      },
      gentle: () => [...began].filter(([, from]) => Instant.since(from) < over).map(([instance]) => instance),
      retain(isHeld) {
        for (const kept of [began, lastGood])
          for (const instance of kept.keys()) if (!isHeld(instance)) kept.delete(instance);
        for (const instance of doubted) if (!isHeld(instance)) doubted.delete(instance);
      },
    };
  },
};
