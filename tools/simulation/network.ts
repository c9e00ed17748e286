// The network in memory: hosts by IP number and a way between each two of them, one for each direction. A way that is
// cut holds back what is sent over it and lets it go some time after it heals, as resent segments would come; what is
// sent to a host without power is lost.
import type { Random } from '../random.js';
import type { Clock } from './clock.js';

/** What a host does with the first segment of a connection: nothing when it is down, or a refusal or acceptance. */
export type Listener = (arrival: unknown) => void;

export type Host = {
  readonly ip: string;
  readonly listeners: Map<number, Listener>;
  isPowered: boolean;
  /** Grows whenever the host lost its power, so that what was on its way within it is lost too. */
  boots: number;
};

/** All hosts and the ways between them. */
export type Network = {
  readonly clock: Clock;
  readonly random: Random;
  readonly host: (ip: string) => Host;
  /** Brings work from one host to another; dropped where the receiver has no power when it arrives. */
  readonly carry: (from: string, to: string, size: number, work: () => void, lane?: Lane) => void;
  readonly cut: (from: string, to: string) => void;
  readonly heal: (from: string, to: string) => void;
  readonly isCut: (from: string, to: string) => boolean;
  /** Makes one way slower: added milliseconds for each segment, and bytes for each millisecond. */
  readonly slow: (from: string, to: string, added: number, rate?: number) => void;
  readonly onReset: (ip: string, reset: () => void) => () => void;
  readonly reset: (ip: string) => void;
  /** A port that no connection had yet. */
  readonly nextPort: () => number;
  readonly carried: () => number;
  readonly heldUp: () => number;
};

/** What must arrive in order, such as the segments of one direction of a connection. */
export type Lane = { last: number; waiting: (() => void)[] };

type Way = {
  readonly base: number;
  cuts: number;
  added: number;
  rate: number;
  free: number;
  held: (() => void)[];
};

const healedAfter = { least: 5, most: 900 } as const;

export const Network = {
  lane: (): Lane => ({ last: 0, waiting: [] }),
  of(clock: Clock, random: Random): Network {
    const hosts = new Map<string, Host>();
    const ways = new Map<string, Way>();
    const resets = new Map<string, Set<() => void>>();
    const isSpread = random.next() < 0.5;
    let carried = 0;
    let heldUp = 0;
    let ports = 40_000;
    const way = (from: string, to: string): Way => {
      const key = `${from} ${to}`;
      let found = ways.get(key);
      if (!found) {
        const base = from === to ? 0.02 : isSpread ? 0.2 + 20 * random.next() : 0.1 + 0.4 * random.next();
        found = { base, cuts: 0, added: 0, rate: Number.POSITIVE_INFINITY, free: 0, held: [] };
        ways.set(key, found);
      }
      return found;
    };
    const delay = (one: Way, size: number): number => {
      const jitter = one.base * 0.3 * random.next() + 0.05 * random.next();
      if (!Number.isFinite(one.rate)) return one.base + one.added + jitter;
      const begins = Math.max(clock.at(), one.free);
      one.free = begins + size / one.rate;
      return one.free - clock.at() + one.base + one.added + jitter;
    };
    const arrive = (one: Way, to: string, work: () => void) => {
      if (one.cuts > 0) {
        heldUp += 1;
        one.held.push(work);
      } else if (network.host(to).isPowered) work();
    };
    const network: Network = {
      clock,
      random,
      nextPort: () => ++ports,
      carried: () => carried,
      heldUp: () => heldUp,
      host(ip) {
        let found = hosts.get(ip);
        if (!found) {
          found = { ip, listeners: new Map(), isPowered: true, boots: 0 };
          hosts.set(ip, found);
        }
        return found;
      },
      carry(from, to, size, work, lane) {
        carried += 1;
        const one = way(from, to);
        const due = clock.at() + delay(one, size);
        if (!lane) {
          clock.after(due - clock.at(), () => arrive(one, to, work));
          return;
        }
        lane.last = Math.max(lane.last + 0.001, due);
        lane.waiting.push(work);
        clock.after(lane.last - clock.at(), () => arrive(one, to, () => lane.waiting.shift()?.()));
      },
      cut(from, to) {
        way(from, to).cuts += 1;
      },
      heal(from, to) {
        const one = way(from, to);
        one.cuts = Math.max(0, one.cuts - 1);
        if (one.cuts > 0 || one.held.length === 0) return;
        const late = one.held;
        one.held = [];
        const wait = healedAfter.least + random.next() * (healedAfter.most - healedAfter.least);
        late.forEach((work, index) => {
          clock.after(wait + index * 0.002, () => arrive(one, to, work));
        });
      },
      isCut: (from, to) => way(from, to).cuts > 0,
      slow(from, to, added, rate = Number.POSITIVE_INFINITY) {
        const one = way(from, to);
        one.added = added;
        one.rate = rate;
      },
      onReset(ip, reset) {
        const known = resets.get(ip) ?? new Set();
        resets.set(ip, known);
        known.add(reset);
        return () => void known.delete(reset);
      },
      reset(ip) {
        for (const one of [...(resets.get(ip) ?? [])]) one();
      },
    };
    return network;
  },
};
