/**
 * The lightweight replacements of the fetch classes behave like those of Node.js, and load them only for what they do not
 * cover themselves.
 */
import assert from 'node:assert/strict';
import { createServer, request } from 'node:http';
import type { AddressInfo } from 'node:net';
import { after, before, describe, it } from 'node:test';

const NativeHeaders = Headers;
const NativeResponse = Response;

const throws = (work: () => unknown): boolean => {
  try {
    work();
    return false;
  } catch (error) {
    return error instanceof TypeError;
  }
};

describe('lightweight fetch classes', () => {
  let isLoaded: () => boolean;
  before(async () => {
    ({ isLoaded } = (await import('../platform/lean/fetch-classes.js')).FetchClasses);
  });

  it('implement Headers like Node.js', () => {
    assert.notEqual(Headers, NativeHeaders);
    const steps: ((headers: Headers) => unknown)[] = [
      (headers) => headers.append('X-One', ' a '),
      (headers) => headers.append('x-one', 'b'),
      (headers) => headers.set('Set-Cookie', 'c=1'),
      (headers) => headers.append('set-cookie', 'd=2'),
      (headers) => headers.set('a-number', 5 as never),
      (headers) => headers.get('X-ONE'),
      (headers) => headers.get('none'),
      (headers) => headers.has('SET-cookie'),
      (headers) => headers.getSetCookie(),
      (headers) => headers.delete('A-Number'),
      (headers) => [...headers],
      (headers) => [...headers.keys(), ...headers.values(), ...headers.entries()],
      (headers) => {
        const seen: unknown[] = [];
        headers.forEach((value, name) => void seen.push(name, value));
        return seen;
      },
      (headers) => throws(() => headers.set('bad name', 'x')),
      (headers) => throws(() => headers.set('a', 'line\nline')),
      (headers) => throws(() => headers.set('a', '\u0100')),
      (headers) => throws(() => headers.set('a', '\u0000')),
      (headers) => throws(() => headers.append('', 'x')),
      (headers) => throws(() => headers.set('a', 'caf\u00e9')),
      (headers) => headers.get('a'),
      (headers) => String(headers),
    ];
    const inits = [undefined, {}, { B: '1', a: '2' }, [['z', '1'] as const, ['Z', '2'] as const]];
    for (const init of inits) {
      const [lightweight, native] = [new Headers(init as never), new NativeHeaders(init as never)];
      for (const step of steps) assert.deepEqual(step(lightweight), step(native), String(step));
      assert.deepEqual([...new Headers(lightweight)], [...new NativeHeaders(native)]);
      assert.deepEqual([...new Headers(native)], [...native]);
    }
  });

  it('create empty responses without the classes of Node.js, and others with them', async () => {
    assert.equal(isLoaded(), false);
    const empty = new Response(null, { status: 404, headers: { A: 'b' } });
    assert.deepEqual([empty.status, empty.ok, empty.body, empty.headers.get('a')], [404, false, null, 'b']);
    assert.ok(empty instanceof Response);
    assert.equal(isLoaded(), false);
    const whole = new Response('a text', { status: 201, headers: new Headers({ 'X-A': 'b' }) });
    assert.equal(isLoaded(), true);
    assert.ok(whole instanceof Response && whole instanceof NativeResponse);
    assert.deepEqual([whole.status, whole.headers.get('x-a'), await whole.text()], [201, 'b', 'a text']);
    assert.ok(!({} instanceof Response) && !((null as unknown) instanceof Response));
    const asked = new Request('http://a-host/a', {
      method: 'POST',
      body: 'x',
      headers: new Headers({ c: 'd' }),
    });
    assert.ok(asked instanceof Request);
    assert.deepEqual([asked.method, asked.headers.get('c'), await asked.text()], ['POST', 'd', 'x']);
  });

  describe('with the HTTP library', () => {
    const servers: ReturnType<typeof createServer>[] = [];
    after(() => {
      for (const server of servers) server.close();
    });
    it('serve text, JSON, bytes, streams and headers, and read request bodies', async () => {
      const { getRequestListener } = await import('@hono/node-server');
      const { RESPONSE_ALREADY_SENT } = await import('@hono/node-server/utils/response');
      const { Hono } = await import('hono');
      const { bodyLimit } = await import('hono/body-limit');
      const app = new Hono();
      app.get('/text', (context) => context.text('a text'));
      app.get('/json', (context) => context.json({ a: 1 }, 503, { 'retry-after': '2' }));
      app.get('/bytes', (context) => {
        context.header('X-A', 'b');
        return context.body(new Uint8Array([65, 66]), 200, { 'content-type': 'application/json' });
      });
      app.get('/stream', () => new Response(new Blob(['a stream']).stream(), { headers: { 'x-a': 'c' } }));
      app.get('/sent', (context) => {
        const { outgoing } = context.env as { outgoing: import('node:http').ServerResponse };
        outgoing.writeHead(202, { 'x-a': 'd' });
        outgoing.end('sent');
        return RESPONSE_ALREADY_SENT;
      });
      app.get('/fails', () => {
        throw new Error('it fails');
      });
      app.onError((error, context) => context.text(error.message, 500));
      app.use('/limited', bodyLimit({ maxSize: 10, onError: (context) => context.text('too long', 413) }));
      app.post('/limited', async (context) => context.text(`got ${await context.req.text()}`));
      app.post('/raw', async (context) =>
        context.json(new Uint8Array(await context.req.arrayBuffer()).length),
      );
      const server = createServer(getRequestListener(app.fetch));
      servers.push(server);
      await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', () => resolve()));
      const { port } = server.address() as AddressInfo;
      const ask = (method: string, path: string, body = '', isWhole = true): Promise<unknown[]> =>
        new Promise((resolve, reject) => {
          const headers = isWhole ? { 'content-length': body.length } : { 'transfer-encoding': 'chunked' };
          const asked = request(
            { port, host: '127.0.0.1', method, path, headers, agent: false },
            async (got) => {
              const chunks: Buffer[] = [];
              for await (const chunk of got) chunks.push(chunk as Buffer);
              const { 'content-type': type, 'retry-after': retry, 'x-a': own } = got.headers;
              resolve([got.statusCode, type, retry ?? own, Buffer.concat(chunks).toString()]);
            },
          );
          asked.once('error', reject);
          asked.end(body);
        });
      const plain = 'text/plain; charset=UTF-8';
      assert.deepEqual(await ask('GET', '/text'), [200, plain, undefined, 'a text']);
      assert.deepEqual(await ask('GET', '/json'), [503, 'application/json', '2', '{"a":1}']);
      assert.deepEqual(await ask('GET', '/bytes'), [200, 'application/json', 'b', 'AB']);
      assert.deepEqual(await ask('GET', '/stream'), [200, undefined, 'c', 'a stream']);
      assert.deepEqual(await ask('GET', '/sent'), [202, undefined, 'd', 'sent']);
      assert.deepEqual(await ask('GET', '/fails'), [500, plain, undefined, 'it fails']);
      assert.deepEqual(await ask('GET', '/none'), [404, plain, undefined, '404 Not Found']);
      assert.deepEqual(await ask('HEAD', '/text'), [200, plain, undefined, '']);
      for (const isWhole of [true, false]) {
        assert.deepEqual(await ask('POST', '/limited', 'short', isWhole), [
          200,
          plain,
          undefined,
          'got short',
        ]);
        assert.deepEqual(await ask('POST', '/limited', 'much too long', isWhole), [
          413,
          plain,
          undefined,
          'too long',
        ]);
        assert.deepEqual(await ask('POST', '/raw', 'abcd', isWhole), [
          200,
          'application/json',
          undefined,
          '4',
        ]);
      }
    });
  });
});
