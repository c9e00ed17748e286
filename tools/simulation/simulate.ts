// The simulation as a program: plays seeds, each on a clock of its own, and tells as its last line what was found. A
// seed that breaks a rule is shrunk to few faults and told by time.
import { availableParallelism } from 'node:os';
import sade from 'sade';
import { Main } from '../main.js';
import { Bundle } from './bundle.js';
import { Fault } from './faults.js';
import { Plants } from './plants.js';
import { Shrink } from './shrink.js';
import { Threads } from './threads.js';
import type { World } from './world.js';
import { World as Worlds } from './world.js';

type Flags = {
  readonly seeds?: number;
  readonly from: number;
  readonly threads: number;
  readonly replay?: number;
  readonly plants?: boolean;
  readonly only: string;
  readonly shrink: boolean;
};

const toldSeeds = 5;
const toldLines = 40;

const tell = (text: string) => process.stdout.write(`${text}\n`);

/** The lines about the orders of a violation, and what came just before it. */
const tellStory = (world: World): void => {
  const { at, text } = [...world.violations].sort((a, b) => a.at - b.at)[0]!;
  const orders = [...text.matchAll(/order-\d+/g)].map(([name]) => name);
  const isAbout = (line: string) => orders.some((name) => new RegExp(`\\b${name}\\b`).test(line));
  const last = world.lines.findIndex((line) => Number.parseFloat(line) * 1000 > at);
  const end = last < 0 ? world.lines.length : last;
  world.lines.forEach((line, index) => {
    const isNear = index < end && index >= end - toldLines;
    if (isNear || line.includes(' fault ') || isAbout(line)) tell(`  ${line}`);
  });
};

const tellBroken = async (threads: Threads, world: World, isShrunk: boolean): Promise<void> => {
  tell(`seed ${world.seed}:`);
  for (const { judge, at, text } of world.violations.slice(0, 8))
    tell(`  ${judge} at ${(at / 1000).toFixed(3)} s: ${text}`);
  const few = isShrunk ? await Shrink.run(threads, world) : world;
  tell(`  faults (${few.faults.length} of ${world.faults.length}):`);
  for (const fault of few.faults) tell(`    ${Fault.text(fault)}`);
  tellStory(few);
};

const replay = async (seed: number): Promise<number> => {
  const { code } = await Bundle.build();
  const world = await Worlds.play({ seed, code });
  for (const line of world.lines) tell(line);
  tell(`digest ${world.digest}`);
  tell(
    JSON.stringify({
      seeds: 1,
      violations: world.violations.length,
      occasions: world.occasions,
      simulated_s: world.simulated,
    }),
  );
  return world.violations.length === 0 ? 0 : 1;
};

const playAll = async ({ seeds = 100, from, threads: count, shrink }: Flags): Promise<number> => {
  const began = performance.now();
  const { code } = await Bundle.build();
  const threads = Threads.start(code, Math.min(count, seeds));
  const occasions: Record<string, number> = {};
  let violations = 0;
  let simulated = 0;
  const broken: World[] = [];
  const list = Array.from({ length: seeds }, (_none, index) => from + index);
  await Promise.all(
    list.map(async (seed) => {
      const world = await threads.play(seed);
      violations += world.violations.length;
      simulated += world.simulated;
      if (world.violations.length > 0) broken.push(world);
      for (const [name, times] of Object.entries(world.occasions))
        occasions[name] = (occasions[name] ?? 0) + times;
    }),
  );
  const wall = (performance.now() - began) / 1000;
  broken.sort((a, b) => a.seed - b.seed);
  for (const world of broken.slice(0, toldSeeds)) await tellBroken(threads, world, shrink);
  if (broken.length > 0)
    tell(`broken: ${broken.map(({ seed, violations: [first] }) => `${seed} ${first!.judge}`).join(', ')}`);
  await threads.stop();
  tell(
    JSON.stringify({
      seeds,
      violations,
      occasions,
      simulated_s: simulated,
      wall_s: Math.round(wall * 10) / 10,
    }),
  );
  return violations === 0 ? 0 : 1;
};

const run = (flags: Flags): Promise<number> => {
  if (flags.replay !== undefined) return replay(flags.replay);
  if (flags.plants) return Plants.run(flags);
  return playAll(flags);
};

sade('simulate', true)
  .describe('Plays the control side on a simulated clock, network and disks, and judges what operators saw.')
  .option('--seeds', 'how many seeds; 100, and with --plants at most 300 for each')
  .option('--from', 'the first seed', 1)
  .option('--threads', 'how many seeds at a time', availableParallelism())
  .option('--replay', 'one seed, with its whole trace')
  .option('--plants', 'plants each defect and tells whether it is found', false)
  .option('--only', 'with --plants: only those whose name has this text', '')
  .option('--shrink', 'looks for the fewest faults that break a rule', true)
  .action((flags: Flags) => Main(run(flags)))
  .parse(process.argv);
