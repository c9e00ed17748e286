/**
 * Candidate servers for a request and the choice among them. Eligible servers are in an allowed region and open by the
 * manifest and the platform's list, and are neither ejected, misdirected, unreachable nor at their warm-up limit. A prompt
 * goes by rendezvous hashing on its prefix key, so that proxies agree without communicating; servers whose load from this
 * proxy is above a bound over the mean are skipped. Other requests go to the less busy of two random servers.
 */
import type { Id } from '../common/id.js';
import type { Compiled } from '../manifest/compiled.js';
import type { Ejector } from './ejector.js';
import type { InFlight } from './in-flight.js';
import type { Placement } from './placement.js';

/** A server that a request may be sent to, with its group. */
export type Candidate = { readonly server: Compiled.Server; readonly group: Compiled.Group };

export declare namespace Candidate {
  /** Servers of equal preference: one step of the rule, in one or more regions. */
  type Tier = {
    readonly step: Compiled.Step;
    readonly regions: readonly Id.Region[];
  };
  /** State that decides which servers are eligible and how busy they are. */
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

/** A server is skipped when its load is above this multiple of the mean. */
const loadBound = 1.25;

/** FNV-1a with a final avalanche (MurmurHash3), so that similar names get unrelated scores. */
const hash = (seed: number, text: string): number => {
  let value = seed >>> 0;
  for (let index = 0; index < text.length; index += 1)
    value = Math.imul(value ^ text.charCodeAt(index), 0x01000193) >>> 0;
  value = Math.imul(value ^ (value >>> 16), 0x85ebca6b);
  value = Math.imul(value ^ (value >>> 13), 0xc2b2ae35);
  return (value ^ (value >>> 16)) >>> 0;
};

/** Load in requests: 4096 units of waiting prefill count as one decoding request. */
const loadOf = (level: InFlight.Load): number => level.prefill / 4096 + level.decode;

/** Lists and chooses candidate servers. */
export const Candidate = {
  hash,
  /** The order in which steps and regions are tried; a rule with a latency target uses all its regions at once. */
  tiers(rule: Compiled.Rule, regions: readonly Id.Region[]): readonly Candidate.Tier[] {
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
    request?: Placement.Request,
  ): Candidate | undefined {
    const { inFlight } = needs;
    const available = among.filter(
      ({ server, group }) =>
        inFlight.of(server.instance).jobs <
        Math.min(group.concurrent, needs.concurrencyLimit(server.instance), needs.connectionLimit(group)),
    );
    if (available.length <= 1) return available[0];
    if (request) return needs.placement.choose(available, request);
    if (key === undefined) {
      const a = available[Math.floor(needs.random() * available.length)]!;
      const others = available.filter((one) => one !== a);
      const b = others[Math.floor(needs.random() * others.length)]!;
      const jobs = (one: Candidate) => inFlight.of(one.server.instance).jobs;
      return jobs(a) <= jobs(b) ? a : b;
    }
    const seed = hash(0x811c9dc5, key);
    const ranked = available
      .map((one) => ({ one, score: hash(seed, one.server.instance) }))
      .sort((a, b) => b.score - a.score || (a.one.server.instance < b.one.server.instance ? -1 : 1))
      .map(({ one }) => one);
    const loads = ranked.map((one) => loadOf(inFlight.of(one.server.instance)));
    const mean = loads.reduce((sum, load) => sum + load, 0) / loads.length;
    return ranked.find((_one, index) => loads[index]! <= loadBound * mean + 1) ?? ranked[0];
  },
};
