/**
 * Tracks which proxies the holder of the quota duty has heard since it took over. A new holder does not know the grants of its
 * predecessor, and its roster may be incomplete, so each proxy reports how many proxies it knew within the span of the
 * quota. Until that many were heard, or the span has passed, an unheard proxy may be admitting its even share without the
 * holder's knowledge. The same holds for a proxy whose last report shows that a response did not reach it in time, until its
 * next report or until it counts as silent.
 */
import { Instant } from '../common/instant.js';

/** Tracks which proxies were heard. */
export type QuotaCoverage = {
  /** Discards everything: this node now holds the duty under a new term. */
  readonly reset: () => void;
  /** Records a usage report received after the collection phase; `isAlone`: the proxy may be admitting its even share. */
  readonly markHeard: (node: string, isAlone: boolean) => void;
  /** Records how many proxies one proxy knew within the span of this team's quota. */
  readonly recordProxyCount: (team: string, proxies: number) => void;
  /** The highest number of proxies that may admit requests of this team. */
  readonly proxyCount: (team: string) => number;
  /** Whether each proxy that can be admitting requests of this team by itself is known: heard, or among `aloneNodes`. */
  readonly isHeardFromAll: (team: string, span: number) => boolean;
  /** Proxies whose last report shows that a response did not reach them in time. */
  readonly aloneNodes: () => readonly string[];
  /** Proxies on the roster that were neither heard nor asked recently; they count as asked from now on. */
  readonly takeUnasked: () => readonly string[];
};

const askIntervalMs = 500;
/** Time after which a proxy that sends nothing counts as silent. */
const silentAfterMs = 3000;
/** Minimum time between two comparisons with the roster. */
const refreshIntervalMs = 50;

/** Creates an empty record. */
export const QuotaCoverage = {
  of(roster: () => readonly string[]): QuotaCoverage {
    let startedAt = Instant.now();
    let heard = new Set<string>();
    let aloneSince = new Map<string, Instant>();
    let reportedCounts = new Map<string, number>();
    let askedAt = Instant.past;
    const proxyCount = (team: string): number => Math.max(1, roster().length, reportedCounts.get(team) ?? 0);
    let unheardProxies: readonly string[] = [];
    let refreshedAt = Instant.past;
    const unheard = (): readonly string[] => {
      if (Instant.since(refreshedAt) < refreshIntervalMs) return unheardProxies;
      refreshedAt = Instant.now();
      unheardProxies = roster().filter((node) => !heard.has(node));
      return unheardProxies;
    };
    return {
      proxyCount,
      reset() {
        startedAt = Instant.now();
        heard = new Set();
        aloneSince = new Map();
        reportedCounts = new Map();
        askedAt = Instant.past;
        refreshedAt = Instant.past;
      },
      markHeard(node, isAlone) {
        if (isAlone) {
          aloneSince.set(node, Instant.now());
          return;
        }
        aloneSince.delete(node);
        if (heard.has(node)) return;
        heard.add(node);
        refreshedAt = Instant.past;
      },
      recordProxyCount(team, proxies) {
        reportedCounts.set(team, Math.max(proxies, reportedCounts.get(team) ?? 0));
      },
      aloneNodes() {
        for (const [node, at] of aloneSince) if (Instant.since(at) > silentAfterMs) aloneSince.delete(node);
        return [...aloneSince.keys()];
      },
      isHeardFromAll(team, span) {
        if (Instant.since(startedAt) > span) return true;
        return heard.size >= proxyCount(team) && unheard().length === 0;
      },
      takeUnasked() {
        if (Instant.since(askedAt) < askIntervalMs) return [];
        askedAt = Instant.now();
        return unheard();
      },
    };
  },
};
