// The control side on the users' platform, as whole programs: the operator's configurations and evacuations,
// the directory, the polled list of servers, and settings files that cannot be used.
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
const written = (revision: number, more: object = {}): string =>
  JSON.stringify({ revision, 'route-table': [route], services: [service], limits: {}, ...more }, null, 1);
const warmingFor = (span: number): ListServer.Instance => {
  const until = performance.now() + span;
  return Object.defineProperty(ListServer.instance('i-8', 'sto-b'), 'warmup-left-ms', {
    enumerable: true,
    get: () => Math.max(0, until - performance.now()),
  });
};
const on = (base: number) => ({ 'base-revision': String(base) });

describe('control on the platform', () => {
  let kit: PlatformKit;
  let current = 0;
  let words = '';

  before(async () => {
    kit = await PlatformKit.start();
  });
  after(() => kit.stop());

  const replace = (body: string, base = current) => kit.sendCommand('/configuration/replace', body, on(base));
  const advance = async (more: object = {}): Promise<void> => {
    const body = written(current + 3, more);
    assert.equal((await replace(body)).status, 200);
    [current, words] = [current + 3, body];
  };
  const placesOf = ({ body }: PlatformKit.Response): string[] =>
    ((body.error as { findings?: { place: string }[] }).findings ?? []).map((one) => one.place).sort();

  it('polls the list before any configuration, page by page', async () => {
    kit.list.perPage = 2;
    kit.list.instances = [0, 1, 2, 3, 4].map((index) => ListServer.instance(`i-${index}`, 'sto-a'));
    await kit.list.polls(2);
    const early = await kit.call(kit.cores[0]!, 'POST', '/evacuation/sto-a/begin');
    assert.equal(early.status, 503);
    assert.ok(Number(early.headers['retry-after']) > 0);
    assert.equal((await kit.call(kit.cores[1]!, 'GET', '/configuration/read')).status, 503);
  });

  it('takes a configuration at any core and reads it back byte for byte', async () => {
    await advance({ note: 'écrit à la main — 世界' });
    for (const core of kit.cores) {
      const read = await kit.call(core, 'GET', '/configuration/read');
      assert.equal(read.status, 200);
      assert.equal(read.text, words);
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

  it('answers a repeat as taken, also when newer ones are in place', async () => {
    const [body, base] = [written(current + 2, { note: 'first' }), current];
    assert.equal((await replace(body, base)).status, 200);
    assert.equal((await replace(body, base)).status, 200);
    current += 2;
    await advance();
    assert.equal((await replace(body, base)).status, 200);
    assert.equal(await kit.readConfiguration(), words);
  });

  it('tells a stale base by 412 and a number that is not above by 400', async () => {
    const stale = await replace(written(current + 9, { note: 'stale' }), current - 1);
    assert.equal(stale.status, 412);
    const low = await replace(written(current - 1, { note: 'low' }));
    assert.equal(low.status, 400);
    assert.deepEqual(placesOf(low), ['/source/number']);
    assert.equal((await replace(written(current, { note: 'same number' }))).status, 400);
    assert.equal(await kit.readConfiguration(), words);
  });

  it('tells what is invalid by 400 with every place, and changes nothing', async () => {
    const answers = await Promise.all(
      [
        written(current + 5, { 'route-table': [{ ...route, 'timeout-ms': 0 }] }),
        written(current + 5, {
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
    assert.deepEqual(answers.map(placesOf), [
      ['/route-table/0/timeout-ms'],
      ['/route-table/0', '/route-table/1/path-prefix', '/route-table/2/weighted-targets'],
      ['/revision', '/route-table', '/services/0/name'],
      ['/'],
    ]);
    const noBase = await kit.sendCommand('/configuration/replace', written(current + 5));
    assert.equal(noBase.status, 400);
    assert.deepEqual(placesOf(noBase), ['Base-Revision']);
    assert.equal(await kit.readConfiguration(), words);
  });

  it('lets exactly one of two on the same base win', async () => {
    const bodies = [written(current + 4, { note: 'left' }), written(current + 7, { note: 'right' })];
    const answers = await Promise.all(bodies.map((body) => replace(body)));
    assert.deepEqual(answers.map((one) => one.status).sort(), [200, 412]);
    const winner = answers.findIndex((one) => one.status === 200);
    current += [4, 7][winner]!;
    words = bodies[winner]!;
    assert.equal(await kit.readConfiguration(), words);
  });

  it('takes a configuration of hundreds of routes, and one of megabytes', async () => {
    const routes = Array.from({ length: 600 }, (_none, index) => ({
      ...route,
      name: `r-${index}`,
      'path-prefix': `/p${index}/`,
    }));
    await advance({ 'route-table': routes });
    await advance({ note: 'x'.repeat(4 * 1024 * 1024) });
    assert.equal(await kit.readConfiguration(), words);
    await advance();
  });

  it('evacuates a zone and takes it back, across a replace and a takeover', async () => {
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
    assert.equal(await kit.readConfiguration(), words);
    await kit.startCore(primary);
    assert.equal((await kit.sendCommand('/evacuation/got-a/finish')).status, 200);
  });

  it('takes changes of the list under the primary of the moment, and a countdown as none', async () => {
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

  it('keeps the list when a poll fails, gives nothing or is over the rate', async () => {
    const { list } = kit;
    const held = list.instances;
    const before = await kit.waitForView((view) => view.platform.servers.length === 2);
    list.instances = [];
    await list.polls(2);
    list.instances = [{ 'instance-id': 'broken' }];
    await list.polls(2);
    list.status = 500;
    await list.polls(2);
    list.status = 429;
    await list.polls(2);
    list.instances = [...held, ListServer.instance('i-6', 'sto-a')];
    list.status = 200;
    const later = await kit.waitForView((view) => view.platform.servers.length === 3);
    assert.equal(later.platform.serial, before.platform.serial + 1);
  });

  it('keeps what it acknowledged when all cores are killed at once', async () => {
    assert.equal((await kit.sendCommand('/evacuation/sto-b/begin')).status, 200);
    await advance();
    await Promise.all(kit.cores.map((core) => core.process?.end('SIGKILL')));
    await Promise.all(kit.cores.map(kit.startCore));
    assert.equal(await kit.readConfiguration(), words);
    assert.equal((await replace(words, current - 3)).status, 200);
    const stale = await replace(written(current + 1), current - 3);
    assert.equal(stale.status, 412);
    const view = await kit.waitForView((one) => one.manifest?.document.source?.number === current);
    assert.deepEqual(view.manifest?.document.evacuations, ['sto-b']);
  });
});

describe('the directory of the platform', () => {
  let kit: PlatformKit;

  before(async () => {
    kit = await PlatformKit.start({ fronts: ['sto-a', 'sto-a', 'got-a'] });
  });
  after(() => kit.stop());

  type Found = { status: number; addresses: string[] };
  const resolve = async (zone: string, core = kit.cores[0]!): Promise<Found> => {
    const answer = await request(`http://${core.directory}/resolution?name=nony24.example&zone=${zone}`);
    const body = (await answer.body.json()) as { addresses?: string[]; 'ttl-s'?: number };
    if (answer.statusCode === 200) assert.equal(body['ttl-s'], 1);
    return { status: answer.statusCode, addresses: (body.addresses ?? []).sort() };
  };
  const shows = (zone: string, wanted: readonly string[], core = kit.cores[0]!) =>
    PlatformKit.waitUntil(async () => {
      const found = await resolve(zone, core);
      return found.status === 200 && found.addresses.join() === [...wanted].sort().join() ? found : undefined;
    }, `${zone} is told ${wanted.join()}`);
  const listenOf = (...indexes: number[]) => indexes.map((index) => kit.fronts[index]!.listen);
  const readiness = async (index: number) =>
    (await request(`http://${kit.fronts[index]!.ready}/readiness`)).statusCode;

  it('answers 503 while no proxy is ready', async () => {
    assert.equal((await resolve('sto-a')).status, 503);
    assert.equal(await readiness(0), 503);
  });

  it('tells callers the nearest ready proxies, from any core', async () => {
    assert.equal((await kit.sendCommand('/configuration/replace', written(1), on(0))).status, 200);
    for (const core of kit.cores) {
      await shows('sto-a', listenOf(0, 1), core);
      await shows('sto-b', listenOf(0, 1), core);
      await shows('got-a', listenOf(2), core);
      await shows('unheard-of', listenOf(0, 1, 2), core);
    }
    assert.equal(await readiness(0), 200);
    const [core] = kit.cores;
    const own = await kit.call(core!, 'GET', '/v1/directory?zone=got-a');
    assert.deepEqual(own.body, {
      proxies: [{ node: 'edge-2', address: kit.fronts[2]!.listen, zone: 'got-a' }],
      ttl: 2000,
    });
  });

  it('leaves out those that drain, and sends on to others when none is left', async () => {
    const [first, , last] = kit.fronts;
    await last!.process?.end('SIGTERM');
    await shows('got-a', listenOf(0, 1));
    first!.process?.signal('SIGTERM');
    await shows('sto-a', listenOf(1));
    await first!.process?.ended;
    await kit.startFront(first!);
    await kit.startFront(last!);
    await shows('sto-a', listenOf(0, 1));
    await shows('got-a', listenOf(2));
  });

  it('counts the proxies of an evacuated zone as not ready', async () => {
    assert.equal((await kit.sendCommand('/evacuation/sto-a/begin')).status, 200);
    await shows('sto-a', listenOf(2));
    assert.equal((await kit.sendCommand('/evacuation/sto-a/finish')).status, 200);
    await shows('sto-a', listenOf(0, 1));
  });

  it('serves on after a settings file is read anew, good or bad', async () => {
    const [core] = kit.cores;
    const file = join(kit.folder, `${core!.node}.yaml`);
    writeFileSync(file, 'node-name: [');
    core!.process?.signal('SIGHUP');
    await shows('got-a', listenOf(2));
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

  it('are reported with all places when they cannot be used, and end with 2', async () => {
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
      const lacking = run(file, 'control');
      assert.equal(lacking.status, 2);
      for (const place of ['/bindings/control-plane', '/data-directory'])
        assert.match(lacking.stderr, new RegExp(`${place} is missing`));
      assert.match(run(file, 'neither').stderr, /must be front or control/);
      assert.equal(run(join(kit.folder, 'nowhere.yaml'), 'front').status, 2);
    } finally {
      await kit.stop();
    }
  });
});
