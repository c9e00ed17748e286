/**
 * Limits of the tries beyond the first ("extra tries") that a group of servers may receive from all proxies together, in any
 * window: a share of the requests for that group, and a fixed number. The share is earned as tokens, one pool for each group.
 * The fixed number covers the rest: what proxies may try without a token, and the tokens that exist at the start of a window,
 * which were earned before it.
 */

/** The limits, for each group by itself. */
export type RetryLimits = {
  /** Extra tries for each request. */
  readonly ratio?: number;
  /** Extra tries in any window beside the share. */
  readonly count: number;
  /** The window, in milliseconds. */
  readonly window: number;
};

/** Extra tries for each request where the limits give none. */
const defaultRatio = 0.2;
/** Token amounts are counted in thousandths, so that shares add up exactly. */
const oneToken = 1000;
/** Tokens that each proxy keeps for a group, in thousandths. */
const reserve = oneToken;
/** Part of the fixed number that the proxies' shares add up to. */
const sharedFraction = 0.35;
/** Part of the fixed number that one try from every proxy at once may reach. */
const maxSimultaneousFraction = 0.5;
/** Part of the fixed number that is left for tokens on their way between proxies and the pool. */
const inTransitFraction = 0.1;
/** Bounds of the pool of a group, as parts of the fixed number. Two pools may exist for a moment during a takeover. */
const minPoolFraction = 0.05;
const maxPoolFraction = 0.25;

/** What one proxy may try without a token: `tries` in any window of `window` milliseconds. */
type Share = { readonly tries: number; readonly window: number };

/** The share of one proxy; undefined if there are too many proxies for each to have one. */
const shareOf = ({ count, window }: RetryLimits, proxies: number): Share | undefined => {
  const share = (count * sharedFraction) / proxies;
  if (share >= 1) return { tries: Math.floor(share), window };
  return proxies <= count * maxSimultaneousFraction ? { tries: 1, window: window / share } : undefined;
};

/** Computes what follows from the limits. */
export const RetryLimits = {
  defaultRatio,
  oneToken,
  reserve,
  shareOf,
  /** Earned by one request, in thousandths of a token. */
  earnedPerRequest: (limits: RetryLimits | undefined): number =>
    Math.floor((limits?.ratio ?? defaultRatio) * oneToken),
  /** The most tokens that the pool of a group may hold, in thousandths; unbounded without limits. */
  poolCapacity(limits: RetryLimits | undefined, proxies: number): number {
    if (!limits) return Number.POSITIVE_INFINITY;
    const { count } = limits;
    const shared = (shareOf(limits, Math.max(1, proxies))?.tries ?? 0) * proxies;
    const free = count * (1 - inTransitFraction) - shared - (proxies * reserve) / oneToken;
    const tokens = Math.max(count * minPoolFraction, Math.min(count * maxPoolFraction, free));
    return Math.floor(tokens * oneToken);
  },
};
