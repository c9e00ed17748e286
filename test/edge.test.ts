// The client side of the proxy: refusals, home regions and spill, header filtering, and verification of server identity.
import assert from 'node:assert/strict';
import { connect } from 'node:net';
import { after, before, describe, it } from 'node:test';
import { Stamp } from '../src/common/stamp.js';
import { Frame } from '../src/wire/frame.js';
import { FleetKit } from '../tools/fleet-kit.js';
import { InForce } from '../tools/in-force.js';
import { Random } from '../tools/random.js';
import { Bench } from './bench.js';

const serve: Bench.Handle = (_request, response) => Bench.sse(response, ['one']);
const chat = '/v1/chat/completions';

describe('edge', () => {
  let bench: Bench;
  let a: Bench.BackEnd;
  let b: Bench.BackEnd;
  let c: Bench.BackEnd;
  let plain: Bench.BackEnd;

  before(async () => {
    bench = await Bench.start();
    a = await bench.backEnd({ instance: 'a1', group: 'llm', region: 'a', handle: serve });
    b = await bench.backEnd({ instance: 'b1', group: 'llm', region: 'b', handle: serve });
    c = await bench.backEnd({ instance: 'c1', group: 'llm', region: 'c', handle: serve });
    plain = await bench.backEnd({
      instance: 'p1',
      group: 'plain',
      region: 'a',
      handle: (_request, response) => void response.end('{"count":3}'),
    });
    await bench.list([a, b, c, plain]);
  });
  const earnRetryTokens = async () => {
    await Promise.all(Array.from({ length: 40 }, () => bench.chat('once')));
  };
  after(() => bench.stop());

  const expectRefusal = async (
    wanted: { status: number; code: string },
    path: string,
    body: unknown,
    headers: Record<string, string> = {},
  ) => {
    const before = [a, b, c].map((one) => one.reached.length);
    const answer = await bench.call(path, body, headers);
    assert.equal(answer.status, wanted.status);
    const { error } = JSON.parse(answer.text);
    assert.equal(error.code, wanted.code);
    assert.equal(error.ran, 'no');
    assert.equal(answer.headers['bramblebend-ran'], 'no');
    assert.equal(answer.headers['bramblebend-request-id'], error.request_id);
    assert.deepEqual(
      [a, b, c].map((one) => one.reached.length),
      before,
    );
  };

  it('refuses a missing or unknown key with 401', async () => {
    await expectRefusal(
      { status: 401, code: 'invalid_api_key' },
      chat,
      { model: 'once' },
      { authorization: 'Bearer nobody' },
    );
    await expectRefusal({ status: 401, code: 'invalid_api_key' }, '/nowhere', undefined, {
      authorization: '',
    });
  });
  it('refuses a request that no rule matches with 404', async () => {
    await expectRefusal({ status: 404, code: 'no_rule' }, chat, { model: 'unheard-of' });
    await expectRefusal({ status: 404, code: 'no_rule' }, '/nowhere', undefined);
  });
  it('refuses malformed JSON with 400', () =>
    expectRefusal({ status: 400, code: 'bad_json' }, chat, '{"model":'));
  it('refuses a body above the limit with 413', () =>
    expectRefusal({ status: 413, code: 'body_too_long' }, chat, {
      model: 'once',
      messages: 'x'.repeat(30_000),
    }));
  it('refuses an unknown home with 400, without a fallback', () =>
    expectRefusal({ status: 400, code: 'unknown_home' }, chat, { model: 'once' }, { 'x-home': 'atlantis' }));
  it('refuses a home that the team may not use with 403', () =>
    expectRefusal({ status: 403, code: 'forbidden_home' }, chat, { model: 'once' }, { 'x-home': 'c' }));
  it('refuses malformed timeouts with 400', () =>
    expectRefusal(
      { status: 400, code: 'bad_timeouts' },
      chat,
      { model: 'once' },
      { 'bramblebend-timeouts': 'total=soon' },
    ));

  it('spills only within the home, and answers 503 not run if it has no server', async () => {
    await bench.list([b, c, plain]);
    const spilled = await bench.chat('once');
    assert.equal(spilled.headers['bramblebend-region'], 'b');
    await bench.list([c, plain]);
    const reached = c.reached.length;
    await expectRefusal({ status: 503, code: 'no_server' }, chat, { model: 'once', messages: [] });
    assert.equal(c.reached.length, reached);
    const theirs = await bench.chat('once', {}, { authorization: 'Bearer another-key' });
    assert.equal(theirs.headers['bramblebend-region'], 'c');
    await bench.list([a, b, c, plain]);
  });

  it('lists the models of the team’s rules', async () => {
    const answer = await bench.call('/v1/models');
    assert.deepEqual(
      JSON.parse(answer.text).data.map((one: { id: string }) => one.id),
      ['once', 'again'],
    );
  });

  it('routes plain requests by path prefix', async () => {
    const answer = await bench.call('/stock/insulin?size=3');
    assert.equal(answer.status, 200);
    assert.equal(answer.text, '{"count":3}');
    assert.equal(plain.reached.at(-1)?.url, '/stock/insulin?size=3');
  });

  it('forwards client headers except credentials, hop-by-hop and reserved headers', async () => {
    await bench.chat(
      'once',
      {},
      {
        'x-envoy-max-retries': '9',
        'bramblebend-tries': '7',
        'bramblebend-request-id': 'forged',
        'proxy-authorization': 'Basic abc',
        'x-trace': 'kept',
      },
    );
    const { headers } = a.reached.at(-1)!;
    for (const name of ['authorization', 'x-envoy-max-retries', 'bramblebend-tries', 'proxy-authorization'])
      assert.equal(headers[name], undefined, name);
    assert.notEqual(headers['bramblebend-request-id'], 'forged');
    assert.match(String(headers['bramblebend-request-id']), /^[0-9a-f-]{36}$/);
    assert.equal(headers['x-trace'], 'kept');
  });

  it('sends servers the remaining time and hop count, regardless of the client headers', async () => {
    await bench.chat(
      'once',
      {},
      { 'bramblebend-time-left': '9999999', 'bramblebend-timeouts': 'total=5000' },
    );
    const { headers } = a.reached.at(-1)!;
    const left = Number(headers['bramblebend-time-left']);
    assert.ok(left > 0 && left <= 5000, String(left));
    assert.equal(headers['bramblebend-hops'], '0');
    await bench.list([b, c, plain]);
    await earnRetryTokens();
    a.handle = serve;
    await bench.list([a, b, c, plain]);
    const reset: Bench.Handle = (request) => void request.socket.resetAndDestroy();
    a.handle = reset;
    assert.equal((await bench.chat('again')).headers['bramblebend-region'], 'b');
    a.handle = serve;
    assert.equal(b.reached.at(-1)!.headers['bramblebend-hops'], '1');
  });

  it('refuses a body that arrives too slowly for the timeout of the rule, as not run', async () => {
    const before = a.reached.length;
    const [host, port] = bench.kit.fronts[0]!.listen.split(':');
    const text = await new Promise<string>((resolve) => {
      const socket = connect(Number(port), host, () =>
        socket.write(
          `POST /slow HTTP/1.1\r\nhost: x\r\nauthorization: Bearer ${Bench.key}\r\ncontent-length: 500\r\n\r\n{`,
        ),
      );
      let told = '';
      socket.on('data', (chunk) => {
        told += String(chunk);
      });
      socket.on('close', () => resolve(told));
    });
    assert.match(text, /^HTTP\/1.1 408 /);
    assert.match(text, /"ran":"no"/);
    assert.equal(a.reached.length, before);
  });

  it('completes the running stream of a leaving server, and sends it nothing new', async () => {
    let finish: () => void = () => {};
    let isBegun: () => void = () => {};
    const begun = new Promise<void>((resolve) => {
      isBegun = resolve;
    });
    a.handle = (_request, response) => {
      Bench.sse(response, ['one'], false);
      finish = () => void response.end('data: [DONE]\n\n');
      isBegun();
    };
    const running = bench.chat('once');
    await begun;
    const reached = a.reached.length;
    const notice = { authorization: `Bearer ${FleetKit.platformToken}` };
    const told = await bench.kit.operate('POST', '/v1/leaving', { instance: 'a1' }, notice);
    assert.equal(told.status, 200);
    await InForce.everywhere(bench.kit);
    for (let count = 0; count < 10; count += 1)
      assert.equal((await bench.chat('once')).headers['bramblebend-region'], 'b');
    finish();
    const answer = await running;
    assert.equal(answer.isBroken, false);
    assert.match(answer.text, /\[DONE\]/);
    assert.equal(a.reached.length, reached);
    a.handle = serve;
    await bench.list([b, c, plain]);
    await bench.list([a, b, c, plain]);
  });

  it('sends nothing to a different service or instance at a listed address', async () => {
    await earnRetryTokens();
    const stranger = await bench.backEnd({
      instance: 'x1',
      group: 'llm',
      region: 'a',
      handle: serve,
      service: 'a-service-of-somebody',
    });
    const impostor = { ...stranger, instance: 'a7' };
    await bench.list([stranger, b]);
    assert.equal((await bench.chat('once')).headers['bramblebend-region'], 'b');
    await bench.list([a, b, c, plain]);
    await earnRetryTokens();
    stranger.service = 'llm';
    await bench.list([impostor, b]);
    assert.equal((await bench.chat('once')).headers['bramblebend-region'], 'b');
    assert.equal(stranger.reached.length, 0);
    await bench.list([stranger, b]);
    assert.equal((await bench.chat('once')).headers['bramblebend-region'], 'a');
    const { ops } = bench.kit.fronts[0]!;
    const metrics = await (await fetch(`http://${ops}/metrics`)).text();
    assert.match(metrics, /bramblebend_wrong_identities_total\{group="llm"\} [1-9]/);
    await bench.list([a, b, c, plain]);
  });

  it('reaches no other service if an address with open connections is reused', async () => {
    await earnRetryTokens();
    const old = await bench.backEnd({ instance: 'a5', group: 'llm', region: 'a', handle: serve });
    await bench.list([old, b]);
    assert.equal((await bench.chat('once')).headers['bramblebend-region'], 'a');
    await old.stop();
    const other = await bench.backEnd({
      instance: 'z1',
      group: 'llm',
      region: 'a',
      handle: serve,
      service: 'another',
      address: old.address,
    });
    for (let count = 0; count < 5; count += 1)
      assert.equal((await bench.chat('once')).headers['bramblebend-region'], 'b');
    assert.equal(other.reached.length, 0);
    await bench.list([a, b, c, plain]);
  });

  it('survives malformed input on every port', async () => {
    const front = bench.kit.fronts[0]!;
    const core = bench.kit.cores[0]!;
    const send = (address: string, bytes: Buffer) =>
      new Promise<void>((resolve) => {
        const [host, port] = address.split(':');
        const socket = connect(Number(port), host, () => socket.end(bytes));
        socket.on('error', () => {});
        socket.on('close', () => resolve());
        socket.resume();
      });
    const long = Buffer.alloc(8);
    long.writeUInt32BE(0xffffffff, 0);
    const inputs = [
      Buffer.from([0, 0, 0, 9, 1]),
      long,
      Buffer.from([0, 0, 0, 3, 0xff, 0xff, 0xff]),
      Buffer.from('GET / HTTP/1.1\r\n\r\n'),
      Buffer.from([0, 0, 0, 0]),
      Buffer.from(`GET / HTTP/1.1\r\nhost: x\r\nx-long: ${'y'.repeat(40_000)}\r\n\r\n`),
    ];
    const random = Random.of(20);
    const bytes = (count: number) => Buffer.from(Array.from({ length: count }, () => random.below(256)));
    const framed = (body: Uint8Array) => {
      const head = Buffer.alloc(4);
      head.writeUInt32BE(body.length, 0);
      return Buffer.concat([head, body]);
    };
    const corrupt = (whole: Buffer) => {
      const corrupted = Buffer.from(whole);
      for (let count = 0; count <= random.below(4); count += 1)
        corrupted[random.below(corrupted.length)] = random.below(256);
      return corrupted.subarray(0, 1 + random.below(corrupted.length));
    };
    const entry = {
      node: 'n',
      boot: 'b',
      counter: 1,
      age: -5,
      zone: 'a-1',
      stamp: Stamp.of(9, 9),
      program: 'agent',
    };
    const hello = { kind: 'hello', self: entry, version: '1', aim: random.pick(['core', 'session']) };
    const bodies = [
      hello,
      { kind: 'roll', entries: [entry, { ...entry, node: 'm' }] },
      { kind: 'prepare', serial: 1, ballot: { round: 1, disk: 'x' }, isForming: true },
      { kind: 'append', serial: 1, epoch: 0, previous: Stamp.none, record: bytes(30), whole: false },
      { kind: 'tokens', node: 'n', epoch: 1, batches: [{ amount: 5, age: 1 }], wanted: 9 },
    ].map((body) => Frame.encode(Stamp.none, body as unknown as Frame.Body));
    for (let count = 0; count < 60; count += 1) {
      inputs.push(framed(bytes(random.below(200))));
      inputs.push(Buffer.concat([bodies[0]!, corrupt(random.pick(bodies)), framed(bytes(9))]));
      inputs.push(
        corrupt(Buffer.from(`POST ${chat} HTTP/1.1\r\nhost: x\r\ncontent-length: 9\r\n\r\n{"a":1}\r\n`)),
      );
    }
    for (const address of [front.wire, front.feed, core.wire, core.http, front.listen, front.ops])
      await Promise.all(inputs.map((input) => send(address, input)));
    assert.equal((await bench.chat('once')).status, 200);
    const metrics = await (await fetch(`http://${core.http}/metrics`)).text();
    assert.match(metrics, /bramblebend_links_dropped [1-9]/);
    for (const one of [front.agent, front.proxy, core.process]) assert.equal(one?.isUp(), true);
  });
});
