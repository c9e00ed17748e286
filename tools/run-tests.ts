/**
 * Runs the test files and lets pass only what KNOWN-RED.txt names: one line for each known failure, as
 * "suite > test | cause | issue". Every other failure fails the run; known ones are printed with their cause, and those that
 * passed are named too, so that the list can be kept short. The ends of the logs of a failed file's fleets are printed. Files
 * that measure memory run after the others, one at a time. Arguments name built test files to run in place of all.
 */
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { mkdtempSync, readdirSync, readFileSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { basename, join } from 'node:path';
import { createInterface } from 'node:readline';
import { FleetFolder } from './fleet-folder.js';
import { KnownRed } from './known-red.js';

export type RunTests = { readonly code: number };

const builtTests = 'dist/test';
/** Files whose tests measure the memory of processes under a crowd of clients: one at a time, apart from other load. */
const runsAlone = (file: string): boolean => basename(file).startsWith('hostile-');

const readFiles = (): string[] =>
  readdirSync(builtTests)
    .filter((name) => name.endsWith('.test.js'))
    .sort()
    .map((name) => join(builtTests, name));

const named = process.argv.slice(2);
const files = named.length > 0 ? named : readFiles();
/** The files of each run of the test runner, and how many of them it plays at once. */
const runs = [
  { files: files.filter((file) => !runsAlone(file)), concurrency: 4 },
  { files: files.filter(runsAlone), concurrency: 1 },
].filter((run) => run.files.length > 0);

const readList = (): string => {
  try {
    return readFileSync('KNOWN-RED.txt', 'utf8');
  } catch {
    return '';
  }
};

/** How many lines of each log of a failed file are printed. */
const lastLines = 25;

const printLogs = (file: string): void => {
  for (const log of FleetFolder.logsOf(logs, file)) {
    const kept = readFileSync(log, 'utf8').trimEnd().split('\n').slice(-lastLines);
    if (kept.join('') === '') continue;
    console.log(`# the end of ${basename(log)}, of ${basename(file)}`);
    for (const line of kept) console.log(`#   ${line}`);
  }
};

const logs = mkdtempSync(join(tmpdir(), 'bramblebend-logs-'));
const lines: string[] = [];

/** Plays files with the test runner and keeps what it prints; resolves to its exit code. */
const play = async ({ files, concurrency }: (typeof runs)[number]): Promise<number | null> => {
  const command = [
    '--test',
    `--test-concurrency=${concurrency}`,
    '--test-timeout=180000',
    '--test-reporter=tap',
    ...files,
  ];
  const child = spawn(process.execPath, command, {
    stdio: ['ignore', 'pipe', 'inherit'],
    env: { ...process.env, [FleetFolder.variable]: logs },
  });
  const reader = createInterface({ input: child.stdout });
  const isRead = once(reader, 'close');
  reader.on('line', (line) => {
    lines.push(line);
    console.log(line);
  });
  const [code] = (await once(child, 'close')) as [number | null];
  await isRead;
  return code;
};

let isBroken = false;
for (const run of runs) {
  const before = KnownRed.failures(lines).length;
  const code = await play(run);
  if (code !== 0 && KnownRed.failures(lines).length === before) isBroken = true;
}
for (const file of KnownRed.files(lines)) printLogs(file);
rmSync(logs, { recursive: true, force: true });
const verdict = KnownRed.judge(KnownRed.failures(lines), KnownRed.read(readList()));
for (const { name, cause } of verdict.known) console.log(`known red: ${name} (${cause})`);
for (const { name } of verdict.green) console.log(`listed as known red, passed: ${name}`);
for (const name of verdict.fresh) console.log(`failed: ${name}`);
process.exitCode = verdict.fresh.length > 0 || isBroken ? 1 : 0;
