/** The HTTP client: complete requests and responses, reuse of connections, and the kinds of failure. */
import assert from 'node:assert/strict';
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import type { RequestListener } from 'node:http';
import { connect } from 'node:net';
import { createInterface } from 'node:readline';
import { afterEach, describe, it } from 'node:test';
import { Failure } from '../src/common/failure.js';
import { HttpClient } from '../src/wire/http-client.js';
import { AnsweringServer } from './answering-server.js';

const cleanups: (() => void)[] = [];
afterEach(() => {
  for (const end of cleanups.splice(0)) end();
  AnsweringServer.end();
});

const serve = AnsweringServer.start;

const clientOf = (terms: Partial<HttpClient.Options> = {}): HttpClient => {
  const client = HttpClient.of({ timeout: 5000, maxConnections: 2, ...terms });
  cleanups.push(client.close);
  return client;
};

/** A stopped process that listens but accepts nothing; `fill` exhausts its backlog so that further connections hang. */
const frozenListener = async () => {
  const listen = `require('node:net').createServer().listen({ port: 0, host: '127.0.0.1', backlog: 1 }, function () {
    process.stdout.write(String(this.address().port) + '\\n');
  });`;
  const child = spawn(process.execPath, ['--eval', listen], { stdio: ['ignore', 'pipe', 'inherit'] });
  cleanups.push(() => child.kill('SIGKILL'));
  const [line] = (await once(createInterface({ input: child.stdout }), 'line')) as [string];
  child.kill('SIGSTOP');
  const port = Number(line);
  const fill = async () => {
    const sockets = Array.from({ length: 6 }, () => connect(port, '127.0.0.1').on('error', () => {}));
    cleanups.push(() => {
      for (const socket of sockets) socket.destroy();
    });
    await new Promise((resolve) => setTimeout(resolve, 200));
  };
  return { port, fill };
};

const echo: RequestListener = async (request, response) => {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  response.writeHead(201, { etag: `"${request.headers['if-match']}"` });
  response.end(`${request.method} ${request.url} ${Buffer.concat(chunks)}`);
};

describe('the HTTP client', () => {
  it('sends method, path, headers and body, and returns status, headers and body', async () => {
    const { address } = await serve(echo);
    const result = await clientOf().call(address, {
      path: '/a?b=c',
      method: 'PUT',
      headers: { 'if-match': '7' },
      body: Buffer.from('ä body'),
    });
    assert.deepEqual([result.status, result.headers.etag], [201, '"7"']);
    assert.equal(result.body.toString(), 'PUT /a?b=c ä body');
  });
  it('reuses idle connections, up to its limit', async () => {
    const { address, connections } = await serve(echo);
    const client = clientOf({ maxConnections: 2 });
    for (let round = 0; round < 3; round += 1)
      await Promise.all(['/1', '/2', '/3', '/4'].map((path) => client.call(address, { path })));
    assert.equal(connections(), 2);
  });
  it('does not reuse a connection that was idle for longer than its timeout', async () => {
    const { address, connections } = await serve(echo);
    const client = clientOf({ idleTimeout: 100 });
    await client.call(address, { path: '/' });
    await new Promise((resolve) => setTimeout(resolve, 400));
    await client.call(address, { path: '/' });
    assert.equal(connections(), 2);
  });
  it('rejects at once when its signal aborts', async () => {
    const { address } = await serve(() => {});
    const controller = new AbortController();
    const reason = Failure.of('link', 'out of reach');
    const call = clientOf().call(address, { path: '/', signal: controller.signal });
    setImmediate(() => controller.abort(reason));
    await assert.rejects(call, (error) => error === reason);
    await assert.rejects(
      clientOf().call(address, { path: '/', signal: controller.signal }),
      (error) => error === reason,
    );
  });
  it('distinguishes a refused connection from a request that may have arrived', async () => {
    const client = clientOf({ connectTimeout: 200, timeout: 1000 });
    await assert.rejects(client.call('127.0.0.1:1', { path: '/' }), { code: 'ECONNREFUSED' });
    const { address } = await serve((request) => request.socket.destroy());
    await assert.rejects(
      client.call(address, { path: '/', method: 'PUT' }),
      (error) => (error as NodeJS.ErrnoException).code === 'ECONNRESET' && !Failure.is(error, 'connect'),
    );
  });
  it('distinguishes a connection timeout from a request that may have arrived', async () => {
    const { port, fill } = await frozenListener();
    await fill();
    const call = clientOf({ connectTimeout: 200 }).call(`127.0.0.1:${port}`, { path: '/', method: 'PUT' });
    await assert.rejects(call, (error) => Failure.is(error, 'connect'));
  });
  it('rejects when the response is not complete in time', async () => {
    const { address } = await serve((_request, response) => void response.writeHead(200).write('half'));
    await assert.rejects(clientOf({ timeout: 200 }).call(address, { path: '/' }));
  });
});
