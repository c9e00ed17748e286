/**
 * The simulated server list, clients and operator of the platform, against simulated servers and small HTTP servers of the
 * test: paging and rate limits, when clients retry, resumed streams, and which node the operator asks next.
 */
import assert from 'node:assert/strict';
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { afterEach, describe, it } from 'node:test';
import { request } from 'undici';
import { Checks } from '../tools/platform/checks.js';
import { Client } from '../tools/platform/client.js';
import { Engine } from '../tools/platform/engine.js';
import { EngineModel } from '../tools/platform/engine-model.js';
import { PlatformList } from '../tools/platform/list.js';
import { Operator } from '../tools/platform/operator.js';
import { Recording } from '../tools/platform/recording.js';
import { Words } from '../tools/platform/words.js';
import { Random } from '../tools/random.js';

const cleanups: (() => Promise<unknown>)[] = [];
afterEach(async () => {
  for (const cleanUp of cleanups.splice(0).reverse()) await cleanUp();
});

type Handle = (incoming: IncomingMessage, response: ServerResponse) => void;

const serve = async (handle: Handle): Promise<string> => {
  const server: Server = createServer(handle);
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  cleanups.push(
    () =>
      new Promise((resolve) => {
        server.close(resolve);
        server.closeAllConnections();
      }),
  );
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
};
const respond = (
  response: ServerResponse,
  status: number,
  body: object,
  headers: Record<string, string> = {},
) => {
  response.writeHead(status, { 'Content-Type': 'application/json', ...headers });
  response.end(JSON.stringify(body));
};
const startEngine = async (recording: Recording, instance: string, more: Partial<Engine.Terms> = {}) => {
  const engine = await Engine.start({
    instance,
    service: 'llm',
    zone: 'a-1',
    region: 'a',
    listen: '127.0.0.1:0',
    model: EngineModel.of({ stride: 8 }),
    recording,
    ...more,
  });
  cleanups.push(engine.crash);
  return engine;
};

const kind = (more: Partial<Client.Kind> = {}): Client.Kind => ({
  name: 'k',
  host: 'h.example',
  path: (random) => `/a/${random.below(100)}`,
  runs: 'once',
  isStream: true,
  aim: 500,
  gap: 500,
  deadline: 5000,
  retries: 1,
  perSecond: 10,
  headers: () => ({ [Words.model]: 'm', [Words.tokens]: '100,64', [Words.parts]: 'aa:60,bb:40' }),
  bytes: 600,
  ...more,
});

const startClient = async (recording: Recording, fronts: () => readonly string[], ttl = 2) => {
  const asked: string[] = [];
  const directory = await serve((incoming, response) => {
    asked.push(incoming.url ?? '');
    respond(response, 200, { addresses: fronts(), 'ttl-s': ttl });
  });
  const client = Client.of({
    directories: [directory],
    name: 'h.example',
    region: 'a',
    zone: 'a-1',
    random: Random.of(1),
    recording,
    ttlMax: 5,
  });
  cleanups.push(client.stop);
  return { client, asked };
};
const violationsOf = (recording: Recording) => {
  const { twice, refused, unasked, mixed, order } = Checks.all;
  return [twice, refused, unasked, mixed, order].flatMap((check) => check!(recording, {} as never).breaches);
};

