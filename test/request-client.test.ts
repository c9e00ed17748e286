// Behaviour towards unusual clients, with a client that writes raw bytes to the real request path. Guards against
// request smuggling, requests altered on the way, and resources left behind by clients that disconnect: every request
// gets one defined response or a closed connection.
import assert from 'node:assert/strict';
import { afterEach, describe, it, mock } from 'node:test';
import { Lab } from '../tools/fuzz/lab.js';
import { RawHttp } from '../tools/fuzz/raw-http.js';
import { ManualClock } from './manual-clock.js';
import { RequestKit } from './request-kit.js';

const { serve, start, reply, request, ask } = RequestKit;

afterEach(() => mock.timers.reset());
afterEach(RequestKit.end);

const mine: RequestKit.Script = (arrival) => void reply(arrival, `body of ${arrival.headers['attempt-id']}`);
const silent: RequestKit.Script = () => {};
const until = async (condition: () => boolean): Promise<void> => {
  while (!condition()) await new Promise<void>((resolve) => setImmediate(resolve));
};
/** Waits while no timer of the process runs out, so that what is waited for follows from events alone, at once. */
const untilWithoutTimers = async (condition: () => boolean): Promise<void> => {
  mock.timers.enable({ apis: ['setTimeout', 'setInterval'] });
  try {
    await until(condition);
  } finally {
    mock.timers.reset();
  }
};
const head = (lines: readonly string[]) => `${lines.join('\r\n')}\r\n\r\n`;
const common = ['host: h.example', 'attempt-id: c1'];

describe('an unusual request', () => {
  const answerTo = async (bytes: string) => {
    const server = await serve(mine);
    const lab = await start({ servers: [server] });
    const answer = await ask(lab, bytes);
    return { answer, arrivals: server.arrivals };
  };
  const refused: Readonly<Record<string, string>> = {
    'a content length and chunked encoding': head([
      'POST /once/a HTTP/1.1',
      ...common,
      'content-length: 5',
      'transfer-encoding: chunked',
    ]),
    'two content lengths': head([
      'POST /once/a HTTP/1.1',
      ...common,
      'content-length: 5',
      'content-length: 6',
    ]),
    'a list as content length': head(['POST /once/a HTTP/1.1', ...common, 'content-length: 5, 5']),
    'a signed content length': head(['POST /once/a HTTP/1.1', ...common, 'content-length: +5']),
    'an unknown transfer coding': head(['POST /once/a HTTP/1.1', ...common, 'transfer-encoding: chunked, x']),
    'a space before the colon': head(['POST /once/a HTTP/1.1', ...common, 'content-length : 5']),
    'bare line feeds': `POST /once/a HTTP/1.1\nhost: h.example\nattempt-id: c1\ncontent-length: 0\n\n`,
    'an absolute target': head(['GET http://other.example/once/a HTTP/1.1', ...common]),
    'an absolute target with the same host': head(['GET http://h.example/once/a HTTP/1.1', ...common]),
    'an asterisk target': head(['OPTIONS * HTTP/1.1', ...common]),
    'two hosts': head(['GET /once/a HTTP/1.1', ...common, 'host: other.example']),
    'no host': head(['GET /once/a HTTP/1.1', 'attempt-id: c1']),
    'an invalid host': head(['GET /once/a HTTP/1.1', 'host: a/b?c', 'attempt-id: c1']),
  };
  for (const [what, bytes] of Object.entries(refused))
    it(`is refused and reaches no server: ${what}`, async () => {
      const { answer, arrivals } = await answerTo(
        `${bytes}GET /once/smuggled HTTP/1.1\r\nhost: h.example\r\n\r\n`,
      );
      assert.equal(answer.status, 400);
      assert.deepEqual(arrivals, []);
    });
  it('is refused with 431 if its headers are too large', async () => {
    const { answer, arrivals } = await answerTo(request('/once/a', { 'x-long': 'y'.repeat(40_000) }));
    assert.equal(answer.status, 431);
    assert.deepEqual(arrivals, []);
  });
  it('is refused with 417 if its expectation is unknown', async () => {
    const { answer, arrivals } = await answerTo(request('/once/a', { expect: 'the-unexpected' }));
    assert.deepEqual([answer.status, arrivals.length], [417, 0]);
  });
  it('is served if it expects 100-continue, which is not forwarded', async () => {
    const { answer, arrivals } = await answerTo(request('/once/a', { expect: '100-continue' }));
    assert.deepEqual([answer.status, arrivals[0]?.headers.expect], [200, undefined]);
  });
  it('is served without an upgrade if it asks for one, which is not forwarded', async () => {
    const { answer, arrivals } = await answerTo(
      request('/once/a', { connection: 'upgrade', upgrade: 'websocket' }),
    );
    assert.deepEqual([answer.status, answer.end], [200, 'whole']);
    assert.equal(arrivals[0]?.headers.upgrade, undefined);
  });
  it('keeps its identifying headers even if it lists them in the Connection header', async () => {
    const listed = { connection: 'attempt-id, model, host', model: 'm', 'attempt-id': 'c2' };
    const { answer, arrivals } = await answerTo(request('/once/a', listed));
    assert.equal(answer.status, 200);
    const { host, model } = arrivals[0]!.headers;
    assert.deepEqual([arrivals[0]!.headers['attempt-id'], host, model], ['c2', 'h.example', 'm']);
  });
  it('is routed by its literal path and forwarded unchanged', async () => {
    const target = '/once/%2e%2e/safe/../x%2f?q=%20&q=..//';
    const { arrivals } = await answerTo(request(target));
    assert.equal(arrivals[0]?.target, target);
    for (const other of ['/%6fnce/a', '/elsewhere/../once/a', '//once/a']) {
      const { answer, arrivals: none } = await answerTo(request(other));
      assert.deepEqual([other, answer.status, none.length], [other, 404, 0]);
    }
  });
  it('has a folded header refused or forwarded as one line', async () => {
    const { answer, arrivals } = await answerTo(
      head(['GET /once/a HTTP/1.1', ...common, 'x-folded: one', ' two: three']),
    );
    assert.ok(answer.status === 400 || arrivals[0]?.headers['x-folded'] === 'one two: three');
    assert.ok(!arrivals[0]?.head.includes('\r\n '));
  });
  it('gets only headers for HEAD', async () => {
    const server = await serve(({ socket, headers }) =>
      socket.write(RawHttp.answer(200, { 'attempt-id': headers['attempt-id']!, 'content-length': '7' })),
    );
    const lab = await start({ servers: [server] });
    const socket = await Lab.connect(lab.address);
    socket.write(head(['HEAD /safe/a HTTP/1.1', ...common]));
    const answer = await RawHttp.readAnswer(socket, true);
    socket.destroy();
    assert.deepEqual([answer.status, answer.headers['content-length'], answer.rest], [200, '7', '']);
    assert.equal(server.arrivals[0]?.method, 'HEAD');
  });
});

