/**
 * What a new holder of the quota duty cannot know yet. Its predecessor granted by demand, so a proxy that the new holder has
 * not heard may have used any part of a quota, and so may the former process of a proxy that has just started. Until all proxies
 * were heard that any of them has known lately, or all that may have been granted before has left the span, the new holder
 * counts as used what was not certainly held by the proxies that it has heard.
 */
import { Instant } from '../common/instant.js';
import type { Incarnation } from './incarnation.js';
import { LeaseLedger } from './lease-ledger.js';
import { UsageWindow } from './usage-window.js';

/** Tracks which proxies were heard. */
export type QuotaCoverage = {
  /** Discards everything: this node holds the duty anew, after another one unless it is the first. */
  readonly reset: (isFirst: () => boolean) => void;
  /** Records that a proxy has reported all of its teams. */
  readonly markHeard: (incarnation: Incarnation) => void;
  /** Records what the predecessor had recorded of a process for a team, at least; only the first claim counts. */
  readonly recordClaim: (team: string, incarnation: Incarnation, claim: UsageWindow.Usage) => void;
  /** Records how many proxies one proxy has known lately. */
  readonly recordProxyCount: (proxies: number) => void;
  /** The highest number of proxies that may admit requests. */
  readonly proxyCount: () => number;
  /** What others than the heard proxies may have used, if the predecessor had leased as much as the bound to all. */
  readonly unknown: (team: string, bound: UsageWindow.Usage, spanMs: number) => UsageWindow.Usage;
  /** Whether nothing that the predecessor had granted can be unknown. */
  readonly isComplete: (spanMs: number) => boolean;
  /** Proxies on the roster that were neither heard nor asked recently; they count as asked from now on. */
  readonly takeUnasked: () => readonly string[];
};

/** What the tracker needs from the node. */
export declare namespace QuotaCoverage {
  type Dependencies = {
    /** The live proxies that this node knows; possibly incomplete. */
    readonly roster: () => readonly string[];
    /** Until when certainly no proxy has admitted anything, since there was no manifest. */
    readonly unusedUntil: () => Instant;
  };
}

type Claims = { sum: UsageWindow.Usage; readonly from: Set<Incarnation> };

const askIntervalMs = 500;
/** For how long a predecessor that lost contact may go on granting, in milliseconds. */
const predecessorMs = 1500;
/** How much later than it says a proxy may have learned of the others after its start, in milliseconds. */
const rosterDelayMs = 1000;
/** Minimum time between two comparisons with the roster. */
const refreshIntervalMs = 50;

/** For how long after a takeover something that the predecessor granted may be in use or in the span, in milliseconds. */
const unknownForMs = (spanMs: number): number => predecessorMs + LeaseLedger.lifetimeMs + spanMs;

/** Creates an empty record. */
export const QuotaCoverage = {
  unknownForMs,
  of({ roster, unusedUntil }: QuotaCoverage.Dependencies): QuotaCoverage {
    let startedAt = Instant.now();
    let isFirst = () => false;
    let heard = new Map<string, Incarnation>();
    let claims = new Map<string, Claims>();
    let knownCount = 0;
    let askedAt = Instant.past;
    let unheardProxies: readonly string[] = [];
    let refreshedAt = Instant.past;
    const proxyCount = (): number => Math.max(1, roster().length, knownCount);
    const unheard = (): readonly string[] => {
      if (Instant.since(refreshedAt) < refreshIntervalMs) return unheardProxies;
      refreshedAt = Instant.now();
      unheardProxies = roster().filter((node) => !heard.has(node));
      return unheardProxies;
    };
    /** Whether nothing that a former process of the proxy has admitted is in the span. */
    const hasNoFormerUse = (incarnation: Incarnation, spanMs: number): boolean =>
      incarnation.boot === '' ||
      incarnation.startedAt <= unusedUntil() ||
      Instant.since(incarnation.startedAt) > spanMs + rosterDelayMs;
    const isComplete = (spanMs: number): boolean => {
      if (isFirst() || Instant.since(startedAt) > unknownForMs(spanMs)) return true;
      if (startedAt <= unusedUntil()) return true;
      if (heard.size < proxyCount() || unheard().length > 0) return false;
      return [...heard.values()].every((incarnation) => hasNoFormerUse(incarnation, spanMs));
    };
    return {
      proxyCount,
      reset(isFirstHolder) {
        isFirst = isFirstHolder;
        startedAt = Instant.now();
        heard = new Map();
        claims = new Map();
        knownCount = 0;
        askedAt = Instant.past;
        refreshedAt = Instant.past;
      },
      markHeard(incarnation) {
        if (heard.has(incarnation.node)) return;
        heard.set(incarnation.node, incarnation);
        refreshedAt = Instant.past;
      },
      recordClaim(team, incarnation, claim) {
        const known = claims.get(team) ?? { sum: UsageWindow.zero, from: new Set() };
        claims.set(team, known);
        if (known.from.has(incarnation)) return;
        known.from.add(incarnation);
        known.sum = UsageWindow.sum(known.sum, claim);
      },
      recordProxyCount(proxies) {
        knownCount = Math.max(proxies, knownCount);
      },
      isComplete,
      unknown: (team, bound, spanMs) =>
        isComplete(spanMs)
          ? UsageWindow.zero
          : UsageWindow.difference(bound, claims.get(team)?.sum ?? UsageWindow.zero),
      takeUnasked() {
        if (Instant.since(askedAt) < askIntervalMs) return [];
        askedAt = Instant.now();
        return unheard();
      },
    };
  },
};
