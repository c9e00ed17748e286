/**
 * A connection to a server that writes raw bytes: which responses count as complete, and when the connection may be
 * reused.
 */
import assert from 'node:assert/strict';
import type { Socket } from 'node:net';
import { afterEach, describe, it } from 'node:test';
import type { Compiled } from '../src/manifest/compiled.js';
import { Reset } from '../src/overload/reset.js';
import { Connection } from '../src/upstream/connection.js';
import type { Exchange } from '../src/upstream/exchange.js';
import { Lab } from '../tools/fuzz/lab.js';
import { RawHttp } from '../tools/fuzz/raw-http.js';

const group = { name: 'g', proof: { header: 'target-instance' } } as unknown as Compiled.Group;
const neverAborted = new AbortController().signal;
const cleanups: (() => Promise<unknown>)[] = [];

afterEach(async () => {
  for (const cleanup of cleanups.splice(0).reverse()) await cleanup();
});

/** Opens a connection to a server that passes each complete request to the script. */
const openTo = async (script: (socket: Socket, request: RawHttp.Request) => void) => {
  const server = await Lab.listen((socket) =>
    RawHttp.readRequests(socket, (request) => script(socket, request)),
  );
  cleanups.push(server.stop);
  const [host, port] = server.address.split(':');
  const listed = { instance: 'i', group: 'g', address: { host, port: Number(port) } };
  const connection = await Connection.open(listed as unknown as Compiled.Server, group, neverAborted);
  cleanups.push(connection.destroy);
  const isClosed = new Promise<void>((resolve) => connection.onClose(resolve));
  return { connection, isClosed, sockets: server.sockets };
};

const requestOf = (overrides: Partial<Exchange.Request> = {}): Exchange.Request => ({
  method: 'POST',
  path: '/a?b=c',
  headers: { host: 'h.example', 'attempt-id': 't1' },
  body: Buffer.from('request body'),
  ...overrides,
});

const send = async (connection: Connection, request = requestOf(), signal = neverAborted) => {
  const result = await connection.run(request, { isCorrelated: true, maySend: () => true, signal });
  if (result.kind === 'failure') return result;
  const body = await result.body.collect(1e6).then(String, (error: Error) => error);
  connection.release();
  return { kind: 'answer' as const, status: result.status, body };
};

const chunked = (parts: readonly string[]): string =>
  RawHttp.answer(200, { 'transfer-encoding': 'chunked' }) + parts.map(RawHttp.chunk).join('');

