// One connection to a server that writes raw bytes: what is read as a whole answer, and when the connection may carry
// another request.
import assert from 'node:assert/strict';
import type { Socket } from 'node:net';
import { afterEach, describe, it } from 'node:test';
import type { Compiled } from '../src/manifest/compiled.js';
import { Reset } from '../src/proxy/reset.js';
import { Connection } from '../src/upstream/connection.js';
import type { Exchange } from '../src/upstream/exchange.js';
import { Lab } from '../tools/fuzz/lab.js';
import { RawHttp } from '../tools/fuzz/raw-http.js';

const group = { name: 'g', proof: { header: 'target-instance' } } as unknown as Compiled.Group;
const never = new AbortController().signal;
const ends: (() => Promise<unknown>)[] = [];

afterEach(async () => {
  for (const end of ends.splice(0).reverse()) await end();
});

/** A connection to a server that hands each whole request to the script. */
const meet = async (script: (socket: Socket, request: RawHttp.Request) => void) => {
  const server = await Lab.listen((socket) =>
    RawHttp.readRequests(socket, (request) => script(socket, request)),
  );
  ends.push(server.stop);
  const [host, port] = server.address.split(':');
  const told = { instance: 'i', group: 'g', address: { host, port: Number(port) } };
  const connection = await Connection.open(told as unknown as Compiled.Server, group, never);
  ends.push(connection.destroy);
  const isClosed = new Promise<void>((resolve) => connection.onClose(resolve));
  return { connection, isClosed, sockets: server.sockets };
};

const asked = (more: Partial<Exchange.Request> = {}): Exchange.Request => ({
  method: 'POST',
  path: '/a?b=c',
  headers: { host: 'h.example', 'attempt-id': 't1' },
  body: Buffer.from('asked'),
  ...more,
});

const send = async (connection: Connection, request = asked(), signal = never) => {
  const came = await connection.run(request, { isCorrelated: true, maySend: () => true, signal });
  if (came.kind === 'failure') return came;
  const body = await came.body.collect(1e6).then(String, (error: Error) => error);
  connection.release();
  return { kind: 'answer' as const, status: came.status, body };
};

const chunked = (pieces: readonly string[]): string =>
  RawHttp.answer(200, { 'transfer-encoding': 'chunked' }) + pieces.map(RawHttp.chunk).join('');

