/**
 * A calm day of whole programs writes no line that an operator must act on: first start, a configuration, requests, a drain and a
 * return of a proxy, a takeover by a planned restart, and the end of all.
 */
import assert from 'node:assert/strict';
import { readdirSync, readFileSync } from 'node:fs';
import { join } from 'node:path';
import { after, before, describe, it } from 'node:test';
import { fileURLToPath } from 'node:url';
import { InForce } from '../tools/in-force.js';
import { Bench } from './bench.js';

const root = fileURLToPath(new URL('../..', import.meta.url));

/** The texts that the programs log at level error, read from their sources. */
const errorTexts = (): readonly string[] =>
  ['src', 'platform']
    .flatMap((folder) =>
      readdirSync(join(root, folder), { recursive: true, encoding: 'utf8' }).map((name) =>
        join(root, folder, name),
      ),
    )
    .filter((file) => file.endsWith('.ts'))
    .flatMap((file) => [...readFileSync(file, 'utf8').matchAll(/\b(?:alert|error|log)\(\s*'([^']+)'/g)])
    .map(([, text]) => text!);

type Line = { readonly level?: string; readonly message?: string };

describe('a calm day', { timeout: 60_000 }, () => {
  let bench: Bench;

  before(async () => {
    bench = await Bench.start({ fronts: 2 });
  });
  after(() => bench.stop());

  const logs = (): readonly string[] => readdirSync(bench.kit.folder).filter((name) => name.endsWith('.log'));
  /** What is printed; lines at level info stay in the program. */
  const printed = (): readonly (Line & { readonly file: string })[] =>
    logs().flatMap((file) =>
      readFileSync(join(bench.kit.folder, file), 'utf8')
        .split('\n')
        .filter((line) => line !== '')
        .map((line) => ({ file, ...(JSON.parse(line) as Line) })),
    );
  const findPrimary = async () => {
    for (;;)
      for (const core of bench.kit.cores) {
        const health = await fetch(`http://${core.http}/health`)
          .then((response) => response.json() as Promise<{ state?: string }>)
          .catch(() => ({ state: undefined }));
        if (health.state === 'leading') return core;
      }
  };

  it('writes no line at level error or warning', async () => {
    const { kit } = bench;
    const server = await bench.backEnd({
      instance: 'a1',
      group: 'llm',
      region: 'a',
      handle: (_request, response) => Bench.sse(response, ['one']),
    });
    await bench.list([server]);
    await InForce.everywhere(kit);
    while ((await bench.chat('again')).status !== 200);
    const front = kit.fronts[0]!;
    assert.equal(await front.proxy?.end('SIGTERM'), 0);
    await kit.startProxy(front);
    const primary = await findPrimary();
    assert.equal(await primary.process?.end('SIGTERM'), 0);
    assert.notEqual(await findPrimary(), primary);
    await kit.startCore(primary);
    await InForce.everywhere(kit);
    while ((await bench.chat('again')).status !== 200);
    await Promise.all(
      kit.fronts.flatMap(({ proxy, agent }) => [proxy?.end('SIGTERM'), agent?.end('SIGTERM')]),
    );
    assert.equal(logs().length, kit.cores.length + 2 * kit.fronts.length);
    assert.deepEqual(
      printed().filter(({ level }) => level !== 'info'),
      [],
    );
  });
});

describe('a line at level error', () => {
  it('has a row in the page for operators', () => {
    const page = readFileSync(join(root, 'docs/operators.md'), 'utf8');
    const texts = errorTexts();
    assert.ok(texts.includes('the program ends'));
    assert.deepEqual(
      texts.filter((text) => !page.includes(`| \`${text}\` |`)),
      [],
    );
  });
});
