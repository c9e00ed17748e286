// The faults that the tests play: a program sees every change of the file that names them, also one so soon
// after another that the file system gives both the same time.
import assert from 'node:assert/strict';
import { mkdtempSync, readFileSync, renameSync, rmSync, utimesSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { after, describe, it } from 'node:test';
import { Process } from '../tools/process.js';

const folder = mkdtempSync(join(tmpdir(), 'bramblebend-faults-'));
const path = join(folder, 'faults.json');
const told = join(folder, 'told');
const within = 5000;

const program = `
import { appendFileSync } from 'node:fs';
import { open } from 'node:fs/promises';
console.log('{}');
const file = await open(${JSON.stringify(join(folder, 'written'))}, 'w');
const write = () => file.datasync().then(() => 'ok', (error) => error.code);
setInterval(async () => appendFileSync(${JSON.stringify(told)}, await write() + '\\n'), 10);
`;

const put = (disks: Record<string, string>): void => {
  writeFileSync(`${path}.new`, JSON.stringify({ cuts: [], disks, clocks: {} }));
  utimesSync(`${path}.new`, 1000, 1000);
  renameSync(`${path}.new`, path);
};

const tells = async (word: string): Promise<void> => {
  writeFileSync(told, '');
  for (const began = performance.now(); !readFileSync(told, 'utf8').endsWith(`${word}\n`); ) {
    assert.ok(performance.now() - began < within, `no ${word} within ${within} ms`);
    await new Promise((resolve) => setImmediate(resolve));
  }
};

describe('faults', () => {
  after(() => rmSync(folder, { recursive: true, force: true }));

  it('heal in a program also when the file keeps its time', async () => {
    const script = join(folder, 'program.mjs');
    writeFileSync(script, program);
    put({});
    const one = await Process.start('one', new URL(`file://${script}`), [], {
      log: join(folder, 'log'),
      nodeArgs: ['--import', new URL('../tools/faults/preload.js', import.meta.url).pathname],
      env: { BRAMBLEBEND_FAULTS: path, BRAMBLEBEND_FAULTS_IP: '', BRAMBLEBEND_FAULTS_NODE: 'one' },
    });
    try {
      await tells('ok');
      put({ one: 'full' });
      await tells('ENOSPC');
      put({});
      await tells('ok');
    } finally {
      await one.end('SIGKILL');
    }
  });
});