describe('a connection to a server', () => {
  it('carries one request after another, as they were given', async () => {
    const seen: RawHttp.Request[] = [];
    const { connection } = await meet((socket, request) => {
      seen.push(request);
      socket.write(RawHttp.answer(200, {}, `answer ${seen.length}`));
    });
    for (const count of [1, 2, 3])
      assert.deepEqual(await send(connection), { kind: 'answer', status: 200, body: `answer ${count}` });
    assert.deepEqual(
      seen.map(({ method, target, body, headers }) => [method, target, body, headers['attempt-id']]),
      [1, 2, 3].map(() => ['POST', '/a?b=c', 'asked', 't1']),
    );
    assert.equal(connection.state(), 'idle');
  });
  it('names its server where the request names no host', async () => {
    let told: string | undefined;
    const { connection } = await meet((socket, { headers }) => {
      told = headers.host;
      socket.write(RawHttp.answer(200, {}, ''));
    });
    await send(connection, asked({ headers: {} }));
    assert.match(String(told), /^127\.0\.0\.1:\d+$/);
  });
  it('sends nothing when the look at the moment of sending says no', async () => {
    const { connection } = await meet(() => assert.fail('a request came'));
    const came = await connection.run(asked(), { isCorrelated: true, maySend: () => false, signal: never });
    assert.deepEqual([came.kind, 'isSent' in came && came.isSent], ['failure', false]);
  });
  it('says that a request without an answer was sent', async () => {
    const { connection } = await meet((socket) => socket.destroy());
    const came = await send(connection);
    assert.deepEqual([came.kind, 'isSent' in came && came.isSent], ['failure', true]);
  });
  it('ends when bytes come at rest', async () => {
    const { connection, isClosed, sockets } = await meet((socket) =>
      socket.write(RawHttp.answer(200, {}, 'mine')),
    );
    await send(connection);
    for (const socket of sockets) socket.write('HTTP/1.1 200 OK\r\n\r\n');
    await isClosed;
    assert.equal(connection.state(), 'closed');
  });
  it('is not kept when more comes with an answer than the answer', async () => {
    const { connection, isClosed } = await meet((socket) =>
      socket.write(RawHttp.answer(200, {}, 'mine') + RawHttp.answer(200, {}, 'of another')),
    );
    assert.deepEqual(await send(connection), { kind: 'answer', status: 200, body: 'mine' });
    await isClosed;
  });
  it('is not kept after an answer that came before its request was written', async () => {
    const { connection, isClosed, sockets } = await meet(() => {});
    const running = connection.run(asked({ body: Buffer.alloc(64 * 1024 * 1024) }), {
      isCorrelated: true,
      maySend: () => true,
      signal: never,
    });
    for (const socket of sockets) {
      socket.pause();
      socket.write(RawHttp.answer(413, {}, 'long'));
    }
    const came = await running;
    assert.ok(came.kind === 'head');
    assert.equal(String(await came.body.collect(100)), 'long');
    connection.release();
    await isClosed;
  });
  it('rests as long as its server says, less a margin, and then ends', async () => {
    const { connection, isClosed } = await meet((socket) =>
      socket.write(RawHttp.answer(200, { 'keep-alive': 'timeout=3' }, 'mine')),
    );
    await send(connection);
    assert.equal(connection.state(), 'idle');
    const began = performance.now();
    await isClosed;
    assert.ok(performance.now() - began > 900);
  });
  it('does not rest at all where the margin is all that its server grants', async () => {
    const { connection, isClosed } = await meet((socket) =>
      socket.write(RawHttp.answer(200, { 'keep-alive': 'timeout=2' }, 'mine')),
    );
    await send(connection);
    await isClosed;
  });
  it('takes an answer for whole that is whole, though its connection is reset behind it', async () => {
    const { connection } = await meet((socket) => {
      socket.write(RawHttp.answer(200, {}, 'mine'), () => Reset.now(socket));
    });
    assert.deepEqual(await send(connection), { kind: 'answer', status: 200, body: 'mine' });
  });
  for (const [name, end] of [
    ['ends in order', (socket: Socket) => void socket.end()],
    ['is reset', (socket: Socket) => Reset.now(socket)],
  ] as const)
    it(`takes a chunked answer for cut whose connection ${name} before its last chunk`, async () => {
      const { connection } = await meet((socket) => {
        socket.write(chunked(['half']), () => end(socket));
      });
      const came = await send(connection);
      assert.ok('body' in came && came.body instanceof Error);
    });
  it('takes an answer without a length for whole only where its connection ended in order', async () => {
    for (const [end, isWhole] of [
      [(socket: Socket) => void socket.end(), true],
      [(socket: Socket) => Reset.now(socket), false],
    ] as const) {
      const { connection } = await meet((socket) => {
        socket.write('HTTP/1.1 200 OK\r\n\r\nall', () => end(socket));
      });
      const came = await send(connection);
      if (isWhole) assert.deepEqual(came, { kind: 'answer', status: 200, body: 'all' });
      else assert.ok(came.kind === 'failure' || came.body instanceof Error);
    }
  });
  it('gives an answer up when its signal says so, and is not kept', async () => {
    const { connection, isClosed } = await meet((socket) => socket.write(chunked(['half'])));
    const cut = new AbortController();
    const running = send(connection, asked(), cut.signal);
    setTimeout(() => cut.abort(new Error('given up')), 50);
    const came = await running;
    assert.ok('body' in came && came.body instanceof Error);
    assert.match(String(came.body), /given up/);
    await connection.destroy();
    await isClosed;
  });
});