describe('a client that', () => {
  it('pipelines requests has each passed on after the response before it, and gets the responses in order', {
    timeout: 10_000,
  }, async () => {
    const held: RequestKit.Arrival[] = [];
    const server = await serve((arrival) => void held.push(arrival));
    const lab = await start({ servers: [server] });
    const socket = await Lab.connect(lab.address);
    let text = '';
    socket.on('data', (bytes: Buffer) => {
      text += bytes.toString('latin1');
    });
    const ids = ['p1', 'p2', 'p3'];
    socket.write(ids.map((id) => request('/once/a', { 'attempt-id': id })).join(''));
    for (const id of ids) {
      await until(() => held.length > 0);
      for (let turn = 0; turn < 20; turn += 1) await new Promise<void>((resolve) => setImmediate(resolve));
      assert.deepEqual(
        held.map(({ headers }) => headers['attempt-id']),
        [id],
      );
      assert.doesNotMatch(text, new RegExp(`body of ${id}`));
      mine(held.shift()!);
      await until(() => text.includes(`body of ${id}`));
    }
    assert.deepEqual(text.match(/HTTP\/1\.1 \d+|body of p\d/g), [
      ...ids.flatMap((id) => ['HTTP/1.1 200', `body of ${id}`]),
    ]);
    socket.destroy();
  });
  it('pipelines requests and disconnects leaves nothing behind', { timeout: 10_000 }, async () => {
    const server = await serve(silent);
    const lab = await start({ servers: [server] });
    const socket = await Lab.connect(lab.address);
    socket.write(request('/safe/a') + request('/safe/b') + request('/safe/c'));
    await until(() => server.arrivals.length === 1);
    socket.destroy();
    await untilWithoutTimers(() => server.sockets.size === 0 && lab.active() === 0);
    assert.equal(server.arrivals.length, 1);
  });
  it('half-closes the connection gets a response or a close, and its request is cancelled', async () => {
    const server = await serve(silent);
    const lab = await start({ servers: [server] });
    const socket = await Lab.connect(lab.address);
    const answer = RawHttp.readAnswer(socket);
    socket.end(request('/safe/a'));
    await until(() => server.arrivals.length === 1);
    await until(() => server.sockets.size === 0 && lab.active() === 0);
    assert.notEqual((await answer).end, 'whole');
  });
  it('stops in the middle of its body gets 408 at the deadline, and reaches no server', async () => {
    const server = await serve(mine);
    const lab = await start({ servers: [server] });
    const whole = request('/once/a', { 'remaining-time': '200' }, 'a body that stops');
    const began = performance.now();
    const answer = await ask(lab, whole.slice(0, -4));
    assert.equal(answer.status, 408);
    assert.ok(performance.now() - began < 700);
    assert.equal(server.arrivals.length, 0);
  });
  it('disconnects after any byte leaves nothing behind, and no incomplete request runs', async () => {
    const server = await serve(mine);
    const lab = await start({ servers: [server] });
    const whole = request('/once/a', {}, 'asked');
    for (let length = 1; length < whole.length; length += 1) {
      const socket = await Lab.connect(lab.address);
      socket.write(whole.slice(0, length), () => socket.destroy());
      await new Promise<void>((resolve) => socket.once('close', () => resolve()));
    }
    await until(() => lab.active() === 0);
    assert.equal((await ask(lab, request('/once/last'))).status, 200);
    assert.deepEqual(
      server.arrivals.map((one) => one.target),
      ['/once/last'],
    );
  });
  it('disconnects during a stream ends it at the server at once', {
    timeout: 10_000,
  }, async () => {
    const server = await serve((arrival) => {
      const id = arrival.headers['attempt-id'] ?? '';
      arrival.socket.write(
        RawHttp.answer(200, { 'attempt-id': id, 'transfer-encoding': 'chunked' }) + RawHttp.chunk('a part'),
      );
    });
    const lab = await start({ servers: [server] });
    const socket = await Lab.connect(lab.address);
    socket.write(request('/once/a'));
    await new Promise<void>((resolve) => socket.once('data', () => resolve()));
    socket.destroy();
    await untilWithoutTimers(() => server.sockets.size === 0 && lab.active() === 0);
  });
});

