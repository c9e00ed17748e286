// A few seeds of the failure campaign at a small size; the long runs are made outside CI.
import assert from 'node:assert/strict';
import { spawn } from 'node:child_process';
import { describe, it } from 'node:test';
import { fileURLToPath } from 'node:url';

const campaign = fileURLToPath(new URL('../tools/campaign/campaign.js', import.meta.url));

const run = (deployment: string, seed: number): Promise<{ code: number | null; text: string }> =>
  new Promise((resolve) => {
    const args = ['--deployment', deployment, '--seed', String(seed), '--seconds', '6', '--small'];
    const child = spawn(process.execPath, [campaign, ...args]);
    let text = '';
    for (const stream of [child.stdout, child.stderr])
      stream.on('data', (chunk) => {
        text += String(chunk);
      });
    child.once('exit', (code) => resolve({ code, text }));
  });

describe('campaign', () => {
  for (const [deployment, seed] of [
    ['baobab', 11],
    ['likhet', 12],
  ] as const)
    it(`finds no breach in ${deployment} under seed ${seed}`, async () => {
      const { code, text } = await run(deployment, seed);
      assert.equal(code, 0, text);
    });
});
