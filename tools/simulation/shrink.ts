// Finds few faults that still break the same rule: leaves out one after another, and keeps to the list without it
// whenever the same judge finds a violation all the same.
import type { Threads } from './threads.js';
import type { World } from './world.js';

export type Shrink = { readonly run: (threads: Threads, world: World) => Promise<World> };

export const Shrink: Shrink = {
  async run(threads, world) {
    const judges = new Set(world.violations.map(({ judge }) => judge));
    const isSame = (other: World) => other.violations.some(({ judge }) => judges.has(judge));
    let best = world;
    for (;;) {
      const { faults } = best;
      const tries = await Promise.all(
        faults.map((_fault, index) =>
          threads.play(
            world.seed,
            faults.filter((_other, at) => at !== index),
          ),
        ),
      );
      const found = tries.find(isSame);
      if (!found) return best;
      best = found;
    }
  },
};
