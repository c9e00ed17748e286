// Limits from the manifest on the client port, and the connection limit of one server over all proxies.
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { connect, type Socket } from 'node:net';
import { after, before, beforeEach, describe, it } from 'node:test';
import { Client } from 'undici';
import type { Document } from '../src/manifest/document.js';
import { InForce } from '../tools/in-force.js';
import { Bench } from './bench.js';

const regions = ['a'];
const rule = (name: string, more: object = {}) => ({
  name,
  match: { path: `/${name}/*` },
  groups: ['lookup'],
  runs: 'repeatable',
  home: { regions },
  affinity: false,
  ...more,
});
const of = (limits: object, connections: number): Document =>
  Bench.openManifest({
    regions,
    group: { connections, echo: 'bramblebend-request-id' },
    rules: [rule('plain'), rule('long', { body: 50_000 })],
    limits,
  });
const limits = { header_bytes: 2048, body_bytes: 1000, header_time: 700, idle: 1200 };

describe('limits', () => {
  let bench: Bench;
  let server: Bench.BackEnd;
  const serve: Bench.Handle = (_incoming, response) => void response.end('served');

  const put = async (manifest: Document) => {
    await InForce.putWhenReady(bench.kit, manifest);
    await InForce.everywhere(bench.kit);
  };
  const listen = (front = 0) => bench.kit.fronts[front]!.listen;
  const call = (path: string, body?: string, headers: Record<string, string> = {}, front = 0) =>
    Bench.call(listen(front), path, body, { authorization: '', 'content-type': 'text/plain', ...headers });
  const raw = async (text: string): Promise<Socket> => {
    const [host, port] = listen().split(':');
    const socket = connect(Number(port), host!);
    await once(socket, 'connect');
    socket.write(text);
    return socket;
  };
  const readToEnd = async (socket: Socket): Promise<string> => {
    let text = '';
    for await (const chunk of socket) text += String(chunk);
    return text;
  };
  const connections = () =>
    new Promise<number>((resolve) => server.server.getConnections((_error, count) => resolve(count)));

  before(async () => {
    bench = await Bench.start({ manifest: of(limits, 8), fronts: 2 });
    server = await bench.backEnd({ instance: 'r1', group: 'lookup', region: 'a', handle: serve });
    await bench.list([server]);
  });
  after(() => bench.stop());
  beforeEach(() => {
    server.handle = serve;
  });

  it('refuse headers that are too large with 431, by the newest manifest', async () => {
    const headers = { 'x-filler': 'a'.repeat(3000) };
    const requestOnNewConnection = async () => {
      const client = new Client(`http://${listen()}`);
      const answer = await client.request({ path: '/plain/x', method: 'GET', headers });
      await answer.body.dump();
      await client.destroy();
      return answer.statusCode;
    };
    await put(of({ ...limits, idle: 10_000 }, 8));
    const kept = new Client(`http://${listen()}`);
    const asked = { path: '/plain/x', method: 'GET', headers: { 'x-short': 'a' } } as const;
    const first = await kept.request(asked);
    assert.deepEqual([await first.body.text(), first.headers.connection], ['served', 'keep-alive']);
    assert.equal(await requestOnNewConnection(), 431);
    await put(of({ ...limits, idle: 10_000, header_bytes: 8192 }, 8));
    assert.equal(await requestOnNewConnection(), 200);
    const second = await kept.request({ ...asked, headers });
    assert.deepEqual([await second.body.text(), second.headers.connection], ['served', 'keep-alive']);
    await kept.destroy();
    await put(of(limits, 8));
    assert.equal(await requestOnNewConnection(), 431);
  });

  const calm = { ...limits, idle: 10_000 };
  const request = 'GET /plain/x HTTP/1.1\r\nhost: a.example\r\n\r\n';
  /** Sends a request and returns once its response has come. */
  const ask = async (socket: Socket, text = request): Promise<string> => {
    socket.write(text);
    const [chunk] = (await once(socket, 'data')) as [Buffer];
    return chunk.toString('latin1');
  };
  const closed = async (socket: Socket, withinMs: number): Promise<boolean> => {
    if (socket.readableEnded) return true;
    const end = once(socket.resume(), 'end').then(() => true);
    return Promise.race([end, new Promise<false>((resolve) => setTimeout(resolve, withinMs, false))]);
  };

  for (const [name, before, after] of [
    ['header_bytes is raised', calm, { ...calm, header_bytes: 8192 }],
    ['header_bytes is lowered', { ...calm, header_bytes: 8192 }, calm],
    ['idle is raised', calm, { ...calm, idle: 20_000 }],
    ['idle is lowered', { ...calm, idle: 20_000 }, calm],
  ] as const)
    it(`close connections at rest, used or not, when ${name}`, async () => {
      await put(of(before, 8));
      const [used, unused] = [await raw(''), await raw('')];
      assert.match(await ask(used), /^HTTP\/1\.1 200 /);
      await put(of(after, 8));
      assert.deepEqual(await Promise.all([closed(used, 1000), closed(unused, 1000)]), [true, true]);
    });

  it('close a connection after the response that it carries while header_bytes is raised', async () => {
    await put(of(calm, 8));
    let finish = () => {};
    server.handle = (_incoming, response) => {
      response.write('first ');
      finish = () => void response.end('last');
    };
    const socket = await raw(request);
    await once(socket, 'data');
    await put(of({ ...calm, header_bytes: 8192 }, 8));
    finish();
    assert.match(await readToEnd(socket), /last/);
  });

  for (const [name, before, after, first, second] of [
    ['body_bytes is raised', calm, { ...calm, body_bytes: 2000 }, 413, 200],
    ['body_bytes is lowered', { ...calm, body_bytes: 2000 }, calm, 200, 413],
  ] as const)
    it(`follow on a kept connection when ${name}`, async () => {
      await put(of(before, 8));
      const kept = new Client(`http://${listen()}`);
      const send = async () => {
        const answer = await kept.request({ path: '/plain/x', method: 'POST', body: 'a'.repeat(1500) });
        await answer.body.dump();
        return answer.statusCode;
      };
      assert.equal(await send(), first);
      await put(of(after, 8));
      assert.equal(await send(), second);
      await kept.destroy();
    });

  for (const [name, before, after, leastMs, mostMs] of [
    ['header_time is raised', calm, { ...calm, header_time: 4000 }, 3900, 9000],
    ['header_time is lowered', { ...calm, header_time: 9000 }, calm, 0, 4000],
  ] as const)
    it(`follow on a kept connection when ${name}`, async () => {
      await put(of(before, 8));
      const socket = await raw('');
      assert.match(await ask(socket), /^HTTP\/1\.1 200 /);
      await put(of(after, 8));
      const began = performance.now();
      socket.write('GET /plain/x HTTP/1.1\r\nhost: a.example\r\n');
      assert.match(await readToEnd(socket), /HTTP\/1\.1 408 /);
      const tookMs = performance.now() - began;
      assert.ok(tookMs >= leastMs && tookMs < mostMs, `${Math.round(tookMs)} ms`);
      await put(of(limits, 8));
    });

  it('refuse a body that is too large with 413, even if a rule allows more', async () => {
    assert.equal((await call('/plain/x', 'a'.repeat(1000))).status, 200);
    assert.equal((await call('/plain/x', 'a'.repeat(1001))).status, 413);
    assert.equal((await call('/long/x', 'a'.repeat(1001))).status, 413);
  });

  it('end a request whose headers arrive too slowly with 408', async () => {
    const began = performance.now();
    const socket = await raw('GET /plain/x HTTP/1.1\r\nhost: a.example\r\n');
    assert.match(await readToEnd(socket), /^HTTP\/1\.1 408 /);
    const took = performance.now() - began;
    assert.ok(took >= 650 && took < 6000, `${Math.round(took)} ms`);
  });

  it('close an idle connection after the announced timeout', async () => {
    const began = performance.now();
    const socket = await raw('GET /plain/x HTTP/1.1\r\nhost: a.example\r\n\r\n');
    const text = await readToEnd(socket);
    assert.match(text, /^HTTP\/1\.1 200 /);
    assert.match(text, /\r\nkeep-alive: timeout=1\r\n/i);
    const took = performance.now() - began;
    assert.ok(took >= 1150 && took < 6000, `${Math.round(took)} ms`);
  });

  it('limit the open connections to one server over all proxies', async () => {
    const held: (() => void)[] = [];
    let most = 0;
    server.handle = (_incoming, response) => {
      held.push(() => void response.end('served'));
      void connections().then((count) => {
        most = Math.max(most, count);
      });
    };
    let refused = 0;
    const calls = [0, 1].flatMap((front) =>
      Array.from({ length: 10 }, async () => {
        const answer = await call('/plain/x', undefined, {}, front);
        if (answer.status !== 200) refused += 1;
        return answer;
      }),
    );
    while (held.length + refused < calls.length) await new Promise<void>((resolve) => setImmediate(resolve));
    const open = await connections();
    assert.ok(open <= 8 && held.length >= 4, `${open} connections, ${held.length} requests`);
    for (const end of held) end();
    const answers = await Promise.all(calls);
    const refusedAnswers = answers.filter((one) => one.status !== 200);
    assert.equal(refusedAnswers.length, refused);
    for (const one of refusedAnswers) {
      assert.deepEqual([one.status, one.headers['bramblebend-ran']], [503, 'no']);
      assert.ok(one.headers['retry-after']);
    }
    assert.ok(most <= 8, `${most} connections at once`);
  });

  it('close idle connections if the limit of the server is lowered', async () => {
    await put(of(limits, 100));
    const held: (() => void)[] = [];
    server.handle = (_incoming, response) => void held.push(() => void response.end('served'));
    const calls = Array.from({ length: 20 }, () => call('/plain/x'));
    while (held.length < 20) await new Promise<void>((resolve) => setImmediate(resolve));
    for (const end of held) end();
    await Promise.all(calls);
    assert.ok((await connections()) >= 20);
    server.handle = serve;
    await put(of(limits, 8));
    while ((await connections()) > 8) await call('/plain/x');
    assert.equal((await call('/plain/x')).status, 200);
  });
});
