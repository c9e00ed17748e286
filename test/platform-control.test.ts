/**
 * The control plane on the platform, run as whole programs: configurations and evacuations of the operator, the directory,
 * the polled server list, and invalid settings files.
 */
import assert from 'node:assert/strict';
import { spawnSync } from 'node:child_process';
import { writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { after, before, describe, it } from 'node:test';
import { fileURLToPath } from 'node:url';
import { request } from 'undici';
import { stringify } from 'yaml';
import { ListServer } from './list-server.js';
import { PlatformKit } from './platform-kit.js';

const route = {
  name: 'r-1',
  'origin-host': 'nony24.example',
  'path-prefix': '/lohu930/',
  'route-class': 'safe',
  'timeout-ms': 5000,
  'target-latency-ms': 800,
  priority: 0,
  'target-service': 'huvo11a',
  'max-attempts': 2,
};
const service = { name: 'huvo11a', 'health-path': '/health', 'max-connections': 360, protocol: 'h1' };
const configurationText = (revision: number, more: object = {}): string =>
  JSON.stringify({ revision, 'route-table': [route], services: [service], limits: {}, ...more }, null, 1);
const warmingFor = (durationMs: number): ListServer.Instance => {
  const warmUntil = performance.now() + durationMs;
  return Object.defineProperty(ListServer.instance('i-8', 'sto-b'), 'warmup-left-ms', {
    enumerable: true,
    get: () => Math.max(0, warmUntil - performance.now()),
  });
};
const withBase = (base: number) => ({ 'base-revision': String(base) });

describe('control plane on the platform', () => {
  let kit: PlatformKit;
  let current = 0;
  let currentText = '';

  before(async () => {
    kit = await PlatformKit.start();
  });
  after(() => kit.stop());

  const replace = (body: string, base = current) =>
    kit.sendCommand('/configuration/replace', body, withBase(base));
  const advance = async (more: object = {}): Promise<void> => {
    const body = configurationText(current + 3, more);
    assert.equal((await replace(body)).status, 200);
    [current, currentText] = [current + 3, body];
  };
  const findingPlacesOf = ({ body }: PlatformKit.Response): string[] =>
    ((body.error as { findings?: { place: string }[] }).findings ?? []).map((one) => one.place).sort();

  it('polls the list before any configuration, page by page', async () => {
    kit.list.perPage = 2;
    kit.list.instances = [0, 1, 2, 3, 4].map((index) => ListServer.instance(`i-${index}`, 'sto-a'));
    await kit.list.polls(2);
    const beforeConfiguration = await kit.call(kit.cores[0]!, 'POST', '/evacuation/sto-a/begin');
    assert.equal(beforeConfiguration.status, 503);
    assert.ok(Number(beforeConfiguration.headers['retry-after']) > 0);
    assert.equal((await kit.call(kit.cores[1]!, 'GET', '/configuration/read')).status, 503);
  });

  it('accepts a configuration at any core and returns it byte for byte', async () => {
    await advance({ note: 'écrit à la main — 世界' });
    for (const core of kit.cores) {
      const read = await kit.call(core, 'GET', '/configuration/read');
      assert.equal(read.status, 200);
      assert.equal(read.text, currentText);
      assert.match(String(read.headers['content-type']), /application\/json/);
    }
    const { manifest, platform } = await kit.waitForView((view) => view.platform.servers.length === 5);
    assert.equal(manifest?.document.source?.number, current);
    assert.deepEqual(platform.servers[0], {
      instance: 'i-0',
      group: 'huvo11a',
      address: '127.0.0.1:9',
      zone: 'sto-a',
      region: 'sto',
      slots: 64,
      software: 'v1',
    });
  });

  it('accepts a repeated request again, even after newer configurations', async () => {
    const [body, base] = [configurationText(current + 2, { note: 'first' }), current];
    assert.equal((await replace(body, base)).status, 200);
    assert.equal((await replace(body, base)).status, 200);
    current += 2;
    await advance();
    assert.equal((await replace(body, base)).status, 200);
    assert.equal(await kit.readConfiguration(), currentText);
  });

  it('rejects a stale base with 412 and a revision that is not higher with 400', async () => {
    const stale = await replace(configurationText(current + 9, { note: 'stale' }), current - 1);
    assert.equal(stale.status, 412);
    const notHigher = await replace(configurationText(current - 1, { note: 'low' }));
    assert.equal(notHigher.status, 400);
    assert.deepEqual(findingPlacesOf(notHigher), ['/source/number']);
    assert.equal((await replace(configurationText(current, { note: 'same number' }))).status, 400);
    assert.equal(await kit.readConfiguration(), currentText);
  });

  it('rejects an invalid configuration with 400 and all findings, and changes nothing', async () => {
    const answers = await Promise.all(
      [
        configurationText(current + 5, { 'route-table': [{ ...route, 'timeout-ms': 0 }] }),
        configurationText(current + 5, {
          'route-table': [
            { ...route, 'target-service': 'nobody' },
            { ...route, name: 'r-2' },
            {
              ...route,
              name: 'r-3',
              'path-prefix': '/o/',
              'weighted-targets': [{ 'target-service': 'huvo11a', share: 0 }],
            },
          ],
        }),
        JSON.stringify({ revision: 'seven', services: [{}] }),
        '{"revision":',
      ].map((body) => replace(body)),
    );
    assert.deepEqual(
      answers.map((one) => one.status),
      [400, 400, 400, 400],
    );
    assert.deepEqual(answers.map(findingPlacesOf), [
      ['/route-table/0/timeout-ms'],
      ['/route-table/0', '/route-table/1/path-prefix', '/route-table/2/weighted-targets'],
      ['/revision', '/route-table', '/services/0/name'],
      ['/'],
    ]);
    const noBase = await kit.sendCommand('/configuration/replace', configurationText(current + 5));
    assert.equal(noBase.status, 400);
    assert.deepEqual(findingPlacesOf(noBase), ['Base-Revision']);
    assert.equal(await kit.readConfiguration(), currentText);
  });

  it('accepts exactly one of two concurrent configurations with the same base', async () => {
    const bodies = [
      configurationText(current + 4, { note: 'left' }),
      configurationText(current + 7, { note: 'right' }),
    ];
    const answers = await Promise.all(bodies.map((body) => replace(body)));
    assert.deepEqual(answers.map((one) => one.status).sort(), [200, 412]);
    const winner = answers.findIndex((one) => one.status === 200);
    current += [4, 7][winner]!;
    currentText = bodies[winner]!;
    assert.equal(await kit.readConfiguration(), currentText);
  });

  it('accepts a configuration with hundreds of routes, and one of several megabytes', async () => {
    const routes = Array.from({ length: 600 }, (_none, index) => ({
      ...route,
      name: `r-${index}`,
      'path-prefix': `/p${index}/`,
    }));
    await advance({ 'route-table': routes });
    await advance({ note: 'x'.repeat(4 * 1024 * 1024) });
    assert.equal(await kit.readConfiguration(), currentText);
    await advance();
  });

  it('begins and ends evacuations, and keeps them over a new configuration and a failover', async () => {
    assert.equal((await kit.sendCommand('/evacuation/nowhere/begin')).status, 404);
    assert.equal((await kit.sendCommand('/evacuation/sto-a/begin')).status, 200);
    assert.equal((await kit.sendCommand('/evacuation/sto-a/begin')).status, 200);
    assert.equal((await kit.sendCommand('/evacuation/got-a/begin')).status, 200);
    await kit.waitForView((view) => view.manifest?.document.evacuations?.join() === 'sto-a,got-a');
    await advance();
    const primary = await kit.findPrimary();
    await primary.process?.end('SIGKILL');
    await advance();
    const view = await kit.waitForView((one) => one.manifest?.document.source?.number === current);
    assert.deepEqual(view.manifest?.document.evacuations, ['sto-a', 'got-a']);
    assert.equal((await kit.sendCommand('/evacuation/sto-a/finish')).status, 200);
    assert.equal((await kit.sendCommand('/evacuation/sto-a/finish')).status, 200);
    await kit.waitForView((one) => one.manifest?.document.evacuations?.join() === 'got-a');
    assert.equal(await kit.readConfiguration(), currentText);
    await kit.startCore(primary);
    assert.equal((await kit.sendCommand('/evacuation/got-a/finish')).status, 200);
  });

  it('applies list changes after a failover, and does not treat a warm-up countdown as a change', async () => {
    const { list } = kit;
    const primary = await kit.findPrimary();
    await primary.process?.end('SIGKILL');
    list.instances = [
      ListServer.instance('i-9', 'got-a', { state: 'draining' }),
      warmingFor(60_000),
      ListServer.instance('i-7', 'unheard-of'),
    ];
    const { platform } = await kit.waitForView((view) => view.platform.servers.length === 2);
    assert.deepEqual(
      platform.servers.map(({ instance, isLeaving }) => ({ instance, isLeaving })),
      [
        { instance: 'i-9', isLeaving: true },
        { instance: 'i-8', isLeaving: undefined },
      ],
    );
    const warming = platform.servers[1]?.warming ?? 0;
    assert.ok(warming > 40_000 && warming <= 60_000, `warming ${warming}`);
    await list.polls(5);
    list.instances[1] = warmingFor(90_000);
    const again = await kit.waitForView((view) => (view.platform.servers[1]?.warming ?? 0) > 80_000);
    assert.equal(again.platform.serial, platform.serial + 1);
    await kit.startCore(primary);
  });

  it('keeps the list when a poll fails, returns no servers or exceeds the rate', async () => {
    const { list } = kit;
    const instances = list.instances;
    const before = await kit.waitForView((view) => view.platform.servers.length === 2);
    list.instances = [];
    await list.polls(2);
    list.instances = [{ 'instance-id': 'broken' }];
    await list.polls(2);
    list.status = 500;
    await list.polls(2);
    list.status = 429;
    await list.polls(2);
    list.instances = [...instances, ListServer.instance('i-6', 'sto-a')];
    list.status = 200;
    const later = await kit.waitForView((view) => view.platform.servers.length === 3);
    assert.equal(later.platform.serial, before.platform.serial + 1);
  });

  it('keeps acknowledged changes when all cores are killed at once', async () => {
    assert.equal((await kit.sendCommand('/evacuation/sto-b/begin')).status, 200);
    await advance();
    await Promise.all(kit.cores.map((core) => core.process?.end('SIGKILL')));
    await Promise.all(kit.cores.map(kit.startCore));
    assert.equal(await kit.readConfiguration(), currentText);
    assert.equal((await replace(currentText, current - 3)).status, 200);
    const stale = await replace(configurationText(current + 1), current - 3);
    assert.equal(stale.status, 412);
    const view = await kit.waitForView((one) => one.manifest?.document.source?.number === current);
    assert.deepEqual(view.manifest?.document.evacuations, ['sto-b']);
  });
});

describe('directory of the platform', () => {
  let kit: PlatformKit;

  before(async () => {
    kit = await PlatformKit.start({ fronts: ['sto-a', 'sto-a', 'got-a'] });
  });
  after(() => kit.stop());

  type Resolution = { status: number; addresses: string[] };
  const resolve = async (zone: string, core = kit.cores[0]!): Promise<Resolution> => {
    const answer = await request(`http://${core.directory}/resolution?name=nony24.example&zone=${zone}`);
    const body = (await answer.body.json()) as { addresses?: string[]; 'ttl-s'?: number };
    if (answer.statusCode === 200) assert.equal(body['ttl-s'], 1);
    return { status: answer.statusCode, addresses: (body.addresses ?? []).sort() };
  };
  const expectAddresses = (zone: string, expected: readonly string[], core = kit.cores[0]!) =>
    PlatformKit.waitUntil(async () => {
      const resolution = await resolve(zone, core);
      return resolution.status === 200 && resolution.addresses.join() === [...expected].sort().join()
        ? resolution
        : undefined;
    }, `${zone} resolves to ${expected.join()}`);
  const listenOf = (...indexes: number[]) => indexes.map((index) => kit.fronts[index]!.listen);
  const readiness = async (index: number) =>
    (await request(`http://${kit.fronts[index]!.ready}/readiness`)).statusCode;

  it('answers 503 while no proxy is ready', async () => {
    assert.equal((await resolve('sto-a')).status, 503);
    assert.equal(await readiness(0), 503);
  });

  it('returns the nearest ready proxies, at any core', async () => {
    assert.equal(
      (await kit.sendCommand('/configuration/replace', configurationText(1), withBase(0))).status,
      200,
    );
    for (const core of kit.cores) {
      await expectAddresses('sto-a', listenOf(0, 1), core);
      await expectAddresses('sto-b', listenOf(0, 1), core);
      await expectAddresses('got-a', listenOf(2), core);
      await expectAddresses('unheard-of', listenOf(0, 1, 2), core);
    }
    assert.equal(await readiness(0), 200);
    const [core] = kit.cores;
    const productResponse = await kit.call(core!, 'GET', '/v1/directory?zone=got-a');
    assert.deepEqual(productResponse.body, {
      proxies: [{ node: 'edge-2', address: kit.fronts[2]!.listen, zone: 'got-a' }],
      ttl: 2000,
    });
  });

  it('omits draining proxies, and returns those of other zones when none is left', async () => {
    const [first, , last] = kit.fronts;
    await last!.process?.end('SIGTERM');
    await expectAddresses('got-a', listenOf(0, 1));
    first!.process?.signal('SIGTERM');
    await expectAddresses('sto-a', listenOf(1));
    await first!.process?.ended;
    await kit.startFront(first!);
    await kit.startFront(last!);
    await expectAddresses('sto-a', listenOf(0, 1));
    await expectAddresses('got-a', listenOf(2));
  });

  it('treats proxies of an evacuated zone as not ready', async () => {
    assert.equal((await kit.sendCommand('/evacuation/sto-a/begin')).status, 200);
    await expectAddresses('sto-a', listenOf(2));
    assert.equal((await kit.sendCommand('/evacuation/sto-a/finish')).status, 200);
    await expectAddresses('sto-a', listenOf(0, 1));
  });

  it('keeps serving after an invalid settings file is loaded', async () => {
    const [core] = kit.cores;
    const file = join(kit.folder, `${core!.node}.yaml`);
    writeFileSync(file, 'node-name: [');
    core!.process?.signal('SIGHUP');
    await expectAddresses('got-a', listenOf(2));
    assert.ok(core!.process?.isUp());
  });
});

describe('settings of the platform', () => {
  const main = fileURLToPath(new URL('../platform/main.js', import.meta.url));
  const run = (file: string, role: string) =>
    spawnSync(process.execPath, [main, role], {
      encoding: 'utf8',
      timeout: 20_000,
      env: { ...process.env, BRAMBLEBEND_SETTINGS: file },
    });
  const machine = { node: 'edge-1', zone: 'sto-a', ip: '127.0.0.1' };

  it('are reported with all findings when they are invalid, and the process exits with 2', async () => {
    const kit = await PlatformKit.start();
    try {
      const file = join(kit.folder, 'bad.yaml');
      const more = { 'seed-nodes': ['a-name:1'], 'internal-ports': [7000], zones: 'none' };
      writeFileSync(file, stringify(PlatformKit.settings(machine, { front: 'here' }, more)));
      const bad = run(file, 'front');
      assert.equal(bad.status, 2);
      for (const place of ['/seed-nodes/0', '/internal-ports', '/zones', '/bindings/front'])
        assert.match(bad.stderr, new RegExp(`${place} `));
      writeFileSync(file, stringify(PlatformKit.settings(machine, {}, { 'seed-nodes': ['127.0.0.1:1'] })));
      const incomplete = run(file, 'control');
      assert.equal(incomplete.status, 2);
      for (const place of ['/bindings/control-plane', '/data-directory'])
        assert.match(incomplete.stderr, new RegExp(`${place} is missing`));
      assert.match(run(file, 'neither').stderr, /must be front or control/);
      assert.equal(run(join(kit.folder, 'nowhere.yaml'), 'front').status, 2);
    } finally {
      await kit.stop();
    }
  });
});
