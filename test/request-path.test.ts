// Matching of responses to requests, with servers that write raw bytes behind the real request path. A response must
// never reach the wrong request: covers the echoed id, reused connections, surplus bytes, truncated responses, early
// responses, and what the client is told when an attempt was lost.
import assert from 'node:assert/strict';
import { afterEach, describe, it } from 'node:test';
import { Reset } from '../src/overload/reset.js';
import { Lab } from '../tools/fuzz/lab.js';
import { RawHttp } from '../tools/fuzz/raw-http.js';
import { RequestKit } from './request-kit.js';

const { serve, start, reply, request, ask } = RequestKit;
type Script = RequestKit.Script;

afterEach(RequestKit.end);

describe('matching responses to requests, platform dialect', () => {
  it('rejects a response without the id; a once request may have run', async () => {
    const server = await serve(({ socket }) => socket.write(RawHttp.answer(200, {}, 'whose?')));
    const lab = await start({ servers: [server] });
    const answer = await ask(lab, request('/once/a'));
    assert.deepEqual([answer.status, server.arrivals.length], [502, 1]);
    assert.doesNotMatch(answer.body, /whose/);
  });
  it('does not trust a not-executed header in a response without the id', async () => {
    const server = await serve(({ socket }) =>
      socket.write(RawHttp.answer(503, { 'not-executed': 'true' }, 'full')),
    );
    const lab = await start({ servers: [server] });
    assert.deepEqual([(await ask(lab, request('/once/a'))).status, server.arrivals.length], [502, 1]);
  });
  it('retries a repeatable request after a response without the id', async () => {
    let count = 0;
    const script: Script = (arrival) => {
      count += 1;
      if (count === 1) arrival.socket.write(RawHttp.answer(200, {}, 'whose?'));
      else reply(arrival, 'mine');
    };
    const servers = [await serve(script), await serve(script)];
    const lab = await start({ servers });
    const answer = await ask(lab, request('/safe/a'));
    assert.deepEqual([answer.status, answer.body, count], [200, 'mine', 2]);
  });
  it('reuses a connection whose responses carry the id', async () => {
    const server = await serve((arrival) => reply(arrival, 'mine'));
    const lab = await start({ servers: [server] });
    for (let index = 0; index < 5; index += 1) assert.equal((await ask(lab, request('/once/a'))).status, 200);
    assert.deepEqual(
      server.arrivals.map((one) => one.connection),
      [1, 1, 1, 1, 1],
    );
  });
});

const isIdentity = ({ target }: RequestKit.Arrival) => target === '/identity';
const ownGroup = (more: object = {}) =>
  Lab.document(
    {
      g: {
        kind: 'plain',
        regions: [Lab.region],
        identity: { path: '/identity', service: { at: { header: 'x-service' }, is: 'g' } },
        ejection: { consecutive_5xx: 1000 },
        ...more,
      },
    },
    [RequestKit.rule('once', 'once'), RequestKit.rule('safe', 'repeatable')],
  );
/** Answers identity checks, and passes all other requests to the script. */
const withIdentity =
  (script: Script): Script =>
  (arrival) =>
    isIdentity(arrival)
      ? void arrival.socket.write(RawHttp.answer(200, { 'x-service': 'g' }, '{}'))
      : script(arrival);

describe('matching responses to requests, product dialect', () => {
  it('delivers no second response of a server that echoes no id', async () => {
    let count = 0;
    const server = await serve(
      withIdentity(({ socket, connection }) => {
        count += 1;
        const first = server.arrivals.filter((one) => one.connection === connection).length === 2;
        const whole = RawHttp.answer(200, {}, `answer ${count}`);
        // The second response to a connection's first request is sent once the next request has been read.
        socket.write(first ? whole : RawHttp.answer(200, {}, 'of another caller') + whole);
      }),
    );
    const lab = await start({ servers: [server], isPlatform: false, document: ownGroup() });
    const seen: string[] = [];
    for (let index = 0; index < 4; index += 1) seen.push((await ask(lab, request('/once/a'))).body);
    assert.deepEqual(seen, ['answer 1', 'answer 2', 'answer 3', 'answer 4']);
  });
  it('reuses connections if the group declares an echoed header, and rejects responses with another id', async () => {
    let count = 0;
    const server = await serve(
      withIdentity(({ socket, headers }) => {
        count += 1;
        const id = headers['bramblebend-request-id'] ?? '';
        if (count === 4) socket.write(RawHttp.answer(200, { 'x-answer-to': 'another' }, 'of another caller'));
        else socket.write(RawHttp.answer(200, { 'x-answer-to': id }, `answer ${count}`));
      }),
    );
    const lab = await start({
      servers: [server],
      isPlatform: false,
      document: ownGroup({ echo: 'x-answer-to' }),
    });
    const seen: RawHttp.Answer[] = [];
    for (let index = 0; index < 4; index += 1) seen.push(await ask(lab, request('/once/a')));
    assert.deepEqual(
      seen.map((one) => one.status),
      [200, 200, 200, 502],
    );
    assert.doesNotMatch(seen[3]!.body, /another caller/);
    const connections = server.arrivals.filter((one) => !isIdentity(one)).map((one) => one.connection);
    assert.deepEqual(connections, [1, 1, 1, 1]);
  });
});

