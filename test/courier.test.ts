// A courier's requests: carried as soon as the link stands, before the peer has said anything.
import assert from 'node:assert/strict';
import { connect, createServer, Socket } from 'node:net';
import { describe, it } from 'node:test';
import { Listen } from '../src/kinds/listen.js';
import { Stamp } from '../src/kinds/stamp.js';
import { Courier } from '../src/wire/courier.js';
import { Link } from '../src/wire/link.js';

describe('a courier', () => {
  it('carries a request over a link on which nothing was heard yet, and is up only after', async () => {
    const terms = { stamp: () => Stamp.none, age: () => 0, pingEvery: 60_000, silence: 60_000 };
    const server = createServer((socket) => {
      const link = Link.over(socket, terms);
      void (async () => {
        for await (const frame of link.frames())
          if (frame.kind === 'yield')
            link.send({ kind: 'done', serial: frame.serial, isDone: true, why: '' });
      })();
    });
    const at = await Listen(server, { host: '127.0.0.1', port: 0 });
    const hello = { kind: 'hello', self: {} as never, version: '', aim: 'core' } as const;
    let stands: () => void = () => {};
    const standing = new Promise<void>((resolve) => {
      stands = resolve;
    });
    const courier = Courier.run({
      place: `${at.host}:${at.port}`,
      stamp: () => Stamp.none,
      age: () => 0,
      hello: () => hello,
      onUp: stands,
    });
    try {
      await standing;
      assert.equal(courier.isUp(), false);
      const reply = await courier.ask({ kind: 'yield', epoch: Stamp.none.epoch }, 5000);
      assert.equal(reply.kind, 'done');
      assert.equal(courier.isUp(), true);
    } finally {
      await courier.stop();
      server.close();
    }
  });

  it('dials anew while an attempt is not answered, and leaves the others', async () => {
    const server = createServer();
    const at = await Listen(server, { host: '127.0.0.1', port: 0 });
    const terms = { stamp: () => Stamp.none, age: () => 0 };
    const dialled: Socket[] = [];
    const dial = ((to: { host: string; port: number }) => {
      dialled.push(dialled.length === 0 ? new Socket() : connect(to));
      return dialled.at(-1)!;
    }) as typeof connect;
    const link = await Link.open(at, terms, undefined, dial);
    assert.equal(dialled.length, 2);
    assert.equal(dialled[0]?.destroyed, true);
    assert.equal(link.isOpen(), true);
    link.close();
    server.close();
  });
});
