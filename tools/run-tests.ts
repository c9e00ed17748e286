// Runs the test files and lets pass only what KNOWN-RED.txt names: one line for each known failure, as
// "suite > test | cause | issue". Every other failure fails the run; known ones are printed with their cause, and
// those that passed are named too, so that the list can be kept short.
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { readFileSync } from 'node:fs';
import { createInterface } from 'node:readline';
import { KnownRed } from './known-red.js';

export type RunTests = { readonly code: number };

const command = [
  '--test',
  '--test-concurrency=4',
  '--test-timeout=180000',
  '--test-reporter=tap',
  'dist/test/',
];

const readList = (): string => {
  try {
    return readFileSync('KNOWN-RED.txt', 'utf8');
  } catch {
    return '';
  }
};

const child = spawn(process.execPath, command, { stdio: ['ignore', 'pipe', 'inherit'] });
const lines: string[] = [];
const reader = createInterface({ input: child.stdout });
const isRead = once(reader, 'close');
reader.on('line', (line) => {
  lines.push(line);
  console.log(line);
});
child.once('close', async (code) => {
  await isRead;
  const verdict = KnownRed.judge(KnownRed.failures(lines), KnownRed.read(readList()));
  for (const { name, cause } of verdict.known) console.log(`known red: ${name} (${cause})`);
  for (const { name } of verdict.green) console.log(`listed as known red, passed: ${name}`);
  for (const name of verdict.fresh) console.log(`failed: ${name}`);
  const isBroken = code !== 0 && verdict.known.length + verdict.fresh.length === 0;
  process.exitCode = verdict.fresh.length > 0 || isBroken ? 1 : 0;
});
