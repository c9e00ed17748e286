// The faults of callers: crowds that arrive together at one proxy or at all, and swings between long
// prompts and long answers.
import { Caller } from '../caller.js';
import { Random } from '../random.js';
import type { Breakers } from './breakers.js';
import { Places } from './places.js';
import type { World } from './world.js';

let crowds = 0;

const crowd = async (
  world: World,
  kind: string,
  span: number,
  rate: number,
  proxies: readonly string[],
  isOf: (name: number) => boolean,
) => {
  crowds += 1;
  let callers: Caller | undefined;
  await Places.during(
    world,
    kind,
    {},
    Math.min(span, 3000),
    () => {
      callers = Caller.run({
        kinds: world.kit.deployment.mix.filter((_kind, index) => isOf(index)),
        proxies: () => proxies,
        random: Random.of(world.random.below(1_000_000)),
        journal: world.callers,
        rate,
        tag: `crowd-${crowds}-`,
      });
    },
    () => callers?.stop(),
  );
};

const fronts = (world: World) => world.kit.fronts.map((front) => front.listen);

export const CallerBreakers = {
  crowdAtOne: (world, span) =>
    crowd(world, 'crowd-at-one', span, 4, [world.random.pick(fronts(world))], () => true),
  crowdAtAll: (world, span) => crowd(world, 'crowd-at-all', span, 5, fronts(world), () => true),
  swingToPrompts: (world, span) =>
    crowd(world, 'swing-to-prompts', span, 8, fronts(world), (index) => index === 0),
  swingToAnswers: (world, span) =>
    crowd(world, 'swing-to-answers', span, 6, fronts(world), (index) => index === 1),
} as const satisfies Breakers;
