/**
 * Cost-based load balancing for requests whose rule has latency targets: a request goes to the server with the least
 * cost. The cost is in milliseconds of prefill time. It adds up the prompt tokens that are probably not cached there, the
 * transfer to another zone or region, a new connection, this proxy's requests in flight there, and a charge that grows
 * steeply once the first token is likely to miss its target. Cached prefixes are inferred from where this proxy sent the
 * same prefixes, within the memory size of the group. Where nothing is known, rendezvous hashing on the shared prefix names
 * one server, the same for all proxies and regions. A server that was added recently is not assumed to hold a prefix by
 * hashing alone.
 */
import { Instant } from '../common/instant.js';
import type { Compiled } from '../manifest/compiled.js';
import { Candidate } from './candidate.js';
import type { InFlight } from './in-flight.js';
import { PrefillSpeed } from './prefill-speed.js';

/** Chooses servers by cost and learns from the requests that were sent. */
export type Placement = {
  readonly choose: (among: readonly Candidate[], request: Placement.Request) => Candidate | undefined;
  /** Records the prefixes of a request as cached; `recordFirstToken` takes the time to its first token in ms. */
  readonly recordSent: (
    server: Compiled.Server,
    group: Compiled.Group,
    request: Placement.Request,
  ) => { readonly uncached: number; readonly recordFirstToken: (span: number) => void };
  readonly updateLoads: (loads: readonly Placement.Load[]) => void;
  readonly prefillSpeed: PrefillSpeed;
  /** Forgets servers that the manifest no longer holds, and notes when others were first seen. */
  readonly retain: (compiled: Compiled) => void;
};

export declare namespace Placement {
  /** Load that a server reported: requests queued and active there, and the share of its memory that is in use. */
  type Load = {
    readonly instance: string;
    readonly queued: number;
    readonly active: number;
    readonly bound: number;
  };
  /** One part of a prompt; the last one is the request's own, those before it may be shared. */
  type Part = { readonly key: string; readonly tokens: number };
  /** What the cost depends on; `aim` and `gap` are the rule's targets for the first token and between tokens, in ms. */
  type Request = {
    readonly parts: readonly Part[];
    /** The isolation wall of the request; each wall has its own share of a server's assumed cache. */
    readonly wall: string;
    readonly tokens: number;
    readonly bytes: number;
    readonly aim: number;
    readonly gap: number;
  };
  /** What placement reads from the proxy. */
  type Needs = {
    readonly region: () => string | undefined;
    readonly zone: string;
    readonly inFlight: InFlight;
    /** Extra cost of the failing servers of a group, in ms; servers that are left out cost nothing extra. */
    readonly failureCosts?: (group: Compiled.Group) => ReadonlyMap<string, number>;
    readonly hasIdle: (instance: string) => boolean;
    readonly random: () => number;
  };
}

/** Servers that rendezvous hashing names for a prefix: of all candidates, and of those in this region. */
type Holders = {
  readonly first: string | undefined;
  readonly near: string | undefined;
};
/** A part of a prompt under the key of the whole prefix up to it. */
type Prefix = { readonly key: string; readonly tokens: number };

const regionRoundTripMs = 110;
/** Cost in ms of sending a prompt to another region, and to another zone of the same region. */
const crossRegionCost = { base: 8, perKilobyte: 1 } as const;
const crossZoneCost = { base: 4, perKilobyte: 3 } as const;
const newConnectionCostMs = 12;
const requestInFlightCostMs = 2;
const fullServerCostMs = 400;
/** Discounts in ms for the servers that rendezvous hashing names. */
const holderDiscounts = { first: 6, near: 4 } as const;
/** Random part of each cost, so that proxies with equal costs do not all choose the same server. */
const jitterMs = 2;
/** Cost per ms until the first token, and per ms beyond half of the target. */
const latencyFactors = { early: 0.08, late: 2 } as const;
/** Most prefixes remembered per server, over all walls. */
const maxPrefixes = 4096;
/** A server known for less time is not assumed to hold a prefix by hashing alone. */
const settledAfterMs = 4000;
/** Load reports older than this are ignored. */
const loadExpiryMs = 2500;
/** Share of a server's memory in use above which it counts as full. */
const fullMemoryShare = 0.9;
const initialMeanTokens = 2000;
/** Queued requests that are normal and add no cost. */
const normalQueueLength = 2;
/** Cost per ms of long prefill and per request that is decoding there, since prefill delays their tokens. */
const decodeDelayFactor = 0.12;
/** Cost per ms of waiting prefill beyond half of the token gap target. */
const waitFactor = 1;
/** Share of the choices that ignore failure costs, so that a server that has recovered still gets requests. */
const ignoreFailuresShare = 1 / 16;

