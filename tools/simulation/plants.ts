// Planted defects: each is built into a bundle of its own, and the judges must find it within a bound of seeds. A seed
// counts only where the program without the defect breaks no rule, so that nothing else is taken for the find.
import { Bundle } from './bundle.js';
import { Plant } from './plant-list.js';
import { Threads } from './threads.js';
import type { World } from './world.js';

export type Plants = {
  readonly run: (flags: {
    readonly seeds?: number;
    readonly from: number;
    readonly threads: number;
    readonly only: string;
  }) => Promise<number>;
};

type Find = { readonly seed: number; readonly judge: string };
type Search = { readonly from: number; readonly until: number; readonly atOnce: number };

const mostSeeds = 300;
/** Only what contradicts an answer counts as a find: how soon answers come differs with any change. */
const timely: readonly string[] = ['acknowledgedInTime', 'servedAgain'];
const contradiction = ({ violations }: World) => violations.find(({ judge }) => !timely.includes(judge));

const findIn = async (planted: Threads, sound: Threads, search: Search): Promise<Find | undefined> => {
  for (let first = search.from; first < search.until; first += search.atOnce) {
    const length = Math.min(search.atOnce, search.until - first);
    const seeds = Array.from({ length }, (_none, index) => first + index);
    const worlds = await Promise.all(seeds.map((seed) => planted.play(seed)));
    for (const world of worlds) {
      const found = contradiction(world);
      if (found && !contradiction(await sound.play(world.seed)))
        return { seed: world.seed, judge: found.judge };
    }
  }
  return undefined;
};

export const Plants: Plants = {
  async run({ seeds = mostSeeds, from, threads: count, only }) {
    const began = performance.now();
    const found: string[] = [];
    const missed: string[] = [];
    const sound = Threads.start((await Bundle.build()).code, 1);
    const search = { from, until: from + Math.min(seeds, mostSeeds), atOnce: count };
    for (const { name, changes } of Plant.list.filter((plant) => plant.name.includes(only))) {
      const { code } = await Bundle.build(changes);
      const planted = Threads.start(code, count);
      const first = await findIn(planted, sound, search);
      await planted.stop();
      (first ? found : missed).push(name);
      process.stdout.write(
        `${name}: ${first ? `found by ${first.judge} in seed ${first.seed}` : 'missed'}\n`,
      );
    }
    await sound.stop();
    const wall = Math.round((performance.now() - began) / 100) / 10;
    process.stdout.write(`${JSON.stringify({ found, missed, wall_s: wall })}\n`);
    return missed.length === 0 ? 0 : 1;
  },
};
