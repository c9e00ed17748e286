// Failures of servers, counted over this proxy's outcomes and those that its fellows told. A server that fails part
// of its requests is seen by no single proxy of many, each of which sends it few. The count is soft: it fades within
// seconds, makes a server dearer and never closes it, a share of the picks leaves it aside, and it holds for no more
// of a group than may be ejected, and only for servers that fail much oftener than their group's middle one.
import { Moment } from '../kinds/moment.js';
import type { Compiled } from '../manifest/compiled.js';

export type FailureScores = {
  readonly see: (instance: string, weight: number) => void;
  readonly good: (instance: string) => void;
  readonly addReported: (told: readonly FailureScores.Report[]) => void;
  /** What a server that fails costs beside all else, in milliseconds; servers that do not are left out. */
  readonly costs: (group: Compiled.Group) => ReadonlyMap<string, number>;
  /** What was seen here and is not yet told. */
  readonly takeUnreported: () => readonly FailureScores.Report[];
  readonly retain: (isHeld: (instance: string) => boolean) => void;
};

export declare namespace FailureScores {
  type Report = { readonly instance: string; readonly count: number };
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

export const FailureScores = {
  of(): FailureScores {
    const scores = new Map<string, { readonly score: number; readonly at: Moment }>();
    const made = new Map<string, { readonly costs: ReadonlyMap<string, number>; readonly at: Moment }>();
    let waiting = new Map<string, number>();
    const scoreOf = (instance: string): number => {
      const known = scores.get(instance);
      return known ? known.score * 2 ** (-Moment.since(known.at) / halfLife) : 0;
    };
    const add = (instance: string, weight: number) =>
      void scores.set(instance, { score: scoreOf(instance) + weight, at: Moment.now() });
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
        else scores.set(instance, { score, at: Moment.now() });
      },
      addReported(told) {
        for (const { instance, count } of told)
          if (count > 0 && Number.isFinite(count)) add(instance, Math.min(count, mostHeard));
      },
      costs(group) {
        if (scores.size === 0) return none;
        const known = made.get(group.name);
        if (known && Moment.since(known.at) < keptFor) return known.costs;
        const costs = reckon(group);
        made.set(group.name, { costs, at: Moment.now() });
        return costs;
      },
      takeUnreported() {
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