describe('a retry', () => {
  it('never uses a connection that has already carried the same id', async () => {
    const refusal = (id: string) => RawHttp.answer(503, { 'attempt-id': id, 'not-executed': 'true' }, 'full');
    let runs = 0;
    const server = await serve((arrival) => {
      const id = arrival.headers['attempt-id'] ?? '';
      const earlier = server.arrivals.filter((one) => one.connection === arrival.connection).length;
      if (earlier > 1 || runs > 0) {
        // The refusal of the first attempt arrives a second time, although this attempt runs.
        runs += 1;
        arrival.socket.write(earlier > 1 ? refusal(id) : RawHttp.answer(200, { 'attempt-id': id }, 'ran'));
      } else if (server.arrivals.length === 1) arrival.socket.write(refusal(id));
      else {
        runs += 1;
        reply(arrival, 'ran');
      }
    });
    const lab = await start({ servers: [server] });
    const answer = await ask(lab, request('/once/a'));
    assert.equal(runs, 1);
    assert.deepEqual([answer.status, answer.body], [200, 'ran']);
  });
  it('is not made, and the status not forwarded, if a server does not state that the request did not run', async () => {
    for (const status of [408, 421, 429, 503]) {
      const server = await serve((arrival) => void reply(arrival, 'busy', {}, status));
      const lab = await start({ servers: [server] });
      const answer = await ask(lab, request('/once/a'));
      // The group declares that 421 always means not run.
      assert.deepEqual([status, answer.status], [status, status === 421 ? 503 : 502]);
      await RequestKit.end();
    }
  });
});

