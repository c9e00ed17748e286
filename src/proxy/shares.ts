// Who has how many requests running, by server group and team. Once the servers that a proxy may use for
// a group are three quarters full, a team that already holds its even part of them is dropped early, as
// not run, so that one team's crowd leaves room for the others.
export type Shares = {
  readonly acquire: (group: string, team: string, capacity: number) => (() => void) | undefined;
};

const crowdedFrom = 0.75;

export const Shares = {
  of(): Shares {
    const active = new Map<string, Map<string, number>>();
    return {
      acquire(group, team, capacity) {
        const teams = active.get(group) ?? new Map<string, number>();
        active.set(group, teams);
        const mine = teams.get(team) ?? 0;
        const all = [...teams.values()].reduce((sum, count) => sum + count, 0);
        const even = capacity / Math.max(2, teams.size + (mine === 0 ? 1 : 0));
        if (all >= capacity * crowdedFrom && mine >= Math.max(1, even)) return undefined;
        teams.set(team, mine + 1);
        return () => {
          const left = (teams.get(team) ?? 1) - 1;
          if (left > 0) teams.set(team, left);
          else teams.delete(team);
        };
      },
    };
  },
};
