// Which server next? Eligible ones are allowed by rule, home, catalogue, platform list, evacuations
// and ejection, and not dark. Among them a prompt goes by rendezvous hashing on its prefix key, so that proxies agree
// without talking, skipping servers that this node keeps busier than a bound over the mean; other
// requests go to the less busy of two drawn at random.
import type { Id } from '../common/id.js';
import type { Compiled } from '../manifest/compiled.js';
import type { Ejector } from './ejector.js';
import type { InFlight } from './in-flight.js';
import type { Placement } from './placement.js';

export type Pick = { readonly server: Compiled.Server; readonly group: Compiled.Group };

export declare namespace Pick {
  type Tier = {
    readonly step: Compiled.Step;
    readonly regions: readonly Id.Region[];
  };
  type Needs = {
    readonly compiled: Compiled;
    readonly inFlight: InFlight;
    readonly ejector: Ejector;
    readonly allowance: (instance: string) => number;
    readonly connections: (group: Compiled.Group) => number;
    readonly isDark: (instance: string) => boolean;
    readonly mayWarm: (server: Compiled.Server, group: Compiled.Group) => boolean;
    readonly mayGo: (group: Compiled.Group) => boolean;
    readonly placement: Placement;
    readonly random: () => number;
  };
}

const bound = 1.25;

const mix = (seed: number, text: string): number => {
  let hash = seed >>> 0;
  for (let index = 0; index < text.length; index += 1)
    hash = Math.imul(hash ^ text.charCodeAt(index), 0x01000193) >>> 0;
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
};

const weigh = (level: InFlight.Load): number => level.prefill / 4096 + level.decode;

export const Pick = {
  mix,
  tiers(rule: Compiled.Rule, regions: readonly Id.Region[]): readonly Pick.Tier[] {
    if (rule.aim !== undefined) return rule.steps.map((step) => ({ step, regions }));
    const [first, ...others] = regions;
    const order = first === undefined ? [] : [first, ...rule.spill.filter((one) => others.includes(one))];
    return rule.steps.flatMap((step) => order.map((region) => ({ step, regions: [region] })));
  },
  open(tier: Pick.Tier, needs: Pick.Needs): readonly Pick[] {
    return tier.step.groups.flatMap((name) => {
      const group = needs.compiled.groups.get(name);
      if (!group || !needs.mayGo(group)) return [];
      return group.servers
        .filter(
          (server) =>
            server.isOpen &&
            tier.regions.includes(server.region) &&
            !needs.ejector.isOut(server) &&
            !needs.ejector.isMisdirected(server) &&
            !needs.isDark(server.instance) &&
            needs.mayWarm(server, group),
        )
        .map((server) => ({ server, group }));
    });
  },
  choose(
    among: readonly Pick[],
    key: string | undefined,
    needs: Pick.Needs,
    want?: Placement.Want,
  ): Pick | undefined {
    const { inFlight } = needs;
    const free = among.filter(
      ({ server, group }) =>
        inFlight.of(server.instance).jobs <
        Math.min(group.concurrent, needs.allowance(server.instance), needs.connections(group)),
    );
    if (free.length <= 1) return free[0];
    if (want) return needs.placement.choose(free, want);
    if (key === undefined) {
      const a = free[Math.floor(needs.random() * free.length)]!;
      const others = free.filter((one) => one !== a);
      const b = others[Math.floor(needs.random() * others.length)]!;
      const jobs = (one: Pick) => inFlight.of(one.server.instance).jobs;
      return jobs(a) <= jobs(b) ? a : b;
    }
    const seed = mix(0x811c9dc5, key);
    const ranked = free
      .map((one) => ({ one, score: mix(seed, one.server.instance) }))
      .sort((a, b) => b.score - a.score || (a.one.server.instance < b.one.server.instance ? -1 : 1))
      .map(({ one }) => one);
    const weights = ranked.map((one) => weigh(inFlight.of(one.server.instance)));
    const mean = weights.reduce((sum, weight) => sum + weight, 0) / weights.length;
    return ranked.find((_one, index) => weights[index]! <= bound * mean + 1) ?? ranked[0];
  },
};
