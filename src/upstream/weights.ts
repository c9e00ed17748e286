/**
 * Weighted choice of a group, for rules that split their requests by weight: one is drawn at random among the groups that
 * have an eligible server, in proportion to the rule's weights. A group of weight 0 gets no requests.
 */
import type { Candidate } from './candidate.js';

/** Weight by group name; a group without one has weight 0. */
export type Weights = Readonly<Record<string, number>>;

/** Draws groups by weight. */
export const Weights = {
  /** Returns the candidates of the drawn group; none when all weights are 0. */
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