describe('the request deadline', () => {
  const short = (runs: string, total: number) =>
    RequestKit.document({}, [
      RequestKit.rule('timed', runs, {
        timeouts: { connect: total, first_byte: total, per_try: total, total, idle: total },
      }),
    ]);
  it('ends a request that no server answers within half a second', async () => {
    for (const runs of ['once', 'repeatable']) {
      const servers = [await serve(silent), await serve(silent)];
      const lab = await start({ servers, document: short(runs, 300) });
      const began = performance.now();
      const answer = await ask(lab, request('/timed/a', { 'remaining-time': '60000' }));
      const took = performance.now() - began;
      assert.equal(answer.status, 504);
      assert.ok(took >= 290 && took < 800, `${took}`);
      await RequestKit.end();
    }
  });
  it('ends an endless response, which is reported as truncated', {
    timeout: 10_000,
  }, async () => {
    const server = await serve((arrival) => {
      const id = arrival.headers['attempt-id'] ?? '';
      arrival.socket.write(RawHttp.answer(200, { 'attempt-id': id, 'transfer-encoding': 'chunked' }));
      const more = setInterval(() => arrival.socket.write(RawHttp.chunk('more')), 20);
      arrival.socket.once('close', () => clearInterval(more));
    });
    const lab = await start({ servers: [server], document: short('once', 300) });
    const began = performance.now();
    const answer = await ask(lab, request('/timed/a'));
    assert.equal(answer.end, 'cut');
    assert.ok(performance.now() - began < 800);
  });
  it('is sent to servers as the remaining time, less on each retry', async (context) => {
    const clock = ManualClock.install();
    context.after(clock.uninstall);
    const times: number[] = [];
    const fail: RequestKit.Script = (arrival) => {
      times.push(Number(arrival.headers['remaining-time']));
      if (times.length === 3) return mine(arrival);
      clock.advance(100);
      arrival.socket.resetAndDestroy();
    };
    const servers = [await serve(fail), await serve(fail), await serve(fail)];
    const lab = await start({ servers, document: short('repeatable', 60_000) });
    assert.equal((await ask(lab, request('/timed/a', { 'remaining-time': '10000' }))).status, 200);
    const [first] = times;
    assert.ok(first! <= 10_000 && first! > 9900, String(times));
    assert.deepEqual(times, [first, first! - 100, first! - 200]);
  });
});
