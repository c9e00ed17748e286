/**
 * What all daemons share. Flags and the startup file are validated together and all findings are reported at once. One
 * JSON line on standard output tells when the program is ready and where it listens. SIGTERM or SIGINT drains the
 * program. While it drains, a further SIGTERM changes nothing, so that the requests under way are answered; a SIGINT
 * terminates it at once. Exit codes: 0 after a drain, 1 after a failure, 2 for an invalid startup.
 */
import { readFileSync } from 'node:fs';
import sade from 'sade';
import { Failure } from '../common/failure.js';
import type { Guard } from '../common/guard.js';
import { LogBuffer } from '../log/log-buffer.js';
import { Version } from './version.js';

/** A running program: its addresses for the ready line, and how to drain it. */
export type Program = {
  readonly ready: Readonly<Record<string, string>>;
  readonly drain: () => Promise<void>;
};

/** What a program is made of. */
export declare namespace Program {
  /** A program that reads flags and a startup file. */
  type Definition<S> = {
    readonly name: string;
    readonly about: string;
    readonly guard: Guard<S>;
    readonly flags: Readonly<Record<string, string>>;
    readonly start: (startup: S, log: LogBuffer) => Promise<Program>;
  };
  /** A program whose startup has been validated. */
  type RunOptions = {
    readonly name: string;
    readonly node: string;
    readonly start: (log: LogBuffer) => Promise<Program>;
  };
}

type Flags = Readonly<Record<string, unknown>>;

/** Reports findings on standard error and exits with code 2. */
const fail = (findings: readonly Guard.Finding[], source: string): never => {
  process.stderr.write(
    `${source} cannot be used:\n${findings.map((one) => `  ${one.place} ${one.text}`).join('\n')}\n`,
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

/** Merges the startup file with the flags, which take precedence. */
const mergeStartup = (known: Readonly<Record<string, string>>, flags: Flags): unknown => {
  const file = flags.startup === undefined ? {} : readFile(String(flags.startup));
  const unknown = Object.keys(flags).filter(
    (flag) => flag !== '_' && flag !== 'startup' && !Object.hasOwn(known, flag),
  );
  if (unknown.length > 0)
    fail(
      unknown.map((flag) => ({ place: `--${flag}`, text: 'is not a known flag' })),
      'the flags',
    );
  const given = Object.entries(flags).filter(
    ([flag, value]) => Object.hasOwn(known, flag) && value !== undefined,
  );
  return { ...file, ...Object.fromEntries(given.map(([flag, value]) => [flag, readValue(flag, value)])) };
};

/** Logs why the program exits unexpectedly; returns a function that logs an error and exits with code 1. */
const logUnexpectedExit = (log: LogBuffer, isDraining: () => boolean): ((error: unknown) => never) => {
  let isLogged = false;
  const exitWithError = (error: unknown): never => {
    isLogged = true;
    log.error('the program ends', { why: Failure.text(error), stack: (error as Error)?.stack });
    process.exit(1);
  };
  process.on('uncaughtException', exitWithError);
  process.on('unhandledRejection', exitWithError);
  process.once('exit', (code) => {
    if (!isLogged && !isDraining()) log.error('the program ends', { why: 'nothing is left to do', code });
  });
  return exitWithError;
};

const run = async (options: Program.RunOptions): Promise<void> => {
  const log = LogBuffer.of(options.node);
  let isDraining = false;
  const exitWithError = logUnexpectedExit(log, () => isDraining);
  let program: Program;
  try {
    program = await options.start(log);
  } catch (error) {
    return exitWithError(error);
  }
  const drain = () => {
    if (isDraining) return;
    isDraining = true;
    program.drain().then(() => process.exit(0), exitWithError);
  };
  const drainOrExit = () => (isDraining ? process.exit(0) : drain());
  process.on('SIGTERM', drain);
  process.on('SIGINT', drainOrExit);
  const { name, node } = options;
  process.stdout.write(
    `${JSON.stringify({ ready: true, program: name, node, pid: process.pid, ...program.ready })}\n`,
  );
};

const runChecked = <S>(options: Program.Definition<S>, flags: Flags): Promise<void> => {
  const findings: Guard.Finding[] = [];
  const startup = mergeStartup(options.flags, flags);
  if (!options.guard(startup, '', findings)) return fail(findings, 'the startup');
  const node = String((startup as { node?: unknown }).node);
  return run({ name: options.name, node, start: (log) => options.start(startup as S, log) });
};

/** Runs programs. */
export const Program = {
  fail,
  /** Runs a program whose startup has been validated. */
  run: (options: Program.RunOptions): void => void run(options),
  /** Parses the command line, validates the startup and runs the program. */
  main<S>(options: Program.Definition<S>): void {
    const cli = sade(options.name, true).version(Version).describe(options.about);
    cli.option('--startup', 'startup file (JSON); flags go before it');
    for (const [flag, about] of Object.entries(options.flags)) cli.option(`--${flag}`, about);
    cli.action((flags: Flags) => void runChecked(options, flags));
    cli.parse(process.argv);
  },
};
