/**
 * How fast servers read prompts (prefill), learned from this proxy's own streams. A server's slowdown is a low quantile of
 * the time between two events of its streams, relative to the lowest of its group: it shows a slower server whatever the
 * prompts are. The group's speed is learned from prompts whose number of uncached tokens is certain: those tokens over the
 * time to the first event, when no other request of this proxy waited there.
 */

/** Estimates prefill speed by server. */
export type PrefillSpeed = {
  /** Prompt tokens that this server reads per millisecond. */
  readonly tokensPerMs: (instance: string, group: string) => number;
  /** How many times slower this server is than the fastest of its group. */
  readonly slowdownOf: (instance: string, group: string) => number;
  /** Records the time in ms between two events of a stream. */
  readonly recordEventGap: (instance: string, span: number) => void;
  /** Records the time in ms that a prompt with so many uncached tokens took to its first token. */
  readonly recordFirstToken: (group: string, tokens: number, span: number) => void;
  readonly retain: (isListed: (instance: string) => boolean) => void;
};

const initialTokensPerMs = 50;
const tokensPerMsBounds = { slowest: 0.5, fastest: 2000 } as const;
/** Relative step of the quantile estimate per event. */
const quantileStep = 0.02;
const quantile = 0.2;
/** Weight of a new sample in the moving average of a group's speed. */
const sampleWeight = 0.1;
const maxSlowdown = 4;
/** Shorter prompts tell too little of the speed. */
const minTokens = 400;

/** Creates estimates with the initial speed for every group. */
export const PrefillSpeed = {
  of(): PrefillSpeed {
    const gaps = new Map<string, number>();
    const speeds = new Map<string, number>();
    const groups = new Map<string, Set<string>>();
    const lowestGaps = new Map<string, number>();
    const lowestGapOf = (group: string, members: ReadonlySet<string>): number => {
      const known = lowestGaps.get(group);
      if (known !== undefined) return known;
      let lowest = Number.POSITIVE_INFINITY;
      for (const member of members) lowest = Math.min(lowest, gaps.get(member) ?? lowest);
      lowestGaps.set(group, lowest);
      return lowest;
    };
    const slowdownOf = (instance: string, group: string): number => {
      const members = groups.get(group) ?? new Set<string>();
      if (!members.has(instance)) {
        members.add(instance);
        lowestGaps.delete(group);
      }
      groups.set(group, members);
      const own = gaps.get(instance);
      if (own === undefined) return 1;
      return Math.min(maxSlowdown, Math.max(1, own / Math.max(1, lowestGapOf(group, members))));
    };
    return {
      slowdownOf,
      tokensPerMs: (instance, group) =>
        (speeds.get(group) ?? initialTokensPerMs) / slowdownOf(instance, group),
      recordEventGap(instance, gap) {
        if (gap < 1) return;
        lowestGaps.clear();
        const known = gaps.get(instance) ?? gap;
        gaps.set(
          instance,
          known * (gap < known ? 1 - quantileStep * (1 - quantile) : 1 + quantileStep * quantile),
        );
      },
      recordFirstToken(group, tokens, span) {
        if (tokens < minTokens || span <= 0) return;
        const sample = Math.min(
          tokensPerMsBounds.fastest,
          Math.max(tokensPerMsBounds.slowest, tokens / span),
        );
        const known = speeds.get(group) ?? initialTokensPerMs;
        speeds.set(group, known + sampleWeight * (sample - known));
      },
      retain(isListed) {
        lowestGaps.clear();
        for (const instance of gaps.keys()) if (!isListed(instance)) gaps.delete(instance);
        for (const members of groups.values())
          for (const instance of members) if (!isListed(instance)) members.delete(instance);
      },
    };
  },
};
