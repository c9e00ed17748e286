/**
 * Tenants of a platform configuration, on whole programs: keys, the header that names the tenant to servers, limits over all
 * fronts together, and keys that are taken away.
 */
import assert from 'node:assert/strict';
import { createServer, type IncomingHttpHeaders, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { after, before, describe, it } from 'node:test';
import { request } from 'undici';
import { ListServer } from './list-server.js';
import { PlatformKit } from './platform-kit.js';

type Subscriber = {
  readonly name: string;
  readonly credentials: readonly string[];
  readonly 'rate-per-s'?: number;
  readonly 'burst-size'?: number;
  readonly priority?: number;
  readonly 'home-regions'?: readonly string[];
};

const host = 'nony24.example';
const instance = 'i-1';
const route = (name: string, prefix: string, more: object = {}) => ({
  name,
  'origin-host': host,
  'path-prefix': prefix,
  'route-class': 'safe',
  'timeout-ms': 5000,
  'target-latency-ms': 800,
  priority: 4,
  'target-service': 'huvo11a',
  'max-attempts': 2,
  ...more,
});
const service = { name: 'huvo11a', 'health-path': '/health', 'max-connections': 360, protocol: 'h1' };
const configurationText = (
  revision: number,
  subscribers: readonly Subscriber[] | undefined,
  serviceFields: object = {},
): string =>
  JSON.stringify({
    revision,
    'route-table': [
      route('r-1', '/keyed/'),
      route('r-2', '/open/', { anonymous: true }),
      route('r-3', '/at-home/', { 'home-regions': ['sto'] }),
    ],
    services: [{ ...service, ...serviceFields }],
    limits: {},
    ...(subscribers ? { subscribers } : {}),
  });
const unlimited: Subscriber = {
  name: 'kaje80',
  credentials: ['key-of-kaje80', 'other-key-of-kaje80'],
  priority: 1,
};
const limited: Subscriber = {
  name: 'lobu11',
  credentials: ['key-of-lobu11'],
  'rate-per-s': 4,
  'burst-size': 6,
};
const pause = (durationMs: number) => new Promise<void>((resolve) => setTimeout(resolve, durationMs));

describe('tenants on the platform', { timeout: 120_000 }, () => {
  const quotaWindowSeconds = 5;
  const revokeMs = 3000;
  const bounds = {
    'grace-s': 3,
    'quota-window-s': quotaWindowSeconds,
    'quota-overshoot': 0.1,
    'quota-slack': 2,
    'revocation-strict': true,
    'revoke-ms': revokeMs,
  };
  let kit: PlatformKit;
  let server: Server;
  let current = 0;
  const received: { readonly at: number; readonly headers: IncomingHttpHeaders }[] = [];

  const replace = async (
    subscribers: readonly Subscriber[] | undefined,
    serviceFields: object = {},
  ): Promise<number> => {
    const { status } = await kit.sendCommand(
      '/configuration/replace',
      configurationText(current + 1, subscribers, serviceFields),
      { 'base-revision': String(current) },
    );
    if (status === 200) current += 1;
    return status;
  };
  let attempts = 0;
  const send = async (front: number, headers: Record<string, string>, path = '/keyed/1') => {
    attempts += 1;
    const response = await request(`http://${kit.fronts[front]!.listen}${path}`, {
      method: 'POST',
      headers: { host, 'attempt-id': `attempt-${attempts}`, 'remaining-time': '4000', ...headers },
      body: 'x',
    });
    const text = await response.body.text();
    return { status: response.statusCode, text, headers: response.headers };
  };
  const waitForStatus = (status: number, headers: Record<string, string>, path?: string) =>
    Promise.all(
      kit.fronts.map((_front, index) =>
        PlatformKit.waitUntil(async () => {
          const response = await send(index, headers, path).catch(() => undefined);
          return response?.status === status ? true : undefined;
        }, `front ${index} answers ${status}`),
      ),
    );

  before(async () => {
    server = createServer((incoming, response) => {
      received.push({ at: performance.now(), headers: incoming.headers });
      incoming.resume();
      incoming.on('end', () => {
        response.writeHead(200, { 'attempt-id': String(incoming.headers['attempt-id']), 'server-seal': 's' });
        response.end('done');
      });
    });
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    kit = await PlatformKit.start({ fronts: ['sto-a', 'sto-b', 'got-a'], bounds });
    const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
    kit.list.instances = [{ ...ListServer.instance(instance, 'sto-a'), address }];
    await kit.list.polls(1);
    assert.equal(await replace([unlimited, limited]), 200);
    await waitForStatus(200, { key: 'key-of-kaje80' });
  });
  after(async () => {
    await kit.stop();
    server.closeAllConnections();
    server.close();
  });

  it('a server is told the tenant of the key, whatever the client says, and never the key', async () => {
    for (const key of unlimited.credentials) {
      received.length = 0;
      const response = await send(0, {
        key,
        subscriber: 'somebody-else',
        connection: 'keep-alive, subscriber',
      });
      assert.equal(response.status, 200);
      assert.deepEqual(
        received.map(({ headers }) => [headers.subscriber, headers.key]),
        [[unlimited.name, undefined]],
      );
      assert.ok(received.every(({ headers }) => !JSON.stringify(headers).includes(key)));
    }
  });

  it('a request without a known key is refused with 401 and runs nowhere', async () => {
    received.length = 0;
    for (const headers of [{}, { key: 'key-of-nobody' }, { key: '' }, { key: 'kaje80' }])
      assert.equal((await send(1, headers)).status, 401);
    assert.deepEqual(received, []);
  });

  it('a route that is anonymous wants no key, and names a tenant only for a known one', async () => {
    received.length = 0;
    assert.equal((await send(0, {}, '/open/1')).status, 200);
    assert.equal((await send(0, { subscriber: unlimited.name }, '/open/1')).status, 200);
    assert.equal((await send(0, { key: 'key-of-nobody' }, '/open/1')).status, 401);
    assert.equal((await send(0, { key: unlimited.credentials[0]! }, '/open/1')).status, 200);
    assert.deepEqual(
      received.map(({ headers }) => [headers.subscriber, headers.key]),
      [
        [undefined, undefined],
        [undefined, undefined],
        [unlimited.name, undefined],
      ],
    );
  });

  it('the priority of a tenant goes before that of the route', async () => {
    received.length = 0;
    await send(0, { key: unlimited.credentials[0]! });
    await send(0, { key: limited.credentials[0]! });
    assert.deepEqual(
      received.map(({ headers }) => headers['priority-level']),
      ['1', '4'],
    );
  });

  it('two tenants with one key, or one name, are invalid', async () => {
    const other = { name: 'other', credentials: [unlimited.credentials[1]!] };
    assert.equal(await replace([unlimited, limited, other]), 400);
    assert.equal(await replace([unlimited, { ...limited, name: unlimited.name }]), 400);
  });

  it('a tenant gets no more than its limit from all fronts together', async () => {
    await pause(quotaWindowSeconds * 1000);
    received.length = 0;
    const spanMs = 12_000;
    const startedAt = performance.now();
    let refused = 0;
    while (performance.now() - startedAt < spanMs) {
      const responses = await Promise.all(
        [0, 1, 2].map((front) => send(front, { key: limited.credentials[0]! })),
      );
      for (const { status, text, headers } of responses) {
        assert.ok(status === 200 || status === 429, `${status} ${text}`);
        if (status !== 429) continue;
        refused += 1;
        assert.ok(Number(headers['retry-after']) > 0);
      }
      await pause(60);
    }
    const inWindow = limited['rate-per-s']! * quotaWindowSeconds + limited['burst-size']!;
    const most = inWindow * (1 + bounds['quota-overshoot']) + bounds['quota-slack'];
    const times = received.map(({ at }) => at);
    const worst = Math.max(
      ...times.map((end) => times.filter((at) => at <= end && at > end - quotaWindowSeconds * 1000).length),
    );
    assert.ok(worst <= most, `${worst} in a window, ${most} at most`);
    const owed = (limited['rate-per-s']! * spanMs) / 1000;
    assert.ok(times.length >= 0.8 * owed, `${times.length} served of at least ${owed}`);
    assert.ok(refused > 0);
  });

  it('a key that was taken away is refused by every front, and its other keys are not', async () => {
    const [kept, removed] = unlimited.credentials as [string, string];
    assert.equal(await replace([{ ...unlimited, credentials: [kept] }, limited]), 200);
    await waitForStatus(401, { key: removed });
    await waitForStatus(200, { key: kept });
  });

  it('a front that is out of touch runs no keyed request later than the time for a revocation', async () => {
    for (const core of kit.cores) await core.process?.end('SIGKILL');
    const endedAt = performance.now();
    await waitForStatus(503, { key: unlimited.credentials[0]! });
    assert.ok(performance.now() - endedAt <= revokeMs + 500);
    received.length = 0;
    const refused = await send(0, { key: unlimited.credentials[0]! });
    assert.equal(refused.status, 503);
    assert.ok(Number(refused.headers['retry-after']) > 0);
    assert.deepEqual(received, []);
    assert.equal((await send(0, {}, '/open/1')).status, 200);
    await Promise.all(kit.cores.map((core) => kit.startCore(core)));
    await waitForStatus(200, { key: unlimited.credentials[0]! });
  });

  it('a front that was suspended over a revocation runs no request with the removed key', async () => {
    const front = kit.fronts[0]!;
    const removed = unlimited.credentials[0]!;
    const other = 'a-third-key-of-kaje80';
    assert.equal(await replace([{ ...unlimited, credentials: [removed, other] }, limited]), 200);
    await waitForStatus(200, { key: other });
    process.kill(front.process!.pid, 'SIGSTOP');
    assert.equal(await replace([{ ...unlimited, credentials: [other] }, limited]), 200);
    await pause(revokeMs + 200);
    received.length = 0;
    const responses = Promise.all([1, 2, 3].map(() => send(0, { key: removed })));
    await pause(200);
    process.kill(front.process!.pid, 'SIGCONT');
    for (const { status } of await responses) assert.ok(status === 503 || status === 401, String(status));
    await waitForStatus(401, { key: removed });
    assert.deepEqual(received, []);
    assert.equal(await replace([{ ...unlimited, credentials: [removed] }, limited]), 200);
    await waitForStatus(200, { key: removed });
  });

  it('the homes of a tenant and of a route both bind', async () => {
    const [here, there] = ['key-of-a-tenant-at-home', 'key-of-a-tenant-elsewhere'];
    const bound: readonly Subscriber[] = [
      { name: 'bound', credentials: [here], 'home-regions': ['sto'] },
      { name: 'elsewhere', credentials: [there], 'home-regions': ['got'] },
    ];
    assert.equal(await replace([unlimited, limited, ...bound]), 200);
    await waitForStatus(200, { key: here });
    received.length = 0;
    assert.equal((await send(0, { key: here }, '/at-home/1')).status, 200);
    assert.equal((await send(0, { key: there }, '/at-home/1')).status, 403);
    assert.equal((await send(0, { key: there })).status, 503, 'no server is at its home');
    assert.equal((await send(0, { key: unlimited.credentials[0]! }, '/at-home/1')).status, 200);
    assert.deepEqual(
      received.map(({ headers }) => headers.subscriber),
      ['bound', unlimited.name],
    );
    assert.equal(await replace([unlimited, { ...limited, 'home-regions': ['nowhere'] }]), 400);
  });

  it('what of a configuration has no effect is logged, and what cannot be obeyed is refused', async () => {
    assert.equal(await replace([unlimited, limited], { tls: true }), 400);
    assert.equal(await replace([unlimited, limited], { protocol: 'h2' }), 400);
    const spending = { ...limited, 'burst-size': 7, 'spend-per-month': 12 } as Subscriber;
    assert.equal(await replace([unlimited, spending], { tls: false, 'new-field': 1 }), 200);
    const logs = await Promise.all(kit.cores.map((core) => kit.call(core, 'GET', '/log')));
    const taken = logs.flatMap(({ text }) => text.split('\n')).find((line) => line.includes('new-field'));
    assert.ok(
      taken?.includes('configuration taken') && taken.includes('/subscribers/*/spend-per-month'),
      taken,
    );
  });

  it('no log of any program holds a key', async () => {
    const keys = [...unlimited.credentials, ...limited.credentials];
    for (const core of kit.cores) {
      const { text } = await kit.call(core, 'GET', '/log');
      assert.ok(text.length > 0);
      assert.ok(keys.every((key) => !text.includes(key)));
    }
  });

  it('without tenants in the configuration a request needs no key', async () => {
    assert.equal(await replace(undefined), 200);
    await waitForStatus(200, {});
    received.length = 0;
    assert.equal((await send(0, { subscriber: 'somebody' })).status, 200);
    assert.deepEqual(
      received.map(({ headers }) => headers.subscriber),
      [undefined],
    );
  });
});
