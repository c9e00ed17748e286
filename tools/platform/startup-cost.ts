#!/usr/bin/env node
// What it costs to start the deployed programs and to keep them at rest: each is started as deploy/system.toml
// runs it, on loopback, with a settings file written here, and its kernel counters are read.
import { type ChildProcess, spawn } from 'node:child_process';
import { mkdirSync, mkdtempSync, readdirSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { createInterface } from 'node:readline';
import { setTimeout as pause } from 'node:timers/promises';
import sade from 'sade';
import { stringify } from 'yaml';
import { Main } from '../main.js';

type Cost = {
  readonly processor: number;
  readonly wall: number;
  readonly resident: number;
  readonly own: number;
  readonly rest: number;
};
type Running = { readonly child: ChildProcess; readonly processor: number; readonly wall: number };

const settled = 2000;
const roles = ['control', 'front'];

/** Processor seconds of all threads that live, and of those that ended, as the kernel counts them. */
const processorOf = (pid: number): number => {
  const tasks = readdirSync(`/proc/${pid}/task`).map((task) =>
    Number(readFileSync(`/proc/${pid}/task/${task}/schedstat`, 'utf8').split(' ')[0]),
  );
  return tasks.reduce((sum, one) => sum + one, 0) / 1e9;
};

const memoryOf = (pid: number, field: string): number => {
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  return Number(new RegExp(`^${field}:\\s+(\\d+) kB`, 'm').exec(status)?.[1] ?? 0) / 1024;
};

const commandOf = (role: string): string[] => {
  const text = readFileSync('deploy/system.toml', 'utf8');
  const run = new RegExp(`^\\[roles\\.${role}\\]\\nrun = "([^"]+)"`, 'm').exec(text)?.[1];
  if (run === undefined) throw new Error(`deploy/system.toml runs no role ${role}`);
  return run.split(' ');
};

const settingsOf = (role: string, folder: string): object => {
  const ip = role === 'control' ? '127.77.0.1' : '127.77.0.2';
  const bindings =
    role === 'control'
      ? { 'control-plane': `${ip}:8166`, directory: `${ip}:8167` }
      : { front: `${ip}:8161`, readiness: `${ip}:8168` };
  return {
    'node-name': role,
    'ip-address': ip,
    zone: 'z',
    region: 'r',
    zones: { z: 'r' },
    bindings,
    'internal-ports': [7720, 7735],
    'seed-nodes': ['127.77.0.1:8166'],
    'initial-start': true,
    'data-directory': role === 'control' ? folder : null,
    bounds: { 'grace-s': 3 },
  };
};

const start = async (role: string, folder: string, more: readonly string[]): Promise<Running> => {
  const [program = '', ...args] = commandOf(role);
  const data = mkdtempSync(join(folder, 'data-'));
  const file = join(data, 'settings.yaml');
  mkdirSync(join(data, 'disk'));
  writeFileSync(file, stringify(settingsOf(role, join(data, 'disk'))));
  const began = performance.now();
  const child = spawn(program, [...more, ...args], {
    stdio: ['ignore', 'pipe', 'inherit'],
    env: { PATH: process.env.PATH, HOME: process.env.HOME, BRAMBLEBEND_SETTINGS: file },
  });
  await new Promise<void>((resolve, reject) => {
    createInterface({ input: child.stdout! }).once('line', () => resolve());
    child.once('exit', (code) => reject(new Error(`${role} ended with ${code} before it was ready`)));
  });
  return { child, processor: processorOf(child.pid!), wall: (performance.now() - began) / 1000 };
};

const stop = async (running: Running): Promise<void> => {
  const ended = new Promise((resolve) => running.child.once('exit', resolve));
  running.child.kill('SIGKILL');
  await ended;
};

const measure = async (
  role: string,
  folder: string,
  rest: number,
  more: readonly string[],
): Promise<Cost> => {
  const running = await start(role, folder, more);
  const pid = running.child.pid!;
  await pause(settled);
  const resident = memoryOf(pid, 'VmRSS');
  const own = memoryOf(pid, 'RssAnon');
  const before = processorOf(pid);
  await pause(rest);
  const spent = processorOf(pid) - before;
  await stop(running);
  return {
    processor: running.processor,
    wall: running.wall,
    resident,
    own,
    rest: rest === 0 ? 0 : spent / (rest / 1000),
  };
};

const middle = (values: readonly number[]): number =>
  [...values].sort((a, b) => a - b)[Math.floor(values.length / 2)]!;

const print = (role: string, costs: readonly Cost[]): void => {
  const line = (name: string, of: (cost: Cost) => number, digits: number) => {
    const values = costs.map(of);
    const [least, most] = [Math.min(...values), Math.max(...values)];
    return `  ${name.padEnd(40)} ${middle(values).toFixed(digits)}  (${least.toFixed(digits)} to ${most.toFixed(digits)})`;
  };
  process.stdout.write(
    `${[
      `${role}, ${costs.length} starts: median (least to most)`,
      line('processor seconds until ready', (cost) => cost.processor, 3),
      line('wall seconds until ready', (cost) => cost.wall, 3),
      line('resident MB after 2 s', (cost) => cost.resident, 1),
      line('of these not of files, MB', (cost) => cost.own, 1),
      line('processor seconds a second at rest', (cost) => cost.rest, 4),
    ].join('\n')}\n`,
  );
};

const run = async (flags: { starts: number; rest: number; node?: string }): Promise<number> => {
  const folder = mkdtempSync(join(tmpdir(), 'bramblebend-startup-'));
  const more = flags.node === undefined ? [] : String(flags.node).split(' ');
  let beside: Running | undefined;
  try {
    for (const role of roles) {
      const costs: Cost[] = [];
      for (let count = 0; count < flags.starts; count += 1)
        costs.push(await measure(role, folder, flags.rest, more));
      print(role, costs);
      if (role === 'control') beside = await start(role, folder, more);
    }
  } finally {
    if (beside) await stop(beside);
    rmSync(folder, { recursive: true, force: true });
  }
  return 0;
};

sade('startup-cost', true)
  .describe('Starts each deployed program again and again, and prints what that costs.')
  .option('--starts', 'starts of each', 7)
  .option('--rest', 'milliseconds to watch each at rest for', 3000)
  .option('--node', 'flags of node to add, as one word, separated by spaces')
  .action((flags) => Main(run(flags as { starts: number; rest: number; node?: string })))
  .parse(process.argv);