describe('a connection to a server', () => {
  it('sends consecutive requests unchanged', async () => {
    const seen: RawHttp.Request[] = [];
    const { connection } = await openTo((socket, request) => {
      seen.push(request);
      socket.write(RawHttp.answer(200, {}, `answer ${seen.length}`));
    });
    for (const count of [1, 2, 3])
      assert.deepEqual(await send(connection), { kind: 'answer', status: 200, body: `answer ${count}` });
    assert.deepEqual(
      seen.map(({ method, target, body, headers }) => [method, target, body, headers['attempt-id']]),
      [1, 2, 3].map(() => ['POST', '/a?b=c', 'request body', 't1']),
    );
    assert.equal(connection.state(), 'idle');
  });
  it('sends the address of the server as Host if the request has none', async () => {
    let host: string | undefined;
    const { connection } = await openTo((socket, { headers }) => {
      host = headers.host;
      socket.write(RawHttp.answer(200, {}, ''));
    });
    await send(connection, requestOf({ headers: {} }));
    assert.match(String(host), /^127\.0\.0\.1:\d+$/);
  });
  it('sends nothing if maySend returns false', async () => {
    const { connection } = await openTo(() => assert.fail('unexpected request'));
    const result = await connection.run(requestOf(), {
      isCorrelated: true,
      maySend: () => false,
      signal: neverAborted,
    });
    assert.deepEqual([result.kind, 'isSent' in result && result.isSent], ['failure', false]);
  });
  it('reports a request without a response as sent', async () => {
    const { connection } = await openTo((socket) => socket.destroy());
    const result = await send(connection);
    assert.deepEqual([result.kind, 'isSent' in result && result.isSent], ['failure', true]);
  });
  it('closes when bytes arrive while it is idle', async () => {
    const { connection, isClosed, sockets } = await openTo((socket) =>
      socket.write(RawHttp.answer(200, {}, 'mine')),
    );
    await send(connection);
    for (const socket of sockets) socket.write('HTTP/1.1 200 OK\r\n\r\n');
    await isClosed;
    assert.equal(connection.state(), 'closed');
  });
  it('is not reused if surplus bytes follow a response', async () => {
    const { connection, isClosed } = await openTo((socket) =>
      socket.write(RawHttp.answer(200, {}, 'mine') + RawHttp.answer(200, {}, 'of another')),
    );
    assert.deepEqual(await send(connection), { kind: 'answer', status: 200, body: 'mine' });
    await isClosed;
  });
  it('is not reused after a response that arrived before the request was fully written', async () => {
    const { connection, isClosed, sockets } = await openTo(() => {});
    const running = connection.run(requestOf({ body: Buffer.alloc(64 * 1024 * 1024) }), {
      isCorrelated: true,
      maySend: () => true,
      signal: neverAborted,
    });
    for (const socket of sockets) {
      socket.pause();
      socket.write(RawHttp.answer(413, {}, 'long'));
    }
    const result = await running;
    assert.ok(result.kind === 'head');
    assert.equal(String(await result.body.collect(100)), 'long');
    connection.release();
    await isClosed;
  });
  it('stays idle for the time announced by the server, less a margin, and then closes', async () => {
    const { connection, isClosed } = await openTo((socket) =>
      socket.write(RawHttp.answer(200, { 'keep-alive': 'timeout=3' }, 'mine')),
    );
    await send(connection);
    assert.equal(connection.state(), 'idle');
    const began = performance.now();
    await isClosed;
    assert.ok(performance.now() - began > 900);
  });
  it('is not reused if the announced idle time does not exceed the margin', async () => {
    const { connection, isClosed } = await openTo((socket) =>
      socket.write(RawHttp.answer(200, { 'keep-alive': 'timeout=2' }, 'mine')),
    );
    await send(connection);
    await isClosed;
  });
  it('accepts a complete response although the connection is reset right after it', async () => {
    const { connection } = await openTo((socket) => {
      socket.write(RawHttp.answer(200, {}, 'mine'), () => Reset.now(socket));
    });
    assert.deepEqual(await send(connection), { kind: 'answer', status: 200, body: 'mine' });
  });
  for (const [name, end] of [
    ['is closed', (socket: Socket) => void socket.end()],
    ['is reset', (socket: Socket) => Reset.now(socket)],
  ] as const)
    it(`reports a chunked response as truncated if the connection ${name} before the last chunk`, async () => {
      const { connection } = await openTo((socket) => {
        socket.write(chunked(['half']), () => end(socket));
      });
      const result = await send(connection);
      assert.ok('body' in result && result.body instanceof Error);
    });
  it('accepts a response without a length only if the connection was closed without a reset', async () => {
    for (const [end, isComplete] of [
      [(socket: Socket) => void socket.end(), true],
      [(socket: Socket) => Reset.now(socket), false],
    ] as const) {
      const { connection } = await openTo((socket) => {
        socket.write('HTTP/1.1 200 OK\r\n\r\nall', () => end(socket));
      });
      const result = await send(connection);
      if (isComplete) assert.deepEqual(result, { kind: 'answer', status: 200, body: 'all' });
      else assert.ok(result.kind === 'failure' || result.body instanceof Error);
    }
  });
  it('aborts a response on its signal and is not reused', async () => {
    const { connection, isClosed } = await openTo((socket) => socket.write(chunked(['half'])));
    const controller = new AbortController();
    const running = send(connection, requestOf(), controller.signal);
    setTimeout(() => controller.abort(new Error('given up')), 50);
    const result = await running;
    assert.ok('body' in result && result.body instanceof Error);
    assert.match(String(result.body), /given up/);
    await connection.destroy();
    await isClosed;
  });
});
