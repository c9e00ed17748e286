/**
 * Number of requests in progress by server group and team. Once the servers available to a proxy for a group are three
 * quarters full, a team that already uses its even share of them is refused early, as not run, so that a burst of one
 * team leaves capacity for the others.
 */
/** Limits each team to its even share of a group that is nearly full. */
export type Shares = {
  /** Counts a request as started and returns a function that ends it, or returns undefined if the team is over its share. */
  readonly acquire: (group: string, team: string, capacity: number) => (() => void) | undefined;
};

/** Fraction of the capacity above which shares are enforced. */
const fairnessThreshold = 0.75;

/** Creates an empty count. */
export const Shares = {
  of(): Shares {
    const active = new Map<string, Map<string, number>>();
    return {
      acquire(group, team, capacity) {
        const teams = active.get(group) ?? new Map<string, number>();
        active.set(group, teams);
        const ownCount = teams.get(team) ?? 0;
        const totalCount = [...teams.values()].reduce((sum, count) => sum + count, 0);
        const evenShare = capacity / Math.max(2, teams.size + (ownCount === 0 ? 1 : 0));
        if (totalCount >= capacity * fairnessThreshold && ownCount >= Math.max(1, evenShare))
          return undefined;
        teams.set(team, ownCount + 1);
        return () => {
          const remaining = (teams.get(team) ?? 1) - 1;
          if (remaining > 0) teams.set(team, remaining);
          else teams.delete(team);
        };
      },
    };
  },
};
