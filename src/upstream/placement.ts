// Where a prompt goes when its rule says how soon an answer is wanted: to the server with the least cost. A cost
// counts in milliseconds of a server's reading: the tokens that the server is not thought to keep, the way to
// another zone or region, a new connection, what of this proxy's runs there, and a charge that grows steeply once the
// first token is likely to come late. What a server keeps is learned from where this proxy sent the same parts,
// within the server's memory; where it knows nothing, rendezvous hashing on the shared parts names one holder, the
// same for all proxies and regions. A server that came lately is not taken to keep anything by hashing alone.
import { Moment } from '../kinds/moment.js';
import type { Compiled } from '../manifest/compiled.js';
import { Candidate } from './candidate.js';
import type { InFlight } from './in-flight.js';
import { PrefillSpeed } from './prefill-speed.js';

export type Placement = {
  readonly choose: (among: readonly Candidate[], want: Placement.Request) => Candidate | undefined;
  readonly recordSent: (
    server: Compiled.Server,
    group: Compiled.Group,
    want: Placement.Request,
  ) => { readonly uncached: number; readonly recordFirstToken: (span: number) => void };
  readonly updateLoads: (loads: readonly Placement.Load[]) => void;
  readonly prefillSpeed: PrefillSpeed;
  readonly retain: (compiled: Compiled) => void;
};

export declare namespace Placement {
  type Load = {
    readonly instance: string;
    readonly queued: number;
    readonly active: number;
    readonly bound: number;
  };
  type Part = { readonly key: string; readonly tokens: number };
  type Request = {
    readonly parts: readonly Part[];
    /** Behind which wall; each wall has its own part of what is remembered of a server. */
    readonly wall: string;
    readonly tokens: number;
    readonly bytes: number;
    readonly aim: number;
    readonly gap: number;
  };
  type Needs = {
    readonly region: () => string | undefined;
    readonly zone: string;
    readonly inFlight: InFlight;
    /** What servers of a group that fail cost; nothing is known of the others. */
    readonly failureCosts?: (group: Compiled.Group) => ReadonlyMap<string, number>;
    readonly hasIdle: (instance: string) => boolean;
    readonly random: () => number;
  };
}

type Holders = {
  readonly first: string | undefined;
  readonly near: string | undefined;
};
type Chain = { readonly key: string; readonly tokens: number };

const farTrip = 110;
/** What it costs to send a prompt to another region, and to another zone of the same one. */
const leavingRegion = { base: 8, perKilobyte: 1 } as const;
const leavingZone = { base: 4, perKilobyte: 3 } as const;
const connecting = 12;
const perJob = 2;
const whenFull = 400;
const bonuses = { first: 6, near: 4 } as const;
const jitter = 2;
const perLateness = { early: 0.08, late: 2 } as const;
const keptMost = 4096;
const settledAfter = 4000;
const heardFor = 2500;
const fullPart = 0.9;
const usualTokens = 2000;
const usualQueue = 2;
const perDisturbed = 0.12;
const perPause = 1;
const unjudged = 1 / 16;

const none: Holders = { first: undefined, near: undefined };

/** Another region is never nearer than another zone. */
const wayCost = (isFar: boolean, bytes: number): number => {
  const costOf = ({ base, perKilobyte }: { readonly base: number; readonly perKilobyte: number }) =>
    base + (perKilobyte * bytes) / 1024;
  const toZone = costOf(leavingZone);
  return isFar ? Math.max(toZone, costOf(leavingRegion)) : toZone;
};

const chainsOf = (parts: readonly Placement.Part[]): Chain[] => {
  const chains: Chain[] = [];
  let key = '';
  for (const part of parts) {
    key = `${key}/${part.key}`;
    chains.push({ key, tokens: part.tokens });
  }
  return chains;
};

