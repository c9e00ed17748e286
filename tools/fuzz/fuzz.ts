// The fuzzer of the request path: draws cases from seeds, plays them with several proxies side by side in this
// process, and tells each violation with the seed that makes its case again. With --plants it shows that each known
// defect is found. The last line is JSON.
import sade from 'sade';
import { Main } from '../main.js';
import { Case } from './cases.js';
import { Plants } from './plants.js';
import { Player } from './player.js';

type Flags = { cases: number; from: number; players: number; plants: boolean };
type Found = { readonly seed: number; readonly judge: string; readonly text: string };

const casesOfSeed = 50;
const mostTold = 20;
const casesOfPlant = 1500;

const say = (text: string): void => void process.stdout.write(`${text}\n`);

export type Fuzz = {
  readonly cases: number;
  readonly violations: readonly Found[];
  readonly occasions: Readonly<Record<string, number>>;
};

export const Fuzz = {
  /** Plays so many cases from the seed on; with `isOver` it may end sooner. */
  async run(
    terms: {
      readonly cases: number;
      readonly from: number;
      readonly players: number;
      readonly alter?: Player.Alter;
    },
    isOver: (found: readonly Found[]) => boolean = () => false,
  ): Promise<Fuzz> {
    const found: Found[] = [];
    const occasions: Record<string, number> = {};
    let played = 0;
    let seed = terms.from;
    const work = async (index: number) => {
      const player = await Player.start(`${terms.from}-${index}`, terms.alter);
      while (played < terms.cases && !isOver(found)) {
        const own = seed;
        seed += 1;
        for (const one of Case.draw(own, casesOfSeed)) {
          if (played >= terms.cases || isOver(found)) break;
          played += 1;
          for (const violation of await player.play(one)) found.push({ seed: own, ...violation });
        }
      }
      for (const [what, count] of player.occasions) occasions[what] = (occasions[what] ?? 0) + count;
      await player.stop();
    };
    await Promise.all(Array.from({ length: terms.players }, (_none, index) => work(index)));
    return { cases: played, violations: found, occasions };
  },
};

const findPlants = async (flags: Flags): Promise<number> => {
  let missed = 0;
  for (const [name, { judges, alter }] of Object.entries(Plants)) {
    const isFound = (found: readonly Found[]) => found.some(({ judge }) => judges.includes(judge));
    const terms = { cases: casesOfPlant, from: flags.from, players: flags.players, alter };
    const { cases, violations } = await Fuzz.run(terms, isFound);
    if (!isFound(violations)) missed += 1;
    say(`${isFound(violations) ? 'found' : 'MISSED'} within ${cases} cases: ${name}`);
  }
  say(JSON.stringify({ plants: Object.keys(Plants).length, missed }));
  return missed === 0 ? 0 : 1;
};

const run = async (flags: Flags): Promise<number> => {
  if (flags.plants) return findPlants(flags);
  const began = performance.now();
  const { cases, violations, occasions } = await Fuzz.run(flags);
  for (const { seed, judge, text } of violations.slice(0, mostTold)) say(`seed ${seed}: ${judge}: ${text}`);
  say(`${cases} cases in ${((performance.now() - began) / 1000).toFixed(1)} s`);
  say(JSON.stringify({ cases, violations: violations.length, occasions }));
  return violations.length === 0 ? 0 : 1;
};

if (process.argv[1] === new URL(import.meta.url).pathname)
  sade('fuzz', true)
    .option('--cases', 'how many cases', 3000)
    .option('--from', 'seed of the first 50', 1)
    .option('--players', 'proxies side by side', 8)
    .option('--plants', 'show that each known defect is found', false)
    .action((flags: Flags) => {
      Main(run(flags));
    })
    .parse(process.argv);
