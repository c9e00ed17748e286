// Proxying in the product dialect: rule selection by host and path, weights and home regions, identity by response
// header, retries, connection reuse, and the rate limit of servers that warm up.
import assert from 'node:assert/strict';
import { after, before, beforeEach, describe, it } from 'node:test';
import { request } from 'undici';
import type { Document } from '../src/manifest/document.js';
import { FleetKit } from '../tools/fleet-kit.js';
import { InForce } from '../tools/in-force.js';
import { Bench } from './bench.js';

const regions = ['a', 'b', 'c'];
const group = (more: object = {}) => ({
  kind: 'plain',
  regions,
  proof: { header: 'x-wanted-instance', misdirected: 421 },
  not_run: [{ status: 421 }],
  ejection: { consecutive_5xx: 1000 },
  ...more,
});
const rule = (name: string, host: string, path: string, groups: string[], more: object = {}) => ({
  name,
  match: { host, path },
  groups,
  runs: 'repeatable',
  home: { regions },
  aim: 1000,
  timeouts: { connect: 1000, first_byte: 5000, per_try: 8000, total: 9000, idle: 5000 },
  retry: { retry_on: ['connect-failure', 'refused-stream', 'reset', '5xx'], count: 3, base: 1, max: 2 },
  ...more,
});
const warming = 20;
const manifest = {
  zones: Bench.manifest.zones,
  groups: {
    left: group(),
    right: group(),
    idle: group(),
    cold: group({ warmup: { per_second: warming, span: 60_000 } }),
  },
  homes: { all: { regions } },
  teams: { everybody: { keys: [], home: 'all', open: true } },
  rules: [
    rule('deep', 'one.example', '/p/deep/*', ['left']),
    rule('shallow', 'one.example', '/p/*', ['right']),
    rule('other', 'two.example', '/p/*', ['idle']),
    rule('split', 'one.example', '/split/*', ['left', 'right', 'idle'], {
      weights: { left: 2, right: 1, idle: 0 },
    }),
    rule('bound', 'one.example', '/bound/*', ['left'], { home: { regions: ['b'] } }),
    rule('once', 'one.example', '/once/*', ['left'], { runs: 'once' }),
    rule('again', 'one.example', '/again/*', ['left']),
    rule('cold', 'one.example', '/cold/*', ['cold']),
    rule('short', 'one.example', '/short/*', ['left'], { body: 1000 }),
  ],
  limits: { body_bytes: 5 * 1024 * 1024 },
} as unknown as Document;

const serve: Bench.Handle = (_incoming, response) => void response.end('whole');
const fail: Bench.Handle = (_incoming, response) => void response.writeHead(500).end('{}');

