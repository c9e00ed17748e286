/**
 * The whole regression in turn: plays each deployment of a plan by an outside bench, one call at a time, and prints a
 * table at its end. The plan is a YAML list; which bench and which deployments there are is told by it alone.
 */
import { spawn } from 'node:child_process';
import { readFileSync } from 'node:fs';
import sade from 'sade';
import { parse } from 'yaml';
import { Main } from './main.js';

/** One call of the bench and what it said. */
export type Outcome = {
  readonly deployment: string;
  readonly verb: string;
  readonly result: string;
  readonly seconds: number;
  readonly isGood: boolean;
};

/** What is to be played of one deployment. */
export type Entry = {
  readonly deployment: string;
  readonly bench: string;
  /** Days with other seeds, in which no rule may break. */
  readonly hunt?: number;
  /** Whether the standard days are scored. */
  readonly score?: boolean;
};

type Call = { readonly entry: Entry; readonly verb: string; readonly args: readonly string[] };

const callsOf = (entry: Entry, jobs: number, why: string): readonly Call[] => {
  const common = ['--jobs', String(jobs), '--why', why];
  const hunt = ['--days', String(entry.hunt ?? 0), ...common];
  return [
    ...(entry.score ? [{ entry, verb: 'score', args: [entry.deployment, ...common] }] : []),
    ...(entry.hunt ? [{ entry, verb: 'hunt', args: [entry.deployment, ...hunt] }] : []),
  ];
};

const run = (program: string, args: readonly string[]): Promise<string> =>
  new Promise((resolve, reject) => {
    const child = spawn(program, args, { stdio: ['ignore', 'pipe', 'inherit'] });
    const parts: Buffer[] = [];
    child.stdout.on('data', (part: Buffer) => parts.push(part));
    child.once('error', reject);
    child.once('close', () => resolve(Buffer.concat(parts).toString('utf8')));
  });

/** Reads the lines by which a bench closes. */
export const Regress = {
  read(verb: string, text: string): Pick<Outcome, 'result' | 'isGood'> {
    const lines = text.split('\n');
    const find = (pattern: RegExp) => lines.find((line) => pattern.test(line))?.trim();
    const gate = find(/^GATE (passed|failed)/);
    const score = find(/^score on /);
    const days = /^(\d+) days on .*?, (\d+|none) with a rule broken/;
    const hunt = find(days);
    if (verb === 'score')
      return {
        result: [score, gate].filter(Boolean).join('; ') || 'no verdict',
        isGood: gate === 'GATE passed',
      };
    const broken = hunt === undefined ? undefined : days.exec(hunt)?.[2];
    return { result: hunt ?? 'no verdict', isGood: broken === '0' || broken === 'none' };
  },
  async play(plan: readonly Entry[], jobs: number, why: string): Promise<readonly Outcome[]> {
    const outcomes: Outcome[] = [];
    for (const { entry, verb, args } of plan.flatMap((one) => callsOf(one, jobs, why))) {
      const began = performance.now();
      const text = await run(entry.bench, [verb, ...args]);
      const seconds = Math.round((performance.now() - began) / 1000);
      outcomes.push({ deployment: entry.deployment, verb, seconds, ...Regress.read(verb, text) });
    }
    return outcomes;
  },
  table: (outcomes: readonly Outcome[]): string =>
    outcomes
      .map(({ deployment, verb, result, seconds, isGood }) => {
        const name = deployment.split('/').at(-1) ?? deployment;
        return `${name.padEnd(32)} ${verb.padEnd(6)} ${String(seconds).padStart(6)} s  ${isGood ? 'good' : 'BAD '}  ${result}`;
      })
      .join('\n'),
};

const main = async (plan: string, jobs: number, why: string): Promise<number> => {
  const outcomes = await Regress.play(parse(readFileSync(plan, 'utf8')) as Entry[], jobs, why);
  process.stdout.write(`${Regress.table(outcomes)}\n`);
  return outcomes.every(({ isGood }) => isGood) ? 0 : 1;
};

if (process.argv[1]?.endsWith('/regress.js'))
  sade('regress', true)
    .describe('Plays every deployment of a plan (YAML: deployment, bench, hunt, score) one after another.')
    .option('--plan', 'the plan')
    .option('--jobs', 'days that are played at a time', 4)
    .option('--why', 'a line for the journal', 'the whole regression')
    .action((flags: { plan: string; jobs: number; why: string }) =>
      Main(main(flags.plan, flags.jobs, flags.why)),
    )
    .parse(process.argv);