describe('simulated clients', () => {
  it('resolve the directory once, and read a stream to its end', async () => {
    const recording = Recording.of();
    const engine = await startEngine(recording, 'i-1');
    const { client, asked } = await startClient(recording, () => [engine.address]);
    const seen = [await client.call(kind()), await client.call(kind())];
    assert.deepEqual(
      seen.map((one) => [one.outcome, one.events?.map((event) => event.id)]),
      seen.map(() => ['whole', [1, 2, 3, 4, 5, 6, 7, 8]]),
    );
    assert.deepEqual(asked, ['/resolution?name=h.example&region=a&zone=a-1']);
    assert.equal(engine.connections(), 1, 'the connection is reused');
    assert.deepEqual(violationsOf(recording), []);
  });

  it('retry a once request that certainly did not run, after the Retry-After, with another id on a new connection', async () => {
    const recording = Recording.of();
    const engine = await startEngine(recording, 'i-1');
    const { client } = await startClient(recording, () => [engine.address]);
    engine.fault({ kind: 'answer', status: 429, retryAfter: 0.2, times: 1 });
    assert.equal((await client.call(kind())).outcome, 'whole');
    const [first, second] = recording.sent;
    assert.notEqual(first!.attempt, second!.attempt);
    assert.ok(second!.at - recording.ended[0]!.at >= 199, 'waited for the Retry-After');
    assert.deepEqual(violationsOf(recording), []);
  });

  it('tell an answer that ends early from bytes that are no answer, also where the connection was to close', async () => {
    const head = 'HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n';
    const outcomes = [];
    for (const bytes of [`${head}5\r\nhal`, 'HTTP/1.1 whatever\r\n\r\n']) {
      const recording = Recording.of();
      const address = await serve(({ socket }) => void socket.end(bytes));
      const { client } = await startClient(recording, () => [address]);
      await client.call(kind({ isStream: false }));
      outcomes.push([recording.ended[0]?.outcome, violationsOf(recording).length]);
    }
    assert.deepEqual(outcomes, [
      ['broken', 0],
      ['wrong', 1],
    ]);
  });

  it('do not retry a once request that may have run, but retry a repeatable one', async () => {
    const recording = Recording.of();
    const engine = await startEngine(recording, 'i-1');
    const { client } = await startClient(recording, () => [engine.address]);
    engine.fault({ kind: 'lost', times: 1 });
    assert.equal((await client.call(kind())).outcome, 'unreached');
    assert.equal(recording.sent.length, 1);
    engine.fault({ kind: 'lost', times: 1 });
    assert.equal((await client.call(kind({ runs: 'repeatable' }))).outcome, 'whole');
    assert.equal(recording.sent.length, 3);
  });

  it('resume a resumable stream after its last event', async () => {
    const recording = Recording.of();
    const engine = await startEngine(recording, 'i-1');
    const { client } = await startClient(recording, () => [engine.address]);
    engine.fault({ kind: 'cut', after: 3, times: 1 });
    const ended = await client.call(kind({ runs: 'resumable' }));
    assert.deepEqual(
      recording.ended.map((one) => [one.outcome, one.events?.map((event) => event.id)]),
      [
        ['broken', [1, 2, 3]],
        ['whole', [4, 5, 6, 7, 8]],
      ],
    );
    assert.equal(ended.outcome, 'whole');
    assert.deepEqual(violationsOf(recording), []);
  });

  it('do not resume other streams, and do not retry after a 404', async () => {
    const recording = Recording.of();
    const engine = await startEngine(recording, 'i-1');
    const { client } = await startClient(recording, () => [engine.address]);
    engine.fault({ kind: 'cut', after: 3, times: 1 });
    assert.equal((await client.call(kind())).outcome, 'broken');
    engine.fault({ kind: 'answer', status: 404, times: 1 });
    assert.equal((await client.call(kind({ runs: 'repeatable' }))).outcome, 'failed');
    assert.equal(recording.sent.length, 2);
  });

  it('use another proxy when one is unreachable', async () => {
    const recording = Recording.of();
    const engine = await startEngine(recording, 'i-1');
    const crashed = await startEngine(recording, 'i-2');
    await crashed.crash();
    const { client } = await startClient(recording, () => [crashed.address, engine.address]);
    for (let index = 0; index < 6; index += 1) assert.equal((await client.call(kind())).outcome, 'whole');
    assert.ok(recording.sent.filter((sent) => sent.front === crashed.address).length <= 1);
  });

  it('report a surplus response and bytes that are not a response', async () => {
    const recording = Recording.of();
    const plain = await startEngine(recording, 'i-1', { isPlain: true, span: 1 });
    const { client } = await startClient(recording, () => [plain.address]);
    plain.fault({ kind: 'garble', times: 1 });
    assert.equal((await client.call(kind({ isStream: false }))).outcome, 'wrong');
    plain.fault({ kind: 'surplus', when: 'next', times: 1 });
    await client.call(kind({ isStream: false }));
    await client.call(kind({ isStream: false }));
    const why = violationsOf(recording).join('; ');
    assert.match(why, /no answer/);
    assert.match(why, /the answer of/);
  });

  it('send a mix of request kinds, and each request ends', async () => {
    const recording = Recording.of();
    const engine = await startEngine(recording, 'i-1');
    const { client } = await startClient(recording, () => [engine.address]);
    client.play([kind({ perSecond: 200 }), kind({ name: 'other', perSecond: 100 })]);
    while (recording.sent.length < 30) await new Promise<void>((resolve) => setImmediate(resolve));
    await client.pause();
    assert.equal(recording.ended.length, recording.sent.length);
    assert.ok(recording.ended.every((ended) => ended.outcome === 'whole'));
    assert.deepEqual(violationsOf(recording), []);
  });
});

