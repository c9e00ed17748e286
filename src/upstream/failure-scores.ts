/**
 * Failure scores of servers, over the outcomes of this proxy and those that other proxies report. A server that fails
 * only part of its requests is not detected by any single one of many proxies, each of which sends it few. The score decays
 * within seconds. It raises a server's cost in placement and never excludes it; part of the choices ignore it. It applies
 * to no more of a group than may be ejected, and only to servers that fail much more often than the group's median.
 */
import { Instant } from '../common/instant.js';
import type { Compiled } from '../manifest/compiled.js';

/** Decaying scores by instance, shared between proxies. */
export type FailureScores = {
  /** Adds a failure seen here. */
  readonly see: (instance: string, weight: number) => void;
  /** Records a success, which lowers the score. */
  readonly good: (instance: string) => void;
  readonly addReported: (reports: readonly FailureScores.Report[]) => void;
  /** Extra cost of failing servers, in ms; other servers are left out. */
  readonly costs: (group: Compiled.Group) => ReadonlyMap<string, number>;
  /** Returns the failures seen here since the last call, to report them to other proxies. */
  readonly takeUnreported: () => readonly FailureScores.Report[];
  readonly retain: (isListed: (instance: string) => boolean) => void;
};

export declare namespace FailureScores {
  /** Weighted count of failures of one server. */
  type Report = { readonly instance: string; readonly count: number };
}

const halfLifeMs = 4000;
/** Servers with lower scores cost nothing extra. */
const minScore = 3;
/** A server must score at least this multiple of the group's median. */
const medianFactor = 3;
const costPerFailureMs = 80;
const maxCostMs = 600;
/** Most failures accepted in one report of a server. */
const maxReported = 20;
/** Costs of a group are computed at most once in this time. */
const costsCachedMs = 100;
/** Each success multiplies the score by this. */
const successFactor = 0.8;
/** After a success, a score below this is removed. */
const negligibleScore = 0.1;
const noCosts: ReadonlyMap<string, number> = new Map();

/** Creates scores with no failures. */
export const FailureScores = {
  of(): FailureScores {
    const scores = new Map<string, { readonly score: number; readonly at: Instant }>();
    const cache = new Map<string, { readonly costs: ReadonlyMap<string, number>; readonly at: Instant }>();
    let unreported = new Map<string, number>();
    const scoreOf = (instance: string): number => {
      const known = scores.get(instance);
      return known ? known.score * 2 ** (-Instant.since(known.at) / halfLifeMs) : 0;
    };
    const add = (instance: string, weight: number) =>
      void scores.set(instance, { score: scoreOf(instance) + weight, at: Instant.now() });
    const computeCosts = (group: Compiled.Group): ReadonlyMap<string, number> => {
      const ranked = group.servers
        .map(({ instance }) => ({ instance, score: scoreOf(instance) }))
        .sort((a, b) => b.score - a.score);
      const median = ranked[Math.floor(ranked.length / 2)]?.score ?? 0;
      const maxFailing = Math.floor((ranked.length * group.ejection.percent) / 100);
      const failing = ranked
        .slice(0, maxFailing)
        .filter(({ score }) => score >= minScore && score >= median * medianFactor);
      if (failing.length === 0) return noCosts;
      return new Map(
        failing.map(({ instance, score }) => [
          instance,
          Math.min(maxCostMs, costPerFailureMs * (score - minScore + 1)),
        ]),
      );
    };
    return {
      see(instance, weight) {
        add(instance, weight);
        unreported.set(instance, (unreported.get(instance) ?? 0) + weight);
      },
      good(instance) {
        const score = scoreOf(instance) * successFactor;
        if (score < negligibleScore) scores.delete(instance);
        else scores.set(instance, { score, at: Instant.now() });
      },
      addReported(reports) {
        for (const { instance, count } of reports)
          if (count > 0 && Number.isFinite(count)) add(instance, Math.min(count, maxReported));
      },
      costs(group) {
        if (scores.size === 0) return noCosts;
        const known = cache.get(group.name);
        if (known && Instant.since(known.at) < costsCachedMs) return known.costs;
        const costs = computeCosts(group);
        cache.set(group.name, { costs, at: Instant.now() });
        return costs;
      },
      takeUnreported() {
        const reports = [...unreported].map(([instance, count]) => ({ instance, count }));
        unreported = new Map();
        return reports;
      },
      retain(isListed) {
        for (const instance of scores.keys()) if (!isListed(instance)) scores.delete(instance);
      },
    };
  },
};
