// The seeded campaign: one line of JSON a seed, and one over all of them with the occasions of each judge.
// Exit code 1 when a judge found a breach, or when one had no occasion over a set of ten seeds or more.
import sade from 'sade';
import { Main } from '../main.js';
import { Season } from './season.js';
import { Verdicts } from './verdicts.js';

type Flags = {
  deployment: 'baobab' | 'likhet' | 'both';
  seed: number;
  seeds: number;
  seconds: number;
  only: string;
  final: Season.Terms['final'];
  keep: boolean;
  small: boolean;
  judge: string;
  'at-once': number;
};

const setFrom = 10;

const tell = (line: object) => process.stdout.write(`${JSON.stringify(line)}\n`);

const brief = ({ verdicts, figures }: Verdicts) => ({
  ...figures,
  occasions: Object.fromEntries(Object.entries(verdicts).map(([name, one]) => [name, one.occasions])),
  breaches: Object.fromEntries(
    Object.entries(verdicts)
      .filter(([, { breaches }]) => breaches.length > 0)
      .map(([name, { breaches }]) => [name, [breaches.length, ...breaches.slice(0, 4)]]),
  ),
});

const run = async (flags: Flags): Promise<number> => {
  if (flags.judge !== '') {
    const told = Verdicts.of(flags.judge);
    tell(brief(told));
    return Object.values(told.verdicts).every(({ breaches }) => breaches.length === 0) ? 0 : 1;
  }
  const first = Number(flags.seed);
  const only = flags.only === '' ? [] : String(flags.only).split(',');
  const occasions: Record<string, number> = {};
  const breaches: Record<string, number> = {};
  for (let seed = first; seed < first + Number(flags.seeds); seed += 1) {
    const deployment =
      flags.deployment === 'both' ? (seed % 2 === 0 ? 'baobab' : 'likhet') : flags.deployment;
    const { seconds, final, keep, small } = flags;
    const season = await Season.run({
      ...{ deployment, seed, seconds, only, final, keep, small },
      atOnce: flags['at-once'],
    });
    for (const [name, verdict] of Object.entries(season.verdicts)) {
      occasions[name] = (occasions[name] ?? 0) + verdict.occasions;
      breaches[name] = (breaches[name] ?? 0) + verdict.breaches.length;
    }
    tell({
      seed,
      deployment,
      ...brief(season),
      ...(season.isClean && !keep ? {} : { folder: season.folder }),
    });
  }
  const idle = Object.keys(occasions).filter((name) => occasions[name] === 0);
  tell({ seeds: Number(flags.seeds), occasions, breaches, idle });
  const isWhole = only.length > 0 || Number(flags.seeds) < setFrom || idle.length === 0;
  return isWhole && Object.values(breaches).every((count) => count === 0) ? 0 : 1;
};

sade('campaign', true)
  .option('--deployment', 'baobab, likhet or both in turn', 'both')
  .option('--seed', 'first seed', 1)
  .option('--seeds', 'how many seeds', 1)
  .option('--seconds', 'how long faults are made', 25)
  .option('--only', 'breakers to draw from, comma-separated', '')
  .option('--final', 'wiped, kept, one, alive, drawn by the seed, or off', 'drawn')
  .option('--small', 'one machine and one server of each kind a zone', false)
  .option('--keep', 'keep the journals of clean runs', false)
  .option('--at-once', 'how many faults at once at the most', 3)
  .option('--judge', 'judge the kept folder of an earlier run again', '')
  .action((flags: Flags) => {
    Main(run(flags));
  })
  .parse(process.argv);
