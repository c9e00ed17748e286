// Where a prompt goes when its rule says how soon an answer is wanted: to the server with the least cost, in
// milliseconds until its first token. That is the way there, what of this proxy's waits there already, the
// tokens of the prompt that the server is not thought to keep, a new connection where none rests, and a charge
// for leaving the region. What a server keeps is learned from where this proxy sent the same parts, within the
// server's memory; where nobody knows, rendezvous hashing on the shared parts names one holder for all proxies.
import type { Compiled } from '../manifest/compiled.js';
import type { Busyness } from './busyness.js';
import { Pick } from './pick.js';

export type Placement = {
  readonly choose: (among: readonly Pick[], want: Placement.Want) => Pick | undefined;
  readonly sent: (server: Compiled.Server, group: Compiled.Group, want: Placement.Want) => number;
  readonly met: (instance: string, span: number) => void;
  readonly retain: (isHeld: (instance: string) => boolean) => void;
};

export declare namespace Placement {
  type Part = { readonly key: string; readonly tokens: number };
  type Want = { readonly parts: readonly Part[]; readonly tokens: number };
  type Needs = {
    readonly region: () => string | undefined;
    readonly busyness: Busyness;
    readonly hasIdle: (instance: string) => boolean;
    readonly random: () => number;
  };
}

const tokensPerMillisecond = 50;
const farTrip = 110;
const leavingCharge = 60;
const connectCharge = 25;
const jobCharge = 3;
const fullCharge = 200;
const jitter = 2;
const keptMost = 4096;

const chainsOf = (parts: readonly Placement.Part[]): { key: string; tokens: number }[] => {
  const chains: { key: string; tokens: number }[] = [];
  let key = '';
  for (const part of parts) {
    key = `${key}/${part.key}`;
    chains.push({ key, tokens: part.tokens });
  }
  return chains;
};

export const Placement = {
  of(needs: Placement.Needs): Placement {
    const kept = new Map<string, Map<string, number>>();
    const trips = new Map<string, number>();
    const tripTo = (server: Compiled.Server): number =>
      trips.get(server.instance) ?? (server.region === needs.region() ? 1 : farTrip);
    const missing = (
      server: Compiled.Server,
      chains: readonly { key: string; tokens: number }[],
      holder: boolean,
    ) => {
      const held = kept.get(server.instance);
      let tokens = 0;
      let isKept = true;
      chains.forEach((chain, index) => {
        const isOwn = index === chains.length - 1;
        isKept &&= held?.has(chain.key) === true || (holder && !isOwn);
        if (!isKept) tokens += chain.tokens;
      });
      return tokens;
    };
    const holderOf = (among: readonly Pick[], key: string): ReadonlySet<string> => {
      const best = new Map<string, { score: number; instance: string }>();
      const seed = Pick.mix(0x811c9dc5, key);
      for (const { server } of among) {
        const score = Pick.mix(seed, server.instance);
        const known = best.get(server.region);
        if (!known || score > known.score) best.set(server.region, { score, instance: server.instance });
      }
      return new Set([...best.values()].map((one) => one.instance));
    };
    return {
      choose(among, want) {
        if (among.length <= 1) return among[0];
        const chains = chainsOf(want.parts);
        const shared = chains.at(-2)?.key;
        const holders = shared === undefined ? new Set<string>() : holderOf(among, shared);
        let best: { pick: Pick; cost: number } | undefined;
        for (const pick of among) {
          const { server } = pick;
          const level = needs.busyness.of(server.instance);
          const isFar = server.region !== needs.region();
          const uncached =
            chains.length === 0 ? want.tokens : missing(server, chains, holders.has(server.instance));
          const cost =
            (isFar ? tripTo(server) + leavingCharge : 0) +
            (level.prefill + uncached) / tokensPerMillisecond +
            level.jobs * jobCharge +
            (server.slots !== undefined && level.jobs >= server.slots ? fullCharge : 0) +
            (needs.hasIdle(server.instance) ? 0 : connectCharge) +
            needs.random() * jitter;
          if (!best || cost < best.cost) best = { pick, cost };
        }
        return best?.pick;
      },
      sent(server, group, want) {
        const chains = chainsOf(want.parts);
        const uncached = chains.length === 0 ? want.tokens : missing(server, chains, false);
        const held = kept.get(server.instance) ?? new Map<string, number>();
        kept.set(server.instance, held);
        for (const { key, tokens } of chains.slice(0, -1)) {
          held.delete(key);
          held.set(key, tokens);
        }
        const room = (group.memory ?? Number.POSITIVE_INFINITY) / 2;
        let sum = [...held.values()].reduce((total, one) => total + one, 0);
        for (const [key, tokens] of held) {
          if (sum <= room && held.size <= keptMost) break;
          held.delete(key);
          sum -= tokens;
        }
        return uncached;
      },
      met(instance, span) {
        trips.set(instance, Math.min(span, trips.get(instance) ?? span));
      },
      retain(isHeld) {
        for (const instance of kept.keys()) if (!isHeld(instance)) kept.delete(instance);
        for (const instance of trips.keys()) if (!isHeld(instance)) trips.delete(instance);
      },
    };
  },
};
