/**
 * Experiments with the decisions of proxies: one policy against another on the same seeds, by the product's own modules
 * on simulated time. The last line is one JSON object.
 */
import { readFileSync, writeFileSync } from 'node:fs';
import { fileURLToPath } from 'node:url';
import sade from 'sade';
import { parse } from 'yaml';
import { Main } from '../main.js';
import type { Bundle } from '../simulation/bundle.js';
import { ThreadPool } from '../thread-pool.js';
import { Comparison } from './comparison.js';
import { Fault } from './faults.js';
import { Plot } from './plot.js';
import { Policy } from './policies.js';
import { Script } from './script.js';
import type { Tally } from './tally.js';
import { Workload } from './workload.js';
import type { World } from './world.js';

type Flags = {
  readonly workload: string;
  readonly faults: string;
  readonly base: string;
  readonly policy: string;
  readonly changes?: string;
  readonly seeds: number;
  readonly from: number;
  readonly seconds: number;
  readonly load: number;
  readonly threads: number;
  readonly plot?: string;
  readonly json?: boolean;
};

type Told = { readonly tally?: Tally; readonly error?: string };

const folder = new URL('../../../tools/experiment/', import.meta.url);
const pathOf = (kind: string, name: string): string =>
  name.endsWith('.yaml') ? name : fileURLToPath(new URL(`${kind}/${name}.yaml`, folder));

/** Policies of a file: a YAML map of names to replacements. */
const fromFile = (path: string | undefined): Readonly<Record<string, readonly Bundle.Change[]>> =>
  path === undefined ? {} : parse(readFileSync(path, 'utf8'));

const changesOf = (name: string, { changes }: Flags): readonly Bundle.Change[] =>
  fromFile(changes)[name] ?? Policy.changes(name);

const namesOf = ({ policy, changes }: Flags): readonly string[] =>
  policy === 'all' ? Object.keys(changes ? fromFile(changes) : Policy.all) : policy.split(',');

const playAll = async (name: string, flags: Flags, pool: ThreadPool<World.Play, Told>): Promise<Tally[]> => {
  const { code } = await Script.build(changesOf(name, flags));
  const workload = Workload.read(pathOf('workloads', flags.workload));
  const faults = Fault.read(pathOf('faults', flags.faults));
  const seeds = Array.from({ length: flags.seeds }, (_none, index) => flags.from + index);
  return Promise.all(
    seeds.map(async (seed) => {
      const told = await pool.run({
        seed,
        code,
        workload,
        faults,
        span: flags.seconds * 1000,
        load: flags.load,
      });
      if (!told.tally) throw new Error(told.error);
      return told.tally;
    }),
  );
};

const compare = async (
  name: string,
  base: readonly Tally[],
  flags: Flags,
  pool: ThreadPool<World.Play, Told>,
) => {
  const other = name === flags.base ? base : await playAll(name, flags, pool);
  const rows = Comparison.of(base, other);
  const isPlain = !flags.json;
  if (isPlain) process.stdout.write(`${name} against ${flags.base}\n${Comparison.table(rows)}\n`);
  if (flags.plot) {
    const title = `${flags.workload}, ${flags.faults}, ${flags.seeds} seeds`;
    writeFileSync(flags.plot, await Plot.svg(title, { [flags.base]: base, [name]: other }));
  }
  return { policy: name, rows, counts: other[0]?.counts };
};

const run = async (flags: Flags): Promise<number> => {
  const began = performance.now();
  const script = new URL('./worker.js', import.meta.url);
  const pool = ThreadPool.start<World.Play, Told>({ script, data: {}, count: flags.threads });
  const base = await playAll(flags.base, flags, pool);
  const compared = [];
  for (const name of namesOf(flags)) compared.push(await compare(name, base, flags, pool));
  await pool.stop();
  const wall = Math.round((performance.now() - began) / 100) / 10;
  const { workload, faults, seeds, from } = flags;
  const told = { workload, faults, base: flags.base, seeds, from, compared, wall_s: wall };
  process.stdout.write(`${JSON.stringify(told)}\n`);
  return 0;
};

sade('experiment', true)
  .describe('Plays one policy of the proxies against another, on the same seeds.')
  .option('--workload', 'a name in tools/experiment/workloads, or a YAML file', 'long-shared')
  .option('--faults', 'a name in tools/experiment/faults, or a YAML file', 'calm')
  .option('--base', 'the policy to compare with', 'as it is')
  .option('--policy', 'names of policies, parted by commas, or "all"', 'as it is')
  .option('--changes', 'a YAML file of further policies: names with replacements (file, from, to)')
  .option('--seeds', 'how many', 20)
  .option('--from', 'the first seed', 1)
  .option('--seconds', 'of traffic', 34)
  .option('--load', 'times the rates of the workload', 1)
  .option('--threads', 'how many plays at a time', 3)
  .option('--plot', 'an SVG file to write')
  .option('--json', 'only the last line')
  .action((flags: Flags) => Main(run(flags)))
  .parse(process.argv);
