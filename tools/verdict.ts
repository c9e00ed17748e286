#!/usr/bin/env node
/**
 * Whether the tests give one verdict: npm run -s verdict plays all of them several times, alone and beside a stated load
 * in turn, and prints which tests failed in which runs, where the logs of each run lie and how long each took.
 */
import { type ChildProcess, spawn } from 'node:child_process';
import { createWriteStream, mkdirSync, mkdtempSync, readFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join, resolve } from 'node:path';
import { fileURLToPath } from 'node:url';
import sade from 'sade';
import { KnownRed } from './known-red.js';
import { Main } from './main.js';
import { VerdictTable } from './verdict-table.js';

type Flags = {
  readonly runs: number;
  readonly busy: number;
  readonly disk: number;
  readonly logs?: string;
};

const script = fileURLToPath(new URL('run-tests.js', import.meta.url));
const busyScript = 'for (;;) Math.sqrt(Math.random());';
const diskScript = `const fs = require('node:fs');
  const file = fs.openSync(process.argv[1], 'w');
  const block = Buffer.alloc(256 * 1024, 1);
  for (;;) { fs.writeSync(file, block, 0, block.length, 0); fs.fsyncSync(file); }`;

/** Starts processes that keep processors and the disk busy; returns how to end them. */
const startLoad = ({ busy, disk }: Flags, folder: string): (() => void) => {
  const start = (code: string, ...args: string[]) =>
    spawn(process.execPath, ['--eval', code, ...args], { stdio: 'ignore' });
  const children: ChildProcess[] = [
    ...Array.from({ length: busy }, () => start(busyScript)),
    ...Array.from({ length: disk }, (_none, index) => start(diskScript, join(folder, `disk-${index}`))),
  ];
  return () => {
    for (const child of children) child.kill('SIGKILL');
  };
};

/** Plays all tests once, with all they print kept in the file. */
const playTests = (log: string): Promise<number> =>
  new Promise((done) => {
    const out = createWriteStream(log);
    const child = spawn(process.execPath, [script], { stdio: ['ignore', 'pipe', 'pipe'] });
    child.stdout.pipe(out, { end: false });
    child.stderr.pipe(out, { end: false });
    child.once('close', (code) => out.end(() => done(code ?? 1)));
  });

const playOnce = async (number: number, flags: Flags, folder: string): Promise<VerdictTable.Run> => {
  const isLoaded = number % 2 === 1;
  const log = join(folder, `run-${number}-${isLoaded ? 'loaded' : 'alone'}.log`);
  const endLoad = isLoaded ? startLoad(flags, folder) : () => {};
  const began = performance.now();
  const code = await playTests(log).finally(endLoad);
  const failed = KnownRed.failures(readFileSync(log, 'utf8').split('\n'));
  return { isLoaded, log, code, failed, seconds: (performance.now() - began) / 1000 };
};

const run = async (flags: Flags): Promise<number> => {
  const folder = flags.logs === undefined ? mkdtempSync(join(tmpdir(), 'bramblebend-verdict-')) : flags.logs;
  mkdirSync(folder, { recursive: true });
  const runs: VerdictTable.Run[] = [];
  for (let number = 0; number < flags.runs * 2; number += 1) {
    const played = await playOnce(number, flags, resolve(folder));
    runs.push(played);
    process.stderr.write(`${played.log}: exit ${played.code}, ${played.seconds.toFixed(0)} s\n`);
  }
  const load = `${flags.busy} busy processes and ${flags.disk} that write and sync`;
  process.stdout.write(VerdictTable.text(runs, load));
  return runs.every(({ code }) => code === 0) ? 0 : 1;
};

sade('verdict', true)
  .describe('Plays all tests several times, alone and beside a load in turn, and tells which failed when.')
  .option('--runs', 'how often of each kind', 10)
  .option('--busy', 'processes that compute all the while', 4)
  .option('--disk', 'processes that write and sync all the while', 1)
  .option('--logs', 'a folder for the logs; a new one without')
  .action((flags) => Main(run(flags as Flags)))
  .parse(process.argv);
