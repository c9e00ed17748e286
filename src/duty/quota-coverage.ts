/**
 * Which proxies a holder of the quota duty has heard since it began to grant. A new holder knows nothing of the grants
 * of the last one, and its own roster may be partial, so the proxies tell how many of them they knew within the span of
 * the quota. Until each one was heard, or the span is over, a proxy not heard yet may let in its even part unseen. So may
 * one whose last word shows that an answer did not reach it in time, until its next word or until it counts as silent.
 */
import { Instant } from '../common/instant.js';

export type QuotaCoverage = {
  /** Forgets all: this node holds the duty under a new term from now on. */
  readonly reset: () => void;
  /** The proxy told what it used, after the holder had ended listening; `isAlone`: it may let in its even part alone. */
  readonly markHeard: (node: string, isAlone: boolean) => void;
  /** How many proxies one of them knew within the span of this team's quota. */
  readonly recordProxyCount: (team: string, proxies: number) => void;
  /** The most proxies that may let in requests of this team. */
  readonly proxyCount: (team: string) => number;
  readonly isComplete: (team: string, span: number) => boolean;
  /** Those on the roster that were not heard yet and not asked lately; they count as asked now. */
  readonly takeUnasked: () => readonly string[];
};

const askEvery = 500;
const silentAfter = 3000;
/** The roster itself is looked at a few times a second. */
const lookEvery = 50;

export const QuotaCoverage = {
  of(roster: () => readonly string[]): QuotaCoverage {
    let began = Instant.now();
    let heard = new Set<string>();
    let alone = new Map<string, Instant>();
    let told = new Map<string, number>();
    let askedAt = Instant.past;
    const count = (team: string): number => Math.max(1, roster().length, told.get(team) ?? 0);
    let missing: readonly string[] = [];
    let lookedAt = Instant.past;
    const unheard = (): readonly string[] => {
      if (Instant.since(lookedAt) < lookEvery) return missing;
      lookedAt = Instant.now();
      missing = roster().filter((node) => !heard.has(node));
      return missing;
    };
    return {
      proxyCount: count,
      reset() {
        began = Instant.now();
        heard = new Set();
        alone = new Map();
        told = new Map();
        askedAt = Instant.past;
        lookedAt = Instant.past;
      },
      markHeard(node, isAlone) {
        if (isAlone) {
          alone.set(node, Instant.now());
          return;
        }
        alone.delete(node);
        if (heard.has(node)) return;
        heard.add(node);
        lookedAt = Instant.past;
      },
      recordProxyCount(team, proxies) {
        told.set(team, Math.max(proxies, told.get(team) ?? 0));
      },
      isComplete(team, span) {
        for (const [node, at] of alone) if (Instant.since(at) > silentAfter) alone.delete(node);
        if (alone.size > 0) return false;
        if (Instant.since(began) > span) return true;
        return heard.size >= count(team) && unheard().length === 0;
      },
      takeUnasked() {
        if (Instant.since(askedAt) < askEvery) return [];
        askedAt = Instant.now();
        return unheard();
      },
    };
  },
};