describe('proxying', () => {
  let bench: Bench;
  let left: Bench.BackEnd[];
  let right: Bench.BackEnd;
  let idle: Bench.BackEnd;
  let cold: Bench.BackEnd;
  let serial = 100;

  const callAt = (front: number, path: string, host = 'one.example', body = 'body') =>
    Bench.call(bench.kit.fronts[front % 3]!.listen, path, body, {
      host,
      authorization: '',
      'content-type': 'text/plain',
    });
  const groupOf = async (path: string, host?: string) =>
    (await callAt(0, path, host)).headers['bramblebend-group'];
  const list = async (among: readonly Bench.BackEnd[]) => {
    serial += 1;
    const servers = among.map(({ instance, group: of, address, region }) => ({
      ...{ instance, group: of, address, region, zone: `${region}-1` },
      ...(of === 'cold' ? { warming: 60_000 } : {}),
    }));
    const notice = { authorization: `Bearer ${FleetKit.platformToken}` };
    const put = await bench.kit.operate('PUT', '/v1/servers', { serial, servers }, notice);
    assert.equal(put.status, 200);
    await InForce.everywhere(bench.kit);
  };
  const earnRetryTokens = async () => {
    await Promise.all(Array.from({ length: 20 }, () => callAt(0, '/p/deep/earn')));
    for (const one of left) one.reached.length = 0;
  };
  const total = () => left.reduce((sum, one) => sum + one.reached.length, 0);

  before(async () => {
    bench = await Bench.start({ fronts: 3, manifest });
    const make = (instance: string, of: string, region: string) =>
      bench.backEnd({ instance, group: of, region, handle: serve });
    left = await Promise.all([make('l1', 'left', 'a'), make('l2', 'left', 'b'), make('l3', 'left', 'c')]);
    right = await make('r1', 'right', 'a');
    idle = await make('i1', 'idle', 'a');
    cold = await make('c1', 'cold', 'a');
    await list([...left, right, idle]);
  });
  after(() => bench.stop());
  beforeEach(() => {
    for (const one of [...left, right, idle, cold]) {
      one.handle = serve;
      one.reached.length = 0;
    }
  });

  it('limits retries to a fifth of the requests over all proxies', async () => {
    for (const one of left) one.handle = fail;
    const count = 90;
    const answers = await Promise.all(
      Array.from({ length: count }, (_none, index) => callAt(index, '/again/x')),
    );
    assert.ok(answers.every((one) => one.status === 502));
    assert.ok(total() > count, 'some requests were retried');
    assert.ok(total() <= count * 1.2, `${total()} sends for ${count} requests`);
  });

  it('selects the first rule whose host and path prefix match', async () => {
    assert.equal(await groupOf('/p/deep/x'), 'left');
    assert.equal(await groupOf('/p/deeper'), 'right');
    assert.equal(await groupOf('/p/x', 'ONE.example:8080'), 'right');
    assert.equal(await groupOf('/p/deep/x', 'two.example'), 'idle');
    const nowhere = await callAt(0, '/p/x', 'three.example');
    assert.equal(nowhere.status, 404);
    assert.equal(nowhere.headers['bramblebend-ran'], 'no');
  });

  it('splits by weight: a group of weight 0 gets nothing, and a group without servers gives up its part', async () => {
    const sent = async () => {
      right.reached.length = 0;
      for (const one of left) one.reached.length = 0;
      const answers = await Promise.all(
        Array.from({ length: 90 }, (_none, index) => callAt(index, '/split/x')),
      );
      assert.ok(answers.every((one) => one.status === 200));
      return [total(), right.reached.length, idle.reached.length];
    };
    const [ofLeft, ofRight, ofIdle] = await sent();
    assert.equal(ofIdle, 0);
    assert.ok(ofLeft! > ofRight! && ofRight! > 0, `${ofLeft} and ${ofRight}, expected 2 to 1`);
    await list([right, idle]);
    assert.deepEqual(await sent(), [0, 90, 0]);
    await list([idle]);
    assert.equal((await callAt(0, '/split/x')).status, 503);
    assert.equal(idle.reached.length, 0);
    await list([...left, right, idle]);
  });

  it('keeps a rule to its home regions on every proxy', async () => {
    const answers = await Promise.all(
      Array.from({ length: 30 }, (_none, index) => callAt(index, '/bound/x')),
    );
    assert.ok(answers.every((one) => one.headers['bramblebend-region'] === 'b'));
    assert.deepEqual(
      left.map((one) => one.reached.length),
      [0, 30, 0],
    );
    await list([left[0]!, left[2]!, right]);
    assert.equal((await callAt(1, '/bound/x')).status, 503);
    await list([...left, right, idle]);
  });

  it('names the expected instance to the server, without an identity request on a new connection', async () => {
    const asked: (string | undefined)[] = [];
    const fresh = await bench.backEnd({ instance: 'l9', group: 'left', region: 'a', handle: serve });
    fresh.server.on('request', (incoming) => asked.push(incoming.url));
    await list([fresh]);
    assert.equal((await callAt(0, '/once/x')).text, 'whole');
    assert.deepEqual(asked, ['/once/x']);
    assert.equal(fresh.reached[0]?.headers['x-wanted-instance'], 'l9');
    await list([...left, right, idle]);
  });

  it('treats a 421 from another instance as not run, and retries even a once request elsewhere', async () => {
    await earnRetryTokens();
    const other = await bench.backEnd({
      instance: 'l8',
      group: 'left',
      region: 'a',
      handle: (incoming, response) => {
        response.writeHead(incoming.headers['x-wanted-instance'] === 'l7' ? 200 : 421).end('{}');
      },
    });
    await list([other, left[1]!]);
    for (let count = 0; other.reached.length === 0; count += 1) {
      const answer = await callAt(0, '/once/x');
      assert.deepEqual([answer.status, answer.text], [200, 'whole']);
      assert.ok(count < 200, 'the server is still tried occasionally');
    }
    assert.equal(left[1]!.reached.length >= 1, true);
    await list([...left, right, idle]);
  });

  it('retries after a 5xx only for a repeatable request', async () => {
    await earnRetryTokens();
    let failures = 1;
    for (const one of left)
      one.handle = (incoming, response, body) => (failures-- > 0 ? fail : serve)(incoming, response, body);
    const again = await callAt(0, '/again/x');
    assert.deepEqual([again.status, again.headers['bramblebend-tries'], total()], [200, '2', 2]);
    failures = 1;
    const once = await callAt(0, '/once/x');
    assert.deepEqual([once.status, once.headers['bramblebend-ran'], total()], [502, 'unknown', 3]);
  });

  it('never reuses a connection that the server announced to close, and counts no failure for it', async () => {
    const connections = new Set<unknown>();
    const heads = [{ connection: 'close' }, { 'keep-alive': 'timeout=1' }];
    let answered = 0;
    const brief = await bench.backEnd({
      instance: 'l6',
      group: 'left',
      region: 'a',
      handle: (_incoming, response) => {
        answered += 1;
        response.writeHead(200, heads[answered % 2]).end('whole');
      },
    });
    brief.server.on('connection', (socket) => connections.add(socket));
    await list([brief]);
    const count = 60;
    for (let index = 0; index < count; index += 1) assert.equal((await callAt(0, '/once/x')).text, 'whole');
    assert.equal(brief.reached.length, count);
    assert.equal(connections.size, count, 'exactly one connection for each request');
    await list([...left, right, idle]);
  });

  it('accepts bodies up to the limit of the manifest or the rule', async () => {
    const send = async (path: string, length: number) =>
      (await callAt(0, path, 'one.example', 'x'.repeat(length))).status;
    assert.equal(await send('/again/x', 5 * 1024 * 1024), 200);
    assert.equal(left.find((one) => one.reached.length > 0)?.reached[0]?.body.length, 5 * 1024 * 1024);
    assert.deepEqual([await send('/short/x', 1000), await send('/short/x', 1001)], [200, 413]);
  });

  it('forwards complete responses without a body, after a 102, and with trailers', async () => {
    const ask = async (handle: Bench.Handle, method: 'GET' | 'HEAD') => {
      for (const one of left) one.handle = handle;
      const answer = await request(`http://${bench.kit.fronts[0]!.listen}/once/x`, {
        method,
        headers: { host: 'one.example' },
      });
      return [answer.statusCode, answer.headers['content-length'], await answer.body.text()];
    };
    const head: Bench.Handle = (_incoming, response) =>
      void response.writeHead(200, { 'content-length': '5', 'content-type': 'text/event-stream' }).end();
    assert.deepEqual(await ask(head, 'HEAD'), [200, '5', '']);
    assert.deepEqual(await ask(serve, 'GET'), [200, '5', 'whole']);
    const empty: Bench.Handle = (_incoming, response) => void response.writeHead(204).end();
    assert.deepEqual(await ask(empty, 'GET'), [204, undefined, '']);
    const none: Bench.Handle = (_incoming, response) =>
      void response.writeHead(200, { 'content-length': '0' }).end();
    assert.deepEqual(await ask(none, 'GET'), [200, '0', '']);
    const early: Bench.Handle = (_incoming, response) => {
      response.writeProcessing();
      response.writeHead(200, { trailer: 'x-sum' });
      response.write('who');
      response.addTrailers({ 'x-sum': '1' });
      response.end('le');
    };
    assert.deepEqual(await ask(early, 'GET'), [200, undefined, 'whole']);
    assert.equal(total(), 5);
  });

  it('sends a warming server no more than its limit in any second, over all proxies', async () => {
    const arrivals: number[] = [];
    cold.server.on('request', () => arrivals.push(performance.now()));
    await list([...left, right, idle, cold]);
    const began = performance.now();
    let served = 0;
    const sendRequests = async (front: number, until: number) => {
      do {
        const answer = await callAt(front, '/cold/x');
        assert.ok(answer.status === 200 || answer.status === 503, String(answer.status));
        if (answer.status === 200) served += 1;
      } while (performance.now() < until);
    };
    await Promise.all(
      Array.from({ length: 90 }, (_none, index) => sendRequests(index, index < 6 ? began + 2500 : began)),
    );
    const bound = Math.floor(warming * 1.15);
    const first = arrivals.filter((at) => at < arrivals[0]! + 900).length;
    assert.ok(first <= bound, `${first} requests at once, limit ${bound}`);
    const spans = Math.ceil((performance.now() - began) / 1000);
    assert.ok(arrivals.length <= bound * spans, `${arrivals.length} within ${spans} s of ${bound} each`);
    assert.ok(served >= warming, `${served} served in 2.5 s`);
  });
});
