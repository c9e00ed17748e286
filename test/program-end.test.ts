// However a program ends by itself, a structured line on its error stream says why.
import assert from 'node:assert/strict';
import { spawn } from 'node:child_process';
import { text } from 'node:stream/consumers';
import { describe, it } from 'node:test';

const module = JSON.stringify(new URL('../src/startup/program.js', import.meta.url).href);

/** What a program with this body of its start writes to its error stream, and its exit code. */
const play = async (body: string) => {
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
  return { code: await ended, told: lines.map((line) => JSON.parse(line) as Record<string, unknown>) };
};

const ends = (told: readonly Record<string, unknown>[]) =>
  told.filter(({ message }) => message === 'the program ends');

describe('a program that ends by itself', () => {
  it('tells an error that nothing caught, once, with its stack', async () => {
    const { code, told } = await play("setTimeout(() => { throw new Error('a defect'); }, 1)");
    assert.equal(code, 1);
    assert.equal(ends(told).length, 1);
    assert.match(String(ends(told)[0]!.why), /a defect/);
    assert.match(String(ends(told)[0]!.stack), /at /);
  });
  it('tells a rejected promise that nothing caught', async () => {
    const { code, told } = await play("void Promise.reject(new Error('a defect'))");
    assert.equal(code, 1);
    assert.match(String(ends(told)[0]?.why), /a defect/);
  });
  it('tells that its loop ran empty', async () => {
    const { told } = await play('');
    assert.equal(ends(told).length, 1);
    assert.match(String(ends(told)[0]!.why), /nothing is left/);
  });
  it('tells an exit that somebody else ordered', async () => {
    const { code, told } = await play('setTimeout(() => process.exit(3), 1)');
    assert.equal(code, 3);
    assert.equal(ends(told)[0]?.code, 3);
  });
  it('says nothing of the kind when it is stopped in order', async () => {
    const { code, told } = await play('setInterval(() => {}, 1000).keep = true');
    assert.equal(code, 0);
    assert.deepEqual(ends(told), []);
  });
});