describe('unusual bytes from a server', () => {
  it('are assigned to no request if they follow a complete response', async () => {
    const surplus = RawHttp.answer(200, {}, 'surplus');
    for (const extra of [surplus, 'junk\r\n', '\r\n\r\njunk']) {
      const server = await serve((arrival) => {
        const id = arrival.headers['attempt-id'] ?? '';
        const head = { 'attempt-id': id, 'transfer-encoding': 'chunked' };
        arrival.socket.write(RawHttp.answer(200, head) + RawHttp.chunk(id) + RawHttp.lastChunk + extra);
      });
      const lab = await start({ servers: [server] });
      for (let index = 0; index < 4; index += 1) {
        const answer = await ask(lab, request('/once/a', { 'attempt-id': `u${index}` }));
        assert.ok(answer.status === 502 || answer.body === `u${index}`, JSON.stringify(answer));
        assert.equal(answer.rest, '');
      }
      await RequestKit.end();
    }
  });
  it('are reported as truncated if a response without a length is reset', async () => {
    const server = await serve((arrival) => {
      const id = arrival.headers['attempt-id'] ?? '';
      arrival.socket.write(`${RawHttp.answer(200, { 'attempt-id': id })}the first part`);
    });
    const lab = await start({ servers: [server] });
    const socket = await Lab.connect(lab.address);
    const answer = RawHttp.readAnswer(socket);
    socket.once('data', () => {
      for (const one of server.sockets) one.resetAndDestroy();
    });
    socket.write(request('/once/a'));
    assert.equal((await answer).end, 'cut');
  });
  it('are complete if a response without a length ends with its connection', async () => {
    const server = await serve((arrival) => {
      const id = arrival.headers['attempt-id'] ?? '';
      arrival.socket.end(`${RawHttp.answer(200, { 'attempt-id': id })}all of it`);
    });
    const lab = await start({ servers: [server] });
    const answer = await ask(lab, request('/once/a'));
    assert.deepEqual([answer.body, answer.end], ['all of it', 'whole']);
  });
  it('do not crash the proxy if a response without a length is empty, abandoned or reset', async () => {
    const ends: Record<string, (arrival: RequestKit.Arrival) => void> = {
      empty: ({ socket, headers }) =>
        void socket.end(RawHttp.answer(200, { 'attempt-id': headers['attempt-id'] ?? '' })),
      foreign: ({ socket }) => void socket.write(RawHttp.answer(200, {})),
      reset: ({ socket, headers }) =>
        void socket.write(`${RawHttp.answer(200, { 'attempt-id': headers['attempt-id'] ?? '' })}a part`, () =>
          Reset.now(socket),
        ),
    };
    for (const [how, script] of Object.entries(ends)) {
      const server = await serve(script);
      const lab = await start({ servers: [server] });
      const answer = await ask(lab, request('/once/a'));
      if (how === 'empty') assert.deepEqual([how, answer.status, answer.end], [how, 200, 'whole']);
      if (how === 'foreign') assert.deepEqual([how, answer.status], [how, 502]);
      if (how === 'reset') assert.ok(answer.status === 502 || answer.end === 'cut', JSON.stringify(answer));
      await RequestKit.end();
    }
  });
  it('are visibly truncated for an HTTP/1.0 client, which gets no length', async () => {
    const server = await serve((arrival) => {
      const id = arrival.headers['attempt-id'] ?? '';
      arrival.socket.write(
        RawHttp.answer(200, { 'attempt-id': id, 'transfer-encoding': 'chunked' }) + RawHttp.chunk('a part'),
      );
    });
    const lab = await start({ servers: [server] });
    const socket = await Lab.connect(lab.address);
    const answer = RawHttp.readAnswer(socket);
    socket.once('data', () => {
      for (const one of server.sockets) one.destroy();
    });
    socket.write(request('/once/a').replace('HTTP/1.1', 'HTTP/1.0'));
    assert.equal((await answer).end, 'cut');
  });
  it('are discarded if a connection closes inside the response headers', async () => {
    const server = await serve(({ socket }) => socket.end('HTTP/1.1 200 OK\r\nattempt-'));
    const lab = await start({ servers: [server] });
    assert.equal((await ask(lab, request('/once/a'))).status, 502);
    assert.equal(server.arrivals.length, 1);
  });
  it('are skipped if they are an interim response, and trailers are not forwarded', async () => {
    const server = await serve((arrival) => {
      const id = arrival.headers['attempt-id'] ?? '';
      const head = { 'attempt-id': id, 'transfer-encoding': 'chunked', trailer: 'x-sum' };
      arrival.socket.write(
        `HTTP/1.1 103 Early Hints\r\nattempt-id: ${id}\r\nlink: </a>\r\n\r\n${RawHttp.answer(200, head)}` +
          `${RawHttp.chunk('mine')}0\r\nx-sum: 1\r\n\r\n`,
      );
    });
    const lab = await start({ servers: [server] });
    for (let index = 0; index < 2; index += 1) {
      const answer = await ask(lab, request('/once/a'));
      assert.deepEqual([answer.status, answer.body, answer.headers['x-sum']], [200, 'mine', undefined]);
    }
  });
  it('never mix with another request while a body is unsent after an early response', {
    timeout: 20_000,
  }, async () => {
    const long = 'b'.repeat(4 * 1024 * 1024);
    const held = new Set<number>();
    const server = await serve(
      (arrival) => {
        if (!held.has(arrival.connection)) reply(arrival, 'whole');
        held.delete(arrival.connection);
      },
      (arrival) => {
        if (Number(arrival.headers['content-length']) < long.length) return;
        held.add(arrival.connection);
        reply(arrival, 'early');
        arrival.socket.pause();
      },
    );
    const lab = await start({ servers: [server] });
    const early = await ask(lab, request('/once/a', {}, long));
    assert.deepEqual([early.status, early.body], [200, 'early']);
    const next = await ask(lab, request('/once/b', {}, 'short'));
    assert.deepEqual(
      [next.status, next.body],
      [200, 'whole'],
      'does not wait for a server that does not read',
    );
    for (const one of server.sockets) one.resume();
    const after = await ask(lab, request('/once/c', {}, 'short'));
    assert.equal(after.status, 200);
    for (const one of server.arrivals)
      assert.ok(one.body === long || one.body === 'short', one.body.slice(0, 80));
  });
  it('reach no client if they arrive after the attempt was abandoned', async () => {
    const late: (() => void)[] = [];
    const server = await serve((arrival) => {
      if (arrival.target === '/once/slow') late.push(() => void reply(arrival, 'too late'));
      else reply(arrival, 'mine');
    });
    const lab = await start({ servers: [server] });
    const answer = await ask(lab, request('/once/slow', { 'remaining-time': '150' }));
    assert.equal(answer.status, 504);
    for (const one of late) one();
    assert.equal((await ask(lab, request('/once/a'))).body, 'mine');
  });
});
