// How fast servers read, learned from this proxy's own streams. A server's pace is a low quantile of
// the time between two events of a stream there, against the least of its group: the slower server shows by it
// whatever it reads. The group's speed is learned from prompts whose unread part is known for sure: tokens by time to the
// first event, when nothing else of ours waited there.

export type PrefillSpeed = {
  /** Tokens a millisecond at this server. */
  readonly tokensPerMs: (instance: string, group: string) => number;
  /** How many times slower than the fastest of its group this server is. */
  readonly slowdownOf: (instance: string, group: string) => number;
  readonly recordEventGap: (instance: string, span: number) => void;
  readonly recordFirstToken: (group: string, tokens: number, span: number) => void;
  readonly retain: (isHeld: (instance: string) => boolean) => void;
};

const startSpeed = 50;
const bounds = { slowest: 0.5, fastest: 2000 } as const;
const step = 0.02;
const quantile = 0.2;
const weight = 0.1;
const mostPace = 4;
const leastTokens = 400;

export const PrefillSpeed = {
  of(): PrefillSpeed {
    const paces = new Map<string, number>();
    const speeds = new Map<string, number>();
    const groups = new Map<string, Set<string>>();
    const bests = new Map<string, number>();
    const bestOf = (group: string, members: ReadonlySet<string>): number => {
      const known = bests.get(group);
      if (known !== undefined) return known;
      let best = Number.POSITIVE_INFINITY;
      for (const member of members) best = Math.min(best, paces.get(member) ?? best);
      bests.set(group, best);
      return best;
    };
    const paceOf = (instance: string, group: string): number => {
      const members = groups.get(group) ?? new Set<string>();
      if (!members.has(instance)) {
        members.add(instance);
        bests.delete(group);
      }
      groups.set(group, members);
      const own = paces.get(instance);
      if (own === undefined) return 1;
      return Math.min(mostPace, Math.max(1, own / Math.max(1, bestOf(group, members))));
    };
    return {
      slowdownOf: paceOf,
      tokensPerMs: (instance, group) => (speeds.get(group) ?? startSpeed) / paceOf(instance, group),
      recordEventGap(instance, gap) {
        if (gap < 1) return;
        bests.clear();
        const known = paces.get(instance) ?? gap;
        paces.set(instance, known * (gap < known ? 1 - step * (1 - quantile) : 1 + step * quantile));
      },
      recordFirstToken(group, tokens, taken) {
        if (tokens < leastTokens || taken <= 0) return;
        const seen = Math.min(bounds.fastest, Math.max(bounds.slowest, tokens / taken));
        const known = speeds.get(group) ?? startSpeed;
        speeds.set(group, known + weight * (seen - known));
      },
      retain(isHeld) {
        bests.clear();
        for (const instance of paces.keys()) if (!isHeld(instance)) paces.delete(instance);
        for (const members of groups.values())
          for (const instance of members) if (!isHeld(instance)) members.delete(instance);
      },
    };
  },
};