describe('simulated server list', () => {
  const start = async (more: Partial<PlatformList.Terms> = {}) => {
    const recording = Recording.of();
    const list = await PlatformList.start({
      listen: '127.0.0.1:0',
      lag: 0,
      perSecond: 100,
      page: 2,
      capacity: 64,
      recording,
      ...more,
    });
    cleanups.push(list.stop);
    const get = async (query = '') => {
      const got = await request(`http://${list.address}${Words.paths.list}${query}`);
      const body = (await got.body.json()) as {
        instances: Record<string, unknown>[];
        'next-token': string | null;
      };
      return { status: got.statusCode, ids: body.instances?.map((one) => one['instance-id']), body };
    };
    return { recording, list, get };
  };

  it('returns pages, for one zone or all, with the documented fields', async () => {
    const { recording, list, get } = await start();
    for (const [id, zone] of [
      ['i-1', 'a-1'],
      ['i-2', 'a-1'],
      ['i-3', 'b-1'],
    ])
      list.show(await startEngine(recording, id!, { zone: zone! }));
    const first = await get();
    assert.deepEqual([first.ids, first.body['next-token']], [['i-1', 'i-2'], 'p-2']);
    const second = await get('?page-token=p-2');
    assert.deepEqual([second.ids, second.body['next-token']], [['i-3'], null]);
    assert.deepEqual((await get('?zone=b-1')).ids, ['i-3']);
    assert.equal((await get('?page-token=x')).status, 400);
    assert.deepEqual(Object.keys(first.body.instances[0]!).sort(), [
      'address',
      'capacity',
      'instance-id',
      'models',
      'phase',
      'revision',
      'state',
      'target-service',
      'warmup-left-ms',
      'zone',
    ]);
  });

  it('rejects calls above its rate limit', async () => {
    const { get, list } = await start({ perSecond: 3 });
    const statuses = [await get(), await get(), await get(), await get()].map((one) => one.status);
    assert.deepEqual(statuses, [200, 200, 200, 429]);
    assert.deepEqual(list.calls(), { answered: 3, turnedAway: 1 });
  });

  it('lags: shows draining and removal late, and records when it did', async () => {
    const { recording, list, get } = await start({ lag: 80, perSecond: 1e6 });
    const engine = await startEngine(recording, 'i-1');
    list.show(engine);
    assert.deepEqual((await get()).ids, []);
    while ((await get()).ids!.length === 0);
    engine.drain();
    list.show(engine);
    assert.equal((await get()).body.instances[0]!.state, 'available');
    while ((await get()).body.instances[0]!.state !== 'draining');
    list.remove(engine);
    while ((await get()).ids!.length > 0);
    assert.deepEqual(
      recording.listed.map((one) => one.state),
      ['available', 'draining', 'gone'],
    );
    assert.ok(recording.listed.every((one) => one.at <= Recording.now()));
  });
});

describe('simulated operator', () => {
  const configuration: Operator.Configuration = {
    revision: 3,
    'route-table': [
      {
        name: 'r',
        'origin-host': 'h.example',
        'path-prefix': '/a/',
        'target-service': 'llm',
        'timeout-ms': 1000,
      },
    ],
    services: [{ name: 'llm' }],
    limits: {},
  };
  const operate = (recording: Recording, nodes: readonly string[]) =>
    Operator.of({ nodes: () => nodes, random: Random.of(3), recording, ackWithin: 2000 });

  it('follows redirects, and sends the base revision', async () => {
    const recording = Recording.of();
    const baseRevisions: unknown[] = [];
    const second = await serve((incoming, response) => {
      baseRevisions.push(incoming.headers['base-revision']);
      respond(response, 200, {});
    });
    const first = await serve((incoming, response) =>
      respond(response, 307, {}, { Location: `http://${second}${incoming.url}` }),
    );
    assert.equal(await operate(recording, [first]).put(configuration, 0), 200);
    assert.deepEqual(baseRevisions, ['0']);
    const [order] = recording.orders;
    assert.ok(order?.kind === 'configuration' && order.acked !== undefined && order.revision === 3);
  });

  it('tries other nodes after a failure, and stops at a definite rejection', async () => {
    const recording = Recording.of();
    let asked = 0;
    const bad = await serve((_incoming, response) => {
      asked += 1;
      respond(response, asked < 3 ? 503 : 412, {});
    });
    assert.equal(await operate(recording, [bad]).put(configuration, 2), 412);
    assert.equal(asked, 3);
    assert.equal(recording.orders[0]!.acked, undefined);
  });

  it('compares what it reads back with what it sent, regardless of field order', async () => {
    const recording = Recording.of();
    const node = await serve((_incoming, response) =>
      respond(response, 200, {
        limits: {},
        services: configuration.services,
        'route-table': configuration['route-table'],
        revision: 3,
      }),
    );
    const operator = operate(recording, [node]);
    assert.equal(await operator.put(configuration, 0), 200);
    await operator.read();
    assert.deepEqual(Checks.all.readBack!(recording, {} as never), { occasions: 1, breaches: [] });
  });

  it('repeats the begin and finish of an evacuation until they are acknowledged', async () => {
    const recording = Recording.of();
    const asked: string[] = [];
    const node = await serve((incoming, response) => {
      asked.push(`${incoming.method} ${incoming.url}`);
      if (asked.length === 1) incoming.socket.resetAndDestroy();
      else respond(response, 200, {});
    });
    const operator = operate(recording, [node]);
    assert.deepEqual([await operator.evacuate('a-1'), await operator.takeBack('a-1')], [200, 200]);
    assert.deepEqual(asked, [
      'POST /evacuation/a-1/begin',
      'POST /evacuation/a-1/begin',
      'POST /evacuation/a-1/finish',
    ]);
  });
});
