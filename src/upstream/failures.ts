// Failures of servers, counted over this proxy's outcomes and those that its fellows told. A server that fails part
// of its requests is seen by no single proxy of many, each of which sends it few. The count is soft: it fades within
// seconds, makes a server dearer and never closes it, a share of the picks leaves it aside, and it holds for no more
// of a group than may be ejected, and only for servers that fail much oftener than their group's middle one.
import { Instant } from '../common/instant.js';
import type { Compiled } from '../manifest/compiled.js';

export type Failures = {
  readonly see: (instance: string, weight: number) => void;
  readonly good: (instance: string) => void;
  readonly hear: (told: readonly Failures.Told[]) => void;
  /** What a server that fails costs beside all else, in milliseconds; servers that do not are left out. */
  readonly costs: (group: Compiled.Group) => ReadonlyMap<string, number>;
  /** What was seen here and is not yet told. */
  readonly untold: () => readonly Failures.Told[];
  readonly retain: (isHeld: (instance: string) => boolean) => void;
};

export declare namespace Failures {
  type Told = { readonly instance: string; readonly count: number };
}

const halfLife = 4000;
const least = 3;
const overMiddle = 3;
const perFailure = 80;
const mostCost = 600;
const mostHeard = 20;
const keptFor = 100;
const afterSuccess = 0.8;
const forgotten = 0.1;
const none: ReadonlyMap<string, number> = new Map();

export const Failures = {
  of(): Failures {
    const scores = new Map<string, { readonly score: number; readonly at: Instant }>();
    const made = new Map<string, { readonly costs: ReadonlyMap<string, number>; readonly at: Instant }>();
    let waiting = new Map<string, number>();
    const scoreOf = (instance: string): number => {
      const known = scores.get(instance);
      return known ? known.score * 2 ** (-Instant.since(known.at) / halfLife) : 0;
    };
    const add = (instance: string, weight: number) =>
      void scores.set(instance, { score: scoreOf(instance) + weight, at: Instant.now() });
    const reckon = (group: Compiled.Group): ReadonlyMap<string, number> => {
      const all = group.servers
        .map(({ instance }) => ({ instance, score: scoreOf(instance) }))
        .sort((a, b) => b.score - a.score);
      const middle = all[Math.floor(all.length / 2)]?.score ?? 0;
      const most = Math.floor((all.length * group.ejection.percent) / 100);
      const failing = all
        .slice(0, most)
        .filter(({ score }) => score >= least && score >= middle * overMiddle);
      if (failing.length === 0) return none;
      return new Map(
        failing.map(({ instance, score }) => [
          instance,
          Math.min(mostCost, perFailure * (score - least + 1)),
        ]),
      );
    };
    return {
      see(instance, weight) {
        add(instance, weight);
        waiting.set(instance, (waiting.get(instance) ?? 0) + weight);
      },
      good(instance) {
        const score = scoreOf(instance) * afterSuccess;
        if (score < forgotten) scores.delete(instance);
        else scores.set(instance, { score, at: Instant.now() });
      },
      hear(told) {
        for (const { instance, count } of told)
          if (count > 0 && Number.isFinite(count)) add(instance, Math.min(count, mostHeard));
      },
      costs(group) {
        if (scores.size === 0) return none;
        const known = made.get(group.name);
        if (known && Instant.since(known.at) < keptFor) return known.costs;
        const costs = reckon(group);
        made.set(group.name, { costs, at: Instant.now() });
        return costs;
      },
      untold() {
        const told = [...waiting].map(([instance, count]) => ({ instance, count }));
        waiting = new Map();
        return told;
      },
      retain(isHeld) {
        for (const instance of scores.keys()) if (!isHeld(instance)) scores.delete(instance);
      },
    };
  },
};
