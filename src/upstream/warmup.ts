/**
 * Rate limit for servers that warm up: a maximum of requests in any second, over all live proxies together. Each proxy's
 * share follows from the roster alone, by rank in a hash of (server, proxy), so that the shares add up to the limit without
 * communication; a share that rounds down to zero is zero. A proxy counts what it sent in the last 1.1 s, since a request
 * may be in transit for a while, and the reservations of requests that are not sent yet, since many may wait for their
 * connections at once. While the roster fills, as after a restart of all nodes or when a partitioned region is back, shares
 * computed from it would add up to many times the limit, so they are zero.
 */
import { Instant } from '../common/instant.js';
import type { Compiled } from '../manifest/compiled.js';
import { Candidate } from './candidate.js';

/** Tracks servers that warm up and the requests sent to them. */
export type Warmup = {
  /** Starts the warm-up of a server for `span` ms; never shortens one that runs. */
  readonly start: (instance: string, span: number) => void;
  readonly isWarming: (instance: string) => boolean;
  readonly allows: (server: Compiled.Server, group: Compiled.Group) => boolean;
  /** Reserves a request to the server, to be confirmed or released. */
  readonly reserve: (instance: string) => Warmup.Reservation;
  readonly warming: () => readonly string[];
  readonly retain: (isListed: (instance: string) => boolean) => void;
};

export declare namespace Warmup {
  /** A request that a server was chosen for and that is not sent yet. */
  type Reservation = { readonly confirmSent: () => void; readonly release: () => void };
}

/** A second, and a tenth for requests in transit. */
const windowMs = 1100;
/** Added to each warm-up. */
const marginMs = 500;
/** The most that the proxies together send, as a multiple of the group's limit, however far it may be exceeded. */
const maxOvershoot = 1.15;
const rosterFillMs = 1500;
/** Growth of the roster beyond this factor shows that it is filling. */
const maxRosterGrowth = 1.5;

/** Creates warm-up for the proxy `own`, with no server in it. */
export const Warmup = {
  /** `overshoot` is the multiple of a group's limit that its servers are stated to bear. */
  of(own: string, roster: () => readonly string[], overshoot: () => number = () => 1): Warmup {
    const until = new Map<string, Instant>();
    const sends = new Map<string, Instant[]>();
    const reserved = new Map<string, number>();
    const isWarming = (instance: string): boolean => {
      const end = until.get(instance);
      if (end === undefined) return false;
      if (!Instant.isPast(end)) return true;
      until.delete(instance);
      sends.delete(instance);
      return false;
    };
    let knownCount = roster().length;
    let lastGrowth = Instant.past;
    const isFilling = (count: number): boolean => {
      if (count > knownCount * maxRosterGrowth) lastGrowth = Instant.now();
      if (count > knownCount * maxRosterGrowth || count < knownCount) knownCount = count;
      return Instant.since(lastGrowth) < rosterFillMs;
    };
    const shareOf = (instance: string, limit: number): number => {
      const proxies = roster();
      if (isFilling(proxies.length) || proxies.length === 0) return 0;
      const others = proxies.filter((proxy) => proxy !== own);
      const scoreOf = (proxy: string) => Candidate.hash(Candidate.hash(0x811c9dc5, instance), proxy);
      const ownScore = scoreOf(own);
      const rank = others.filter((proxy) => scoreOf(proxy) > ownScore).length;
      const count = others.length + 1;
      return Math.floor(limit / count) + (rank < limit % count ? 1 : 0);
    };
    return {
      isWarming,
      start(instance, span) {
        const end = Instant.after(span + marginMs);
        if (span > 0 && end > (until.get(instance) ?? Instant.past)) until.set(instance, end);
      },
      allows(server, group) {
        if (!group.warmup || !isWarming(server.instance)) return true;
        const recent = (sends.get(server.instance) ?? []).filter((at) => Instant.since(at) < windowMs);
        sends.set(server.instance, recent);
        const open = reserved.get(server.instance) ?? 0;
        const limit = group.warmup.per_second * Math.min(maxOvershoot, overshoot());
        return recent.length + open < shareOf(server.instance, Math.floor(limit));
      },
      reserve(instance) {
        let isOpen = true;
        reserved.set(instance, (reserved.get(instance) ?? 0) + 1);
        const release = () => {
          if (!isOpen) return;
          isOpen = false;
          const left = (reserved.get(instance) ?? 1) - 1;
          if (left > 0) reserved.set(instance, left);
          else reserved.delete(instance);
        };
        return {
          release,
          confirmSent() {
            release();
            if (isWarming(instance)) sends.set(instance, [...(sends.get(instance) ?? []), Instant.now()]);
          },
        };
      },
      warming: () => [...until.keys()].filter(isWarming),
      retain(isListed) {
        for (const map of [until, sends])
          for (const instance of map.keys()) if (!isListed(instance)) map.delete(instance);
      },
    };
  },
};
