// Where a prompt goes when its rule says how soon an answer is wanted: to the server with the least cost. A cost
// counts in milliseconds of a server's reading: the tokens that the server is not thought to keep, the way to
// another region, a new connection, what of this proxy's runs there, and a charge that grows steeply once the
// first token is likely to come late. What a server keeps is learned from where this proxy sent the same parts,
// within the server's memory; where it knows nothing, rendezvous hashing on the shared parts names one holder, the
// same for all proxies and regions. A server that came lately is not taken to keep anything by hashing alone.
import { Moment } from '../kinds/moment.js';
import type { Compiled } from '../manifest/compiled.js';
import type { Busyness } from './busyness.js';
import { Pick } from './pick.js';

export type Placement = {
  readonly choose: (among: readonly Pick[], want: Placement.Want) => Pick | undefined;
  readonly sent: (server: Compiled.Server, group: Compiled.Group, want: Placement.Want) => number;
  readonly retain: (compiled: Compiled) => void;
};

export declare namespace Placement {
  type Part = { readonly key: string; readonly tokens: number };
  type Want = {
    readonly parts: readonly Part[];
    /** Behind which wall; each wall has its own part of what is remembered of a server. */
    readonly wall: string;
    readonly tokens: number;
    readonly bytes: number;
    readonly aim: number;
  };
  type Needs = {
    readonly region: () => string | undefined;
    readonly busyness: Busyness;
    readonly hasIdle: (instance: string) => boolean;
    readonly random: () => number;
  };
}

type Chain = { readonly key: string; readonly tokens: number };

const tokensPerMillisecond = 50;
const farTrip = 110;
const leaving = { base: 8, perKilobyte: 1 } as const;
const connecting = 12;
const perJob = 2;
const whenFull = 400;
const holderBonus = 6;
const jitter = 2;
const perLateness = { early: 0.08, late: 2 } as const;
const keptMost = 4096;
const settledAfter = 4000;

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
    let isFirst = true;
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
    const holderOf = (among: readonly Pick[], key: string): string | undefined => {
      const seed = Pick.mix(0x811c9dc5, key);
      let best: { score: number; instance: string } | undefined;
      for (const { server } of among) {
        const score = Pick.mix(seed, server.instance);
        if (!best || score > best.score) best = { score, instance: server.instance };
      }
      return best?.instance;
    };
    const costOf = (
      { server }: Pick,
      want: Placement.Want,
      chains: readonly Chain[],
      holder: string | undefined,
    ): number => {
      const level = needs.busyness.of(server.instance);
      const isFar = server.region !== needs.region();
      const isHolder = server.instance === holder;
      const tokens =
        chains.length === 0
          ? want.tokens
          : missing(server.instance, want.wall, chains, isHolder && isSettled(server.instance));
      const reading = tokens / tokensPerMillisecond;
      const until = (isFar ? farTrip : 0) + level.prefill / tokensPerMillisecond + reading;
      const late = Math.max(0, until - want.aim / 2);
      return (
        reading +
        (isFar ? leaving.base + (leaving.perKilobyte * want.bytes) / 1024 : 0) +
        (needs.hasIdle(server.instance) ? 0 : connecting) +
        level.jobs * perJob +
        (server.slots !== undefined && level.jobs >= server.slots ? whenFull : 0) +
        until * perLateness.early +
        late * perLateness.late -
        (isHolder ? holderBonus : 0) +
        needs.random() * jitter
      );
    };
    return {
      choose(among, want) {
        if (among.length <= 1) return among[0];
        const chains = chainsOf(want.parts);
        const shared = chains.at(-2)?.key;
        const holder = shared === undefined ? undefined : holderOf(among, shared);
        let best: { readonly pick: Pick; readonly cost: number } | undefined;
        for (const pick of among) {
          const cost = costOf(pick, want, chains, holder);
          if (!best || cost < best.cost) best = { pick, cost };
        }
        return best?.pick;
      },
      sent({ instance }, group, want) {
        const chains = chainsOf(want.parts);
        const uncached = chains.length === 0 ? want.tokens : missing(instance, want.wall, chains, false);
        const walls = kept.get(instance) ?? new Map<string, Map<string, number>>();
        kept.set(instance, walls);
        const held = walls.get(want.wall) ?? new Map<string, number>();
        walls.set(want.wall, held);
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
        return uncached;
      },
      retain({ servers }) {
        for (const instance of kept.keys()) if (!servers.has(instance)) kept.delete(instance);
        for (const instance of seenSince.keys()) if (!servers.has(instance)) seenSince.delete(instance);
        for (const instance of servers.keys())
          if (!seenSince.has(instance)) seenSince.set(instance, isFirst ? Moment.past : Moment.now());
        isFirst = servers.size === 0;
      },
    };
  },
};
