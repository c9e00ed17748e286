// Which server next? Eligible ones are allowed by rule, home, catalogue, platform list, evacuations
// and ejection, and not dark. Among them a prompt goes by rendezvous hashing on its prefix key, so that proxies agree
// without talking, skipping servers that this node keeps busier than a bound over the mean; other
// requests go to the less busy of two drawn at random.
import type { Ident } from '../kinds/ident.js';
import type { Compiled } from '../manifest/compiled.js';
import type { Ejector } from './ejector.js';
import type { InFlight } from './in-flight.js';
import type { Placement } from './placement.js';

export type Candidate = { readonly server: Compiled.Server; readonly group: Compiled.Group };

export declare namespace Candidate {
  type Tier = {
    readonly step: Compiled.Step;
    readonly regions: readonly Ident.Region[];
  };
  type Needs = {
    readonly compiled: Compiled;
    readonly inFlight: InFlight;
    readonly ejector: Ejector;
    readonly concurrencyLimit: (instance: string) => number;
    readonly connectionLimit: (group: Compiled.Group) => number;
    readonly isUnreachable: (instance: string) => boolean;
    readonly allowsWarmup: (server: Compiled.Server, group: Compiled.Group) => boolean;
    readonly mayUseGroup: (group: Compiled.Group) => boolean;
    readonly placement: Placement;
    readonly random: () => number;
  };
}

const bound = 1.25;

const hash = (seed: number, text: string): number => {
  let hash = seed >>> 0;
  for (let index = 0; index < text.length; index += 1)
    hash = Math.imul(hash ^ text.charCodeAt(index), 0x01000193) >>> 0;
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
};

const weigh = (level: InFlight.Level): number => level.prefill / 4096 + level.decode;

export const Candidate = {
  hash: hash,
  tiers(rule: Compiled.Rule, regions: readonly Ident.Region[]): readonly Candidate.Tier[] {
    if (rule.aim !== undefined) return rule.steps.map((step) => ({ step, regions }));
    const [first, ...others] = regions;
    const order = first === undefined ? [] : [first, ...rule.spill.filter((one) => others.includes(one))];
    return rule.steps.flatMap((step) => order.map((region) => ({ step, regions: [region] })));
  },
  eligible(tier: Candidate.Tier, needs: Candidate.Needs): readonly Candidate[] {
    return tier.step.groups.flatMap((name) => {
      const group = needs.compiled.groups.get(name);
      if (!group || !needs.mayUseGroup(group)) return [];
      return group.servers
        .filter(
          (server) =>
            server.isOpen &&
            tier.regions.includes(server.region) &&
            !needs.ejector.isEjected(server) &&
            !needs.ejector.isMisdirected(server) &&
            !needs.isUnreachable(server.instance) &&
            needs.allowsWarmup(server, group),
        )
        .map((server) => ({ server, group }));
    });
  },
  choose(
    among: readonly Candidate[],
    key: string | undefined,
    needs: Candidate.Needs,
    want?: Placement.Request,
  ): Candidate | undefined {
    const { inFlight } = needs;
    const free = among.filter(
      ({ server, group }) =>
        inFlight.of(server.instance).jobs <
        Math.min(group.concurrent, needs.concurrencyLimit(server.instance), needs.connectionLimit(group)),
    );
    if (free.length <= 1) return free[0];
    if (want) return needs.placement.choose(free, want);
    if (key === undefined) {
      const a = free[Math.floor(needs.random() * free.length)]!;
      const others = free.filter((one) => one !== a);
      const b = others[Math.floor(needs.random() * others.length)]!;
      const jobs = (one: Candidate) => inFlight.of(one.server.instance).jobs;
      return jobs(a) <= jobs(b) ? a : b;
    }
    const seed = hash(0x811c9dc5, key);
    const ranked = free
      .map((one) => ({ one, score: hash(seed, one.server.instance) }))
      .sort((a, b) => b.score - a.score || (a.one.server.instance < b.one.server.instance ? -1 : 1))
      .map(({ one }) => one);
    const weights = ranked.map((one) => weigh(inFlight.of(one.server.instance)));
    const mean = weights.reduce((sum, weight) => sum + weight, 0) / weights.length;
    return ranked.find((_one, index) => weights[index]! <= bound * mean + 1) ?? ranked[0];
  },
};
