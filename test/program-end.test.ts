/** A program that exits unexpectedly logs the reason as a structured line on standard error. */
import assert from 'node:assert/strict';
import { spawn } from 'node:child_process';
import { text } from 'node:stream/consumers';
import { describe, it } from 'node:test';

const module = JSON.stringify(new URL('../src/startup/program.js', import.meta.url).href);

/** Runs a program with this start function; returns the entries that it logged and its exit code. */
const runProgram = async (body: string) => {
  const code = `import { Program } from ${module};
    Program.run({ name: 'p', node: 'a-node', start: async () => { ${body}; return { ready: {}, drain: async () => {} }; } });`;
  const child = spawn(process.execPath, ['--input-type=module', '--eval', code], {
    stdio: ['ignore', 'pipe', 'pipe'],
  });
  const ended = new Promise<number | null>((resolve) => child.once('exit', resolve));
  child.stdout.once('data', () => {
    if (body.includes('keep')) child.kill('SIGTERM');
  });
  const lines = (await text(child.stderr)).split('\n').filter((line) => line.startsWith('{'));
  return { code: await ended, entries: lines.map((line) => JSON.parse(line) as Record<string, unknown>) };
};

const exitEntries = (entries: readonly Record<string, unknown>[]) =>
  entries.filter(({ message }) => message === 'the program ends');

describe('a program that exits unexpectedly', () => {
  it('logs an uncaught error once, with its stack', async () => {
    const { code, entries } = await runProgram("setTimeout(() => { throw new Error('a defect'); }, 1)");
    assert.equal(code, 1);
    assert.equal(exitEntries(entries).length, 1);
    assert.match(String(exitEntries(entries)[0]!.why), /a defect/);
    assert.match(String(exitEntries(entries)[0]!.stack), /at /);
  });
  it('logs an unhandled rejection', async () => {
    const { code, entries } = await runProgram("void Promise.reject(new Error('a defect'))");
    assert.equal(code, 1);
    assert.match(String(exitEntries(entries)[0]?.why), /a defect/);
  });
  it('logs that its event loop is empty', async () => {
    const { entries } = await runProgram('');
    assert.equal(exitEntries(entries).length, 1);
    assert.match(String(exitEntries(entries)[0]!.why), /nothing is left/);
  });
  it('logs a call of process.exit', async () => {
    const { code, entries } = await runProgram('setTimeout(() => process.exit(3), 1)');
    assert.equal(code, 3);
    assert.equal(exitEntries(entries)[0]?.code, 3);
  });
  it('logs nothing when it is stopped by a signal', async () => {
    const { code, entries } = await runProgram('setInterval(() => {}, 1000).keep = true');
    assert.equal(code, 0);
    assert.deepEqual(exitEntries(entries), []);
  });
});

/** Starts a program whose drain takes a while, sends it these signals one after the other, and waits for its end. */
const drainUnder = async (signals: readonly NodeJS.Signals[]) => {
  const code = `import { Program } from ${module};
    setInterval(() => {}, 1000);
    const drain = async () => {
      console.log('draining');
      await new Promise((resolve) => setTimeout(resolve, 300));
      console.log('drained');
    };
    Program.run({ name: 'p', node: 'a-node', start: async () => ({ ready: {}, drain }) });`;
  const child = spawn(process.execPath, ['--input-type=module', '--eval', code], {
    stdio: ['ignore', 'pipe', 'inherit'],
  });
  const ended = new Promise<number | null>((resolve) => child.once('exit', resolve));
  let output = '';
  const left = [...signals];
  child.stdout.on('data', (bytes: Buffer) => {
    output += String(bytes);
    if (left.length === signals.length) child.kill(left.shift());
    else if (output.includes('draining')) for (const signal of left.splice(0)) child.kill(signal);
  });
  return { code: await ended, isDrained: output.includes('drained') };
};

describe('a program that drains', () => {
  // A second SIGTERM ended a proxy at once, around the requests that it had passed on.
  it('drains to its end though SIGTERM comes again', async () => {
    assert.deepEqual(await drainUnder(['SIGTERM', 'SIGTERM', 'SIGTERM']), { code: 0, isDrained: true });
  });
  it('ends at once by SIGINT', async () => {
    assert.deepEqual(await drainUnder(['SIGTERM', 'SIGINT']), { code: 0, isDrained: false });
  });
});
