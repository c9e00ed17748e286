/**
 * `bramblebend walls`, the live check of cache isolation, run against fleets: with isolation, without it, with servers
 * that ignore the salt because the manifest names another field, and with a tenant whose requests fail.
 */
import assert from 'node:assert/strict';
import { spawn } from 'node:child_process';
import { describe, it } from 'node:test';
import { fileURLToPath } from 'node:url';
import type { Document } from '../src/manifest/document.js';
import { Deployment } from '../tools/deployments/deployment.js';
import { FleetFolder } from '../tools/fleet-folder.js';
import { FleetKit } from '../tools/fleet-kit.js';
import { InForce } from '../tools/in-force.js';

const program = fileURLToPath(new URL('../src/bin/bramblebend.js', import.meta.url));
const manifest = {
  zones: { 'a-1': { region: 'a' }, 'b-1': { region: 'b' } },
  groups: {
    llm: {
      kind: 'model',
      models: ['m'],
      regions: ['a', 'b'],
      identity: { path: '/v1/models' },
      wall: { by: 'field', name: 'cache_salt' },
    },
  },
  homes: { ab: { regions: ['a', 'b'] } },
  teams: {
    one: { keys: [Deployment.hash('key-of-one')], home: 'ab' },
    two: { keys: [Deployment.hash('key-of-two')], home: 'ab' },
  },
  rules: [
    {
      name: 'm',
      match: { path: '/v1/chat/completions', models: ['m'] },
      groups: ['llm'],
      runs: 'repeatable',
    },
  ],
  walls: { generation: 1 },
} as unknown as Document;
const backEnd = { kind: 'model', group: 'llm', count: 1, models: ['m'] } as const;
const deployment: Deployment = {
  name: 'walls',
  zones: [
    { zone: 'a-1', region: 'a', fronts: 1 },
    { zone: 'b-1', region: 'b', fronts: 1 },
  ],
  backEnds: [{ ...backEnd, zone: 'a-1', region: 'a' }],
  manifest,
  mix: [],
};

const runCheck = async (chosen: Deployment, keys: string): Promise<{ code: number | null; text: string }> => {
  const folder = FleetFolder.make();
  const kit = await FleetKit.start({ folder, deployment: chosen, stand: { pace: 1 } });
  try {
    await InForce.putWhenReady(kit, chosen.manifest);
    await kit.putServers(1);
    await InForce.everywhere(kit);
    const startedAt = performance.now();
    const countReadyProxies = async () => {
      const { body } = await kit.operate('GET', '/v1/nodes');
      const nodes = (body.nodes ?? []) as { program: string; ready: boolean }[];
      return nodes.filter(({ program: kind, ready }) => kind === 'proxy' && ready).length;
    };
    while ((await countReadyProxies()) < kit.fronts.length && performance.now() - startedAt < 10_000)
      await new Promise((resolve) => setTimeout(resolve, 20));
    const control = [
      '--control',
      kit.cores.map((core) => core.http).join(),
      '--token',
      FleetKit.operatorToken,
    ];
    const child = spawn(process.execPath, [program, 'walls', '--model', 'm', '--rounds', '4', ...control], {
      env: { ...process.env, BRAMBLEBEND_PROBE_KEYS: keys },
    });
    let text = '';
    for (const stream of [child.stdout, child.stderr])
      stream.on('data', (chunk) => {
        text += String(chunk);
      });
    return await new Promise((resolve) => child.once('close', (code) => resolve({ code, text })));
  } finally {
    await kit.stop();
    FleetFolder.remove(folder);
  }
};
const verdicts = (text: string) =>
  text
    .trim()
    .split('\n')
    .slice(1)
    .map((line) => line.split(/\s+/).at(-1));

describe('live check of cache isolation', () => {
  it('reports each pair of proxies as apart if the servers isolate tenants', async () => {
    const { code, text } = await runCheck(deployment, 'key-of-one,key-of-two');
    assert.deepEqual(verdicts(text), ['apart', 'apart', 'apart', 'apart'], text);
    assert.equal(code, 0);
  });
  it('reports matches without isolation, and exits with 1', async () => {
    const { code, text } = await runCheck(Deployment.withoutWalls(deployment), 'key-of-one,key-of-two');
    assert.deepEqual(verdicts(text), ['MATCH', 'MATCH', 'MATCH', 'MATCH'], text);
    assert.equal(code, 1);
  });
  it('reports matches if servers read the salt from another field than the manifest says', async () => {
    const llm = { ...manifest.groups.llm!, wall: { by: 'field', name: 'another_salt' } };
    const wrong = { ...deployment, manifest: { ...manifest, groups: { llm } } as unknown as Document };
    const { code, text } = await runCheck(wrong, 'key-of-one,key-of-two');
    assert.deepEqual(verdicts(text), ['MATCH', 'MATCH', 'MATCH', 'MATCH'], text);
    assert.equal(code, 1);
  });
  it('reports unsure if requests of a tenant fail', async () => {
    const { code, text } = await runCheck(deployment, 'key-of-one,key-of-nobody');
    assert.deepEqual(verdicts(text), ['unsure', 'unsure', 'unsure', 'unsure'], text);
    assert.equal(code, 3);
  });
});
