// What all daemons share: flags and a startup file are read and checked with all findings at once, one
// JSON line on standard output says when the program is ready and where it listens, SIGTERM drains and
// a second one ends at once. Exit codes: 0 ended in order, 1 a failure, 2 a bad startup.
import { readFileSync } from 'node:fs';
import sade from 'sade';
import { Failure } from '../common/failure.js';
import type { Guard } from '../common/guard.js';
import { LogBuffer } from '../log/log-buffer.js';
import { Version } from './version.js';

export type Program = {
  readonly ready: Readonly<Record<string, string>>;
  readonly drain: () => Promise<void>;
};

export declare namespace Program {
  type Definition<S> = {
    readonly name: string;
    readonly about: string;
    readonly guard: Guard<S>;
    readonly flags: Readonly<Record<string, string>>;
    readonly start: (startup: S, ring: LogBuffer) => Promise<Program>;
  };
  type RunOptions = {
    readonly name: string;
    readonly node: string;
    readonly start: (ring: LogBuffer) => Promise<Program>;
  };
}

type Flags = Readonly<Record<string, unknown>>;

const fail = (findings: readonly Guard.Finding[], where: string): never => {
  process.stderr.write(
    `${where} cannot be used:\n${findings.map((one) => `  ${one.place} ${one.text}`).join('\n')}\n`,
  );
  process.exit(2);
};

const readFile = (path: string): Record<string, unknown> => {
  try {
    return JSON.parse(readFileSync(path, 'utf8')) as Record<string, unknown>;
  } catch (error) {
    return fail([{ place: path, text: Failure.text(error) }], 'the startup file');
  }
};

const readValue = (flag: string, value: unknown): unknown => {
  if (flag === 'seeds') return String(value).split(',');
  return typeof value === 'string' && /^\d+$/.test(value) ? Number(value) : value;
};

const settle = (known: Readonly<Record<string, string>>, flags: Flags): unknown => {
  const file = flags.startup === undefined ? {} : readFile(String(flags.startup));
  const unknown = Object.keys(flags).filter(
    (flag) => flag !== '_' && flag !== 'startup' && !Object.hasOwn(known, flag),
  );
  if (unknown.length > 0)
    fail(
      unknown.map((flag) => ({ place: `--${flag}`, text: 'is not known here' })),
      'the flags',
    );
  const given = Object.entries(flags).filter(
    ([flag, value]) => Object.hasOwn(known, flag) && value !== undefined,
  );
  return { ...file, ...Object.fromEntries(given.map(([flag, value]) => [flag, readValue(flag, value)])) };
};

/** Sees to it that the program does not end without a line that says why; returns how to end it after a failure. */
const watchEnd = (ring: LogBuffer, isDraining: () => boolean): ((error: unknown) => never) => {
  let isTold = false;
  const die = (error: unknown): never => {
    isTold = true;
    ring.error('the program ends', { why: Failure.text(error), stack: (error as Error)?.stack });
    process.exit(1);
  };
  process.on('uncaughtException', die);
  process.on('unhandledRejection', die);
  process.once('exit', (code) => {
    if (!isTold && !isDraining()) ring.error('the program ends', { why: 'nothing is left to do', code });
  });
  return die;
};

const run = async (terms: Program.RunOptions): Promise<void> => {
  const ring = LogBuffer.of(terms.node);
  let isDraining = false;
  const die = watchEnd(ring, () => isDraining);
  let program: Program;
  try {
    program = await terms.start(ring);
  } catch (error) {
    return die(error);
  }
  const end = () => {
    if (isDraining) process.exit(0);
    isDraining = true;
    program.drain().then(() => process.exit(0), die);
  };
  process.on('SIGTERM', end);
  process.on('SIGINT', end);
  const { name, node } = terms;
  process.stdout.write(
    `${JSON.stringify({ ready: true, program: name, node, pid: process.pid, ...program.ready })}\n`,
  );
};

const runChecked = <S>(terms: Program.Definition<S>, flags: Flags): Promise<void> => {
  const findings: Guard.Finding[] = [];
  const startup = settle(terms.flags, flags);
  if (!terms.guard(startup, '', findings)) return fail(findings, 'the startup');
  const node = String((startup as { node?: unknown }).node);
  return run({ name: terms.name, node, start: (ring) => terms.start(startup as S, ring) });
};

export const Program = {
  fail,
  run: (terms: Program.RunOptions): void => void run(terms),
  main<S>(terms: Program.Definition<S>): void {
    const cli = sade(terms.name, true).version(Version).describe(terms.about);
    cli.option('--startup', 'startup file (JSON); flags go before it');
    for (const [flag, about] of Object.entries(terms.flags)) cli.option(`--${flag}`, about);
    cli.action((flags: Flags) => void runChecked(terms, flags));
    cli.parse(process.argv);
  },
};
