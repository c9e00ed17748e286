/** Bounds of one process at their borders: which connection gives way to a newcomer, and what is told of an order's size. */
import assert from 'node:assert/strict';
import { EventEmitter, once } from 'node:events';
import type { Server } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { after, before, describe, it } from 'node:test';
import { createAdaptorServer } from '@hono/node-server';
import { Hono } from 'hono';
import { RequestGate } from '../src/control/request-gate.js';
import { ConnectionLimiter } from '../src/overload/connection-limiter.js';
import { Overload } from '../src/overload/overload.js';

/** A connection whose client does not read its response; it closes in a later turn, as a real one does. */
class StalledSocket extends EventEmitter {
  readonly bytesWritten = 1000;
  readonly writableLength = 500;
  isDestroyed = false;
  destroy(): void {
    this.isDestroyed = true;
    setImmediate(() => this.emit('close'));
  }
}

describe('the connection limiter', { timeout: 30_000 }, () => {
  const maxConnections = 10;
  const server = new EventEmitter() as unknown as Server;
  const connect = (): StalledSocket => {
    const socket = new StalledSocket();
    server.emit('connection', socket as unknown as Socket);
    server.emit('request', { socket }, new EventEmitter());
    return socket;
  };
  after(() => server.emit('close'));

  it('closes a stalled connection for each newcomer, also for several in one turn', async () => {
    const limiter = ConnectionLimiter.of({ maxConnections, shedOldest: () => false });
    limiter.attach(server);
    const first = Array.from({ length: maxConnections }, connect);
    // Two looks a second apart tell that they have stalled.
    while (first.every(({ isDestroyed }) => !isDestroyed)) {
      await new Promise((resolve) => setTimeout(resolve, 100));
      connect();
    }
    await new Promise(setImmediate);
    const closedBefore = first.filter(({ isDestroyed }) => isDestroyed).length;
    const newcomers = [connect(), connect(), connect()];
    assert.equal(first.filter(({ isDestroyed }) => isDestroyed).length, closedBefore + newcomers.length);
    assert.ok(limiter.openCount() <= maxConnections, String(limiter.openCount()));
  });

  it('accepts no more newcomers than a few while shed requests still have their connections', () => {
    const limiter = ConnectionLimiter.of({ maxConnections, shedOldest: () => true });
    const another = new EventEmitter() as unknown as Server;
    limiter.attach(another);
    for (let count = 0; count < 1000; count += 1) {
      const socket = new StalledSocket();
      another.emit('connection', socket as unknown as Socket);
      another.emit('request', { socket }, new EventEmitter());
    }
    another.emit('close');
    assert.ok(limiter.openCount() <= maxConnections + 64, String(limiter.openCount()));
  });
});

describe('the size of an order', { timeout: 30_000 }, () => {
  const mb = 1024 * 1024;
  /** A sixth of it is the budget: 4 MiB, of which one order may take 3. */
  const overload = Overload.of({ memory: 24 });
  let server: Server;
  let url: string;

  before(async () => {
    const app = new Hono();
    app.use(RequestGate.of(overload).handle);
    app.post('/', (context) => context.json({ bytes: RequestGate.body(context).length }));
    server = createAdaptorServer({ fetch: app.fetch, overrideGlobalObjects: false }) as Server;
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    url = `http://127.0.0.1:${(server.address() as AddressInfo).port}/`;
  });
  after(() => server.close());

  const send = async (bytes: number) => {
    const response = await fetch(url, { method: 'POST', body: JSON.stringify('x'.repeat(bytes)) });
    const { error } = (await response.json()) as { error?: { code: string } };
    return `${response.status} ${error?.code ?? ''}`.trim();
  };
  /** Sends while others hold a part of the budget that they do not give up. */
  const sendBeside = async (heldBytes: number, bytes: number) => {
    const holding = overload.memory.hold();
    assert.ok(holding.grow(heldBytes));
    const answer = await send(bytes);
    holding.release();
    return answer;
  };

  it('is final where the order can never fit, and passes where it fits', async () => {
    assert.equal(await send(1.4 * mb), '200');
    assert.equal(await send(1.6 * mb), '413 too_many_values');
    assert.equal(await send(3.2 * mb), '413 body_too_long');
  });

  it('is not final where the order fits once others have left', async () => {
    assert.equal(await sendBeside(2 * mb, 1.4 * mb), '503 memory');
    assert.equal(await sendBeside(mb, 2.5 * mb), '503 memory');
  });
});
