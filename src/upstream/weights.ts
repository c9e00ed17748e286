// Which group next, when a rule splits its requests by weight: one is drawn by chance among those that have an
// open server, in proportion to what the rule says. A group of weight 0 gets nothing.
import type { Candidate } from './candidate.js';

export type Weights = Readonly<Record<string, number>>;

export const Weights = {
  draw(open: readonly Candidate[], weights: Weights, random: () => number): readonly Candidate[] {
    const names = [...new Set(open.map(({ group }) => group.name as string))];
    const sum = names.reduce((total, name) => total + (weights[name] ?? 0), 0);
    let point = random() * sum;
    for (const name of names) {
      point -= weights[name] ?? 0;
      if (point < 0) return open.filter(({ group }) => group.name === name);
    }
    return [];
  },
};