export const Placement = {
  of(needs: Placement.Needs): Placement {
    const kept = new Map<string, Map<string, Map<string, number>>>();
    const seenSince = new Map<string, Moment>();
    const loads = new Map<string, { readonly load: Placement.Load; readonly at: Moment; sent: number }>();
    const reading = PrefillSpeed.of();
    let isFirst = true;
    let tokensUsual = usualTokens;
    const heard = (instance: string) => {
      const told = loads.get(instance);
      return told && Moment.since(told.at) < heardFor ? told : undefined;
    };
    const isSettled = (instance: string) =>
      Moment.since(seenSince.get(instance) ?? Moment.now()) > settledAfter;
    const missing = (instance: string, wall: string, chains: readonly Chain[], isHolder: boolean): number => {
      const held = kept.get(instance)?.get(wall);
      let tokens = 0;
      let isKept = true;
      chains.forEach(({ key, tokens: own }, index) => {
        isKept &&= held?.has(key) === true || (isHolder && index < chains.length - 1);
        if (!isKept) tokens += own;
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
      want: Placement.Request,
      chains: readonly Chain[],
      holders: Holders,
      failing: Placement.Needs['failureCosts'],
    ): number => {
      const { instance, slots } = server;
      const level = needs.inFlight.of(instance);
      const told = heard(instance);
      const isFar = server.region !== needs.region();
      const isHolder = instance === holders.first;
      const tokens =
        chains.length === 0
          ? want.tokens
          : missing(instance, want.wall, chains, isHolder && isSettled(instance));
      const speed = reading.tokensPerMs(instance, server.group);
      const reads = tokens / speed;
      const queued = (Math.max(0, (told?.load.queued ?? 0) - usualQueue) * tokensUsual) / speed;
      const waits = Math.max(level.prefill / speed, queued);
      const until = (isFar ? farTrip : 0) + waits + reads;
      const late = Math.max(0, until - want.aim / 2);
      const { jobs } = level;
      const others = Math.max(level.decode, told?.load.active ?? 0);
      const running = Math.max(jobs, (told?.load.active ?? 0) + (told?.load.queued ?? 0));
      const isFull = (slots !== undefined && running >= slots) || (told?.load.bound ?? 0) > fullPart;
      return (
        reads +
        (server.zone === needs.zone ? 0 : wayCost(isFar, want.bytes)) +
        (needs.hasIdle(instance) ? 0 : connecting) +
        jobs * perJob +
        (failing?.(group).get(instance) ?? 0) +
        (isFull ? whenFull : 0) +
        until * perLateness.early +
        late * perLateness.late +
        Math.max(0, waits - want.gap / 2) * perPause +
        Math.max(0, reads - want.gap / 2) * perDisturbed * others -
        (isHolder ? bonuses.first : 0) -
        (instance === holders.near ? bonuses.near : 0) +
        needs.random() * jitter
      );
    };
    return {
      choose(among, want) {
        if (among.length <= 1) return among[0];
        const chains = chainsOf(want.parts);
        const shared = chains.at(-2)?.key;
        const holders = shared === undefined ? none : holdersOf(among, shared);
        const failing = needs.failureCosts && needs.random() >= unjudged ? needs.failureCosts : undefined;
        let best: { readonly pick: Candidate; readonly cost: number } | undefined;
        for (const pick of among) {
          const cost = costOf(pick, want, chains, holders, failing);
          if (!best || cost < best.cost) best = { pick, cost };
        }
        return best?.pick;
      },
      recordSent({ instance, region }, group, want) {
        const chains = chainsOf(want.parts);
        const walls = kept.get(instance) ?? new Map<string, Map<string, number>>();
        kept.set(instance, walls);
        const held = walls.get(want.wall) ?? new Map<string, number>();
        walls.set(want.wall, held);
        const uncached = chains.length === 0 ? want.tokens : missing(instance, want.wall, chains, false);
        if (chains.length > 0) tokensUsual += (uncached - tokensUsual) / 50;
        const told = heard(instance);
        const isSure =
          chains.length > 1 &&
          chains.slice(0, -1).every(({ key }) => held.has(key)) &&
          needs.inFlight.of(instance).prefill === 0 &&
          (told?.load.queued ?? 0) + (told?.sent ?? 0) === 0;
        if (told) told.sent += 1;
        for (const { key, tokens } of chains.slice(0, -1)) {
          held.delete(key);
          held.set(key, tokens);
        }
        const room = (group.memory ?? Number.POSITIVE_INFINITY) / 2 / walls.size;
        let sum = [...held.values()].reduce((total, one) => total + one, 0);
        for (const [key, tokens] of held) {
          if (sum <= room && held.size <= keptMost / walls.size) break;
          held.delete(key);
          sum -= tokens;
        }
        return {
          uncached,
          recordFirstToken(span) {
            const trip = region === needs.region() ? 0 : farTrip;
            const pace = reading.slowdownOf(instance, group.name);
            if (isSure) reading.recordFirstToken(group.name, uncached, (span - trip) / pace);
          },
        };
      },
      prefillSpeed: reading,
      updateLoads(told) {
        for (const load of told) loads.set(load.instance, { load, at: Moment.now(), sent: 0 });
      },
      retain({ servers }) {
        reading.retain((instance) => servers.has(instance));
        for (const instance of loads.keys()) if (!servers.has(instance)) loads.delete(instance);
        for (const instance of kept.keys()) if (!servers.has(instance)) kept.delete(instance);
        for (const instance of seenSince.keys()) if (!servers.has(instance)) seenSince.delete(instance);
        for (const instance of servers.keys())
          if (!seenSince.has(instance)) seenSince.set(instance, isFirst ? Moment.past : Moment.now());
        isFirst = servers.size === 0;
      },
    };
  },
};