const noHolders: Holders = { first: undefined, near: undefined };

/** Cost in ms of the transfer out of the zone; another region is never cheaper than another zone. */
const transferCost = (isOtherRegion: boolean, bytes: number): number => {
  const costOf = ({ base, perKilobyte }: { readonly base: number; readonly perKilobyte: number }) =>
    base + (perKilobyte * bytes) / 1024;
  const toZone = costOf(crossZoneCost);
  return isOtherRegion ? Math.max(toZone, costOf(crossRegionCost)) : toZone;
};

const prefixesOf = (parts: readonly Placement.Part[]): Prefix[] => {
  const prefixes: Prefix[] = [];
  let key = '';
  for (const part of parts) {
    key = `${key}/${part.key}`;
    prefixes.push({ key, tokens: part.tokens });
  }
  return prefixes;
};

/** Creates placement with nothing known of any server. */
export const Placement = {
  of(needs: Placement.Needs): Placement {
    // Tokens by instance, wall and prefix; the least recently used prefix comes first.
    const cached = new Map<string, Map<string, Map<string, number>>>();
    const firstSeen = new Map<string, Instant>();
    const loads = new Map<string, { readonly load: Placement.Load; readonly at: Instant; sent: number }>();
    const prefillSpeed = PrefillSpeed.of();
    let isInitial = true;
    let meanTokens = initialMeanTokens;
    const recentLoad = (instance: string) => {
      const report = loads.get(instance);
      return report && Instant.since(report.at) < loadExpiryMs ? report : undefined;
    };
    const isSettled = (instance: string) =>
      Instant.since(firstSeen.get(instance) ?? Instant.now()) > settledAfterMs;
    const uncachedTokens = (
      instance: string,
      wall: string,
      prefixes: readonly Prefix[],
      isHolder: boolean,
    ): number => {
      const known = cached.get(instance)?.get(wall);
      let tokens = 0;
      let isCached = true;
      prefixes.forEach(({ key, tokens: own }, index) => {
        isCached &&= known?.has(key) === true || (isHolder && index < prefixes.length - 1);
        if (!isCached) tokens += own;
      });
      return tokens;
    };
    const holdersOf = (among: readonly Candidate[], key: string): Holders => {
      const seed = Candidate.hash(0x811c9dc5, key);
      const region = needs.region();
      let first: string | undefined;
      let near: string | undefined;
      let [firstScore, nearScore] = [-1, -1];
      for (const { server } of among) {
        const score = Candidate.hash(seed, server.instance);
        if (score > firstScore) [first, firstScore] = [server.instance, score];
        if (server.region === region && score > nearScore) [near, nearScore] = [server.instance, score];
      }
      return { first, near };
    };
    const costOf = (
      { server, group }: Candidate,
      request: Placement.Request,
      prefixes: readonly Prefix[],
      holders: Holders,
      failureCosts: Placement.Needs['failureCosts'],
    ): number => {
      const { instance, slots } = server;
      const level = needs.inFlight.of(instance);
      const report = recentLoad(instance);
      const isOtherRegion = server.region !== needs.region();
      const isHolder = instance === holders.first;
      const tokens =
        prefixes.length === 0
          ? request.tokens
          : uncachedTokens(instance, request.wall, prefixes, isHolder && isSettled(instance));
      const speed = prefillSpeed.tokensPerMs(instance, server.group);
      const prefillMs = tokens / speed;
      const queuedMs = (Math.max(0, (report?.load.queued ?? 0) - normalQueueLength) * meanTokens) / speed;
      const waitMs = Math.max(level.prefill / speed, queuedMs);
      const firstTokenMs = (isOtherRegion ? regionRoundTripMs : 0) + waitMs + prefillMs;
      const lateMs = Math.max(0, firstTokenMs - request.aim / 2);
      const { jobs } = level;
      const decoding = Math.max(level.decode, report?.load.active ?? 0);
      const running = Math.max(jobs, (report?.load.active ?? 0) + (report?.load.queued ?? 0));
      const isFull = (slots !== undefined && running >= slots) || (report?.load.bound ?? 0) > fullMemoryShare;
      return (
        prefillMs +
        (server.zone === needs.zone ? 0 : transferCost(isOtherRegion, request.bytes)) +
        (needs.hasIdle(instance) ? 0 : newConnectionCostMs) +
        jobs * requestInFlightCostMs +
        (failureCosts?.(group).get(instance) ?? 0) +
        (isFull ? fullServerCostMs : 0) +
        firstTokenMs * latencyFactors.early +
        lateMs * latencyFactors.late +
        Math.max(0, waitMs - request.gap / 2) * waitFactor +
        Math.max(0, prefillMs - request.gap / 2) * decodeDelayFactor * decoding -
        (isHolder ? holderDiscounts.first : 0) -
        (instance === holders.near ? holderDiscounts.near : 0) +
        needs.random() * jitterMs
      );
    };
    return {
      choose(among, request) {
        if (among.length <= 1) return among[0];
        const prefixes = prefixesOf(request.parts);
        const shared = prefixes.at(-2)?.key;
        const holders = shared === undefined ? noHolders : holdersOf(among, shared);
        const failureCosts =
          needs.failureCosts && needs.random() >= ignoreFailuresShare ? needs.failureCosts : undefined;
        let best: { readonly candidate: Candidate; readonly cost: number } | undefined;
        for (const candidate of among) {
          const cost = costOf(candidate, request, prefixes, holders, failureCosts);
          if (!best || cost < best.cost) best = { candidate, cost };
        }
        return best?.candidate;
      },
      recordSent({ instance, region }, group, request) {
        const prefixes = prefixesOf(request.parts);
        const walls = cached.get(instance) ?? new Map<string, Map<string, number>>();
        cached.set(instance, walls);
        const known = walls.get(request.wall) ?? new Map<string, number>();
        walls.set(request.wall, known);
        const uncached =
          prefixes.length === 0 ? request.tokens : uncachedTokens(instance, request.wall, prefixes, false);
        if (prefixes.length > 0) meanTokens += (uncached - meanTokens) / 50;
        const report = recentLoad(instance);
        // Speed is learned only where the uncached tokens are certain and nothing else waits for prefill.
        const isCertain =
          prefixes.length > 1 &&
          prefixes.slice(0, -1).every(({ key }) => known.has(key)) &&
          needs.inFlight.of(instance).prefill === 0 &&
          (report?.load.queued ?? 0) + (report?.sent ?? 0) === 0;
        if (report) report.sent += 1;
        for (const { key, tokens } of prefixes.slice(0, -1)) {
          known.delete(key);
          known.set(key, tokens);
        }
        const capacity = (group.memory ?? Number.POSITIVE_INFINITY) / 2 / walls.size;
        let sum = [...known.values()].reduce((total, one) => total + one, 0);
        for (const [key, tokens] of known) {
          if (sum <= capacity && known.size <= maxPrefixes / walls.size) break;
          known.delete(key);
          sum -= tokens;
        }
        return {
          uncached,
          recordFirstToken(span) {
            const roundTrip = region === needs.region() ? 0 : regionRoundTripMs;
            const slowdown = prefillSpeed.slowdownOf(instance, group.name);
            if (isCertain) prefillSpeed.recordFirstToken(group.name, uncached, (span - roundTrip) / slowdown);
          },
        };
      },
      prefillSpeed,
      updateLoads(reports) {
        for (const load of reports) loads.set(load.instance, { load, at: Instant.now(), sent: 0 });
      },
      retain({ servers }) {
        prefillSpeed.retain((instance) => servers.has(instance));
        for (const instance of loads.keys()) if (!servers.has(instance)) loads.delete(instance);
        for (const instance of cached.keys()) if (!servers.has(instance)) cached.delete(instance);
        for (const instance of firstSeen.keys()) if (!servers.has(instance)) firstSeen.delete(instance);
        for (const instance of servers.keys())
          if (!firstSeen.has(instance)) firstSeen.set(instance, isInitial ? Instant.past : Instant.now());
        isInitial = servers.size === 0;
      },
    };
  },
};
