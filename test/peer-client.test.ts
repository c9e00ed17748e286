/** The peer client: requests are sent as soon as the link is connected, and unchanged votes are expanded. */
import assert from 'node:assert/strict';
import { connect, createServer, Socket } from 'node:net';
import { describe, it } from 'node:test';
import { Epoch } from '../src/common/epoch.js';
import { Listen } from '../src/common/listen.js';
import { Stamp } from '../src/common/stamp.js';
import { PeerRequestHandler } from '../src/control/peer-request-handler.js';
import type { Proposer } from '../src/epoch/proposer.js';
import type { Register } from '../src/epoch/register.js';
import type { Backup } from '../src/replica/backup.js';
import { Frame } from '../src/wire/frame.js';
import { Link } from '../src/wire/link.js';
import { PeerClient } from '../src/wire/peer-client.js';

describe('a peer client', () => {
  it('sends a request before anything was received, and is up only after the reply', async () => {
    const terms = { stamp: () => Stamp.none, age: () => 0, pingEvery: 60_000, silence: 60_000 };
    const server = createServer((socket) => {
      const link = Link.fromSocket(socket, terms);
      void (async () => {
        for await (const frame of link.frames())
          if (frame.kind === 'yield')
            link.send({ kind: 'done', serial: frame.serial, isDone: true, why: '' });
      })();
    });
    const bound = await Listen(server, { host: '127.0.0.1', port: 0 });
    const hello = { kind: 'hello', self: {} as never, version: '', aim: 'core' } as const;
    let markConnected: () => void = () => {};
    const connected = new Promise<void>((resolve) => {
      markConnected = resolve;
    });
    const client = PeerClient.start({
      address: `${bound.host}:${bound.port}`,
      stamp: () => Stamp.none,
      age: () => 0,
      hello: () => hello,
      onConnect: markConnected,
    });
    try {
      await connected;
      assert.equal(client.isUp(), false);
      const reply = await client.ask({ kind: 'yield', epoch: Stamp.none.epoch }, 5000);
      assert.equal(reply.kind, 'done');
      assert.equal(client.isUp(), true);
    } finally {
      await client.stop();
      server.close();
    }
  });

  it('starts another attempt while one is unanswered, and drops the unanswered one', async () => {
    const server = createServer();
    const bound = await Listen(server, { host: '127.0.0.1', port: 0 });
    const terms = { stamp: () => Stamp.none, age: () => 0 };
    const attempts: Socket[] = [];
    const dial = ((to: { host: string; port: number }) => {
      attempts.push(attempts.length === 0 ? new Socket() : connect(to));
      return attempts.at(-1)!;
    }) as typeof connect;
    const link = await Link.open(bound, terms, undefined, dial);
    assert.equal(attempts.length, 2);
    assert.equal(attempts[0]?.destroyed, true);
    assert.equal(link.isOpen(), true);
    link.close();
    server.close();
  });

  it('returns full votes even when the peer reports only that its vote is unchanged', async () => {
    const core = { disk: 'd', node: 'n', wire: 'w', http: 'h' };
    const term = { epoch: Epoch.of(4), primary: 'd', inSync: ['d'], cores: [core], formed: Epoch.of(1) };
    let round = 1;
    const desk = PeerRequestHandler.of({
      register: {} as Register,
      backup: {} as Backup,
      proposer: {
        vote: (isGranted: boolean) => ({
          isGranted,
          isBlank: false,
          promised: { round, disk: 'd' },
          accepted: { round, disk: 'd' },
          term,
          core,
          highest: Epoch.of(4),
          isAble: true,
          held: Stamp.of(4, round),
        }),
      } as unknown as unknown as Proposer,
      onTakeoverRequest: () => undefined,
      join: async () => '',
      note: () => {},
    });
    const sent: number[] = [];
    const server = createServer((socket) => {
      const write = socket.write.bind(socket);
      socket.write = ((bytes: Buffer) => {
        if (Frame.decode(bytes.subarray(4))?.kind === 'vote') sent.push(bytes.length);
        return write(bytes);
      }) as typeof socket.write;
      const link = Link.fromSocket(socket, { stamp: () => Stamp.none, age: () => 0 });
      const frames = link.frames();
      void frames.next().then(() => desk.serve(link, frames));
    });
    const bound = await Listen(server, { host: '127.0.0.1', port: 0 });
    let markConnected: () => void = () => {};
    const connected = new Promise<void>((resolve) => {
      markConnected = resolve;
    });
    const client = PeerClient.start({
      address: `${bound.host}:${bound.port}`,
      stamp: () => Stamp.none,
      age: () => 0,
      hello: () => ({ kind: 'hello', self: {} as never, version: '', aim: 'core' }),
      onConnect: markConnected,
    });
    try {
      await connected;
      for (const [expected, isShort] of [
        [1, false],
        [1, true],
        [2, false],
        [2, true],
      ] as const) {
        round = expected;
        const vote = await client.ask({ kind: 'peek' }, 5000);
        assert.ok(vote.kind === 'vote');
        assert.deepEqual(vote.term, term);
        assert.deepEqual(vote.core, core);
        assert.equal(vote.accepted?.round, expected);
        assert.equal(vote.held.revision, expected);
        assert.equal(sent.at(-1)! < sent[0]! / 2, isShort, sent.join());
      }
    } finally {
      await client.stop();
      server.close();
    }
  });
});
