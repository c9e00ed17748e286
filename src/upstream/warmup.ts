// Servers that warm up may get so many requests in any second, over all live proxies together. Each proxy's part
// follows from the roster alone, by rank in a hash of (server, proxy), so the parts add up to the bound without
// talk; a part that rounds down to nothing is nothing. A proxy counts what it sent in the last second and a bit,
// since what it sent may be on its way for a while, and what it has chosen the server for and not sent yet, since
// many requests may wait for their connections at once. While the roster fills, as after a restart of all or when a
// cut region comes back, parts reckoned from it would add up to many times the bound, so they are nothing.
import { Moment } from '../kinds/moment.js';
import type { Compiled } from '../manifest/compiled.js';
import { Candidate } from './candidate.js';

export type Warmup = {
  readonly start: (instance: string, span: number) => void;
  readonly isWarming: (instance: string) => boolean;
  readonly allows: (server: Compiled.Server, group: Compiled.Group) => boolean;
  readonly reserve: (instance: string) => Warmup.Reservation;
  readonly warming: () => readonly string[];
  readonly retain: (isHeld: (instance: string) => boolean) => void;
};

export declare namespace Warmup {
  type Reservation = { readonly confirmSent: () => void; readonly release: () => void };
}

const window = 1100;
const margin = 500;
const portion = 1.15;
const fillsWithin = 1500;
const mostGrowth = 1.5;

export const Warmup = {
  of(own: string, roster: () => readonly string[]): Warmup {
    const until = new Map<string, Moment>();
    const sends = new Map<string, Moment[]>();
    const entered = new Map<string, number>();
    const isCold = (instance: string): boolean => {
      const end = until.get(instance);
      if (end === undefined) return false;
      if (!Moment.isPast(end)) return true;
      until.delete(instance);
      sends.delete(instance);
      return false;
    };
    let known = roster().length;
    let filledAt = Moment.past;
    const isFilling = (count: number): boolean => {
      if (count > known * mostGrowth) filledAt = Moment.now();
      if (count > known * mostGrowth || count < known) known = count;
      return Moment.since(filledAt) < fillsWithin;
    };
    const partOf = (instance: string, bound: number): number => {
      const proxies = roster();
      if (isFilling(proxies.length) || proxies.length === 0) return 0;
      const others = proxies.filter((proxy) => proxy !== own);
      const weigh = (proxy: string) => Candidate.hash(Candidate.hash(0x811c9dc5, instance), proxy);
      const mine = weigh(own);
      const rank = others.filter((proxy) => weigh(proxy) > mine).length;
      const count = others.length + 1;
      return Math.floor(bound / count) + (rank < bound % count ? 1 : 0);
    };
    return {
      isWarming: isCold,
      start(instance, span) {
        const end = Moment.after(span + margin);
        if (span > 0 && end > (until.get(instance) ?? Moment.past)) until.set(instance, end);
      },
      allows(server, group) {
        if (!group.warmup || !isCold(server.instance)) return true;
        const recent = (sends.get(server.instance) ?? []).filter((at) => Moment.since(at) < window);
        sends.set(server.instance, recent);
        const open = entered.get(server.instance) ?? 0;
        return recent.length + open < partOf(server.instance, Math.floor(group.warmup.per_second * portion));
      },
      reserve(instance) {
        let isIn = true;
        entered.set(instance, (entered.get(instance) ?? 0) + 1);
        const leave = () => {
          if (!isIn) return;
          isIn = false;
          const left = (entered.get(instance) ?? 1) - 1;
          if (left > 0) entered.set(instance, left);
          else entered.delete(instance);
        };
        return {
          release: leave,
          confirmSent() {
            leave();
            if (isCold(instance)) sends.set(instance, [...(sends.get(instance) ?? []), Moment.now()]);
          },
        };
      },
      warming: () => [...until.keys()].filter(isCold),
      retain(isHeld) {
        for (const kept of [until, sends])
          for (const instance of kept.keys()) if (!isHeld(instance)) kept.delete(instance);
      },
    };
  },
};
