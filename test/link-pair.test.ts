/**
 * Links inside one process, and pings: frames arrive in order and unchanged, both ends close together, and a busy link
 * sends pings only with `pingsWhenBusy`.
 */
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { type AddressInfo, connect, createServer, type Socket } from 'node:net';
import { describe, it } from 'node:test';
import { Agent } from '../src/agent/program.js';
import { Stamp } from '../src/common/stamp.js';
import { LogBuffer } from '../src/log/log-buffer.js';
import type { Document } from '../src/manifest/document.js';
import { View } from '../src/manifest/view.js';
import { MemberTable } from '../src/membership/member-table.js';
import { Uplink } from '../src/membership/uplink.js';
import { Feed } from '../src/news/feed.js';
import type { Frame } from '../src/wire/frame.js';
import { Link } from '../src/wire/link.js';
import { LinkPair } from '../src/wire/link-pair.js';

const rosterOf = (proxies: readonly string[]) =>
  ({ kind: 'roster', proxies, added: [], departed: [], digest: '', whole: true }) as const;
const optionsFor = (revision: number) => ({ stamp: () => Stamp.of(1, revision), age: () => 7 });

const collect = async (link: Link, count: number): Promise<Frame[]> => {
  const frames: Frame[] = [];
  for await (const frame of link.frames()) {
    frames.push(frame);
    if (frames.length === count) break;
  }
  return frames;
};

describe('links in one process', () => {
  it('pass frames in order and unchanged, with the stamp of the sender', async () => {
    const [a, b] = LinkPair.of(optionsFor(1), optionsFor(2), 'here');
    const view = new Uint8Array([1, 2, 3]);
    const coming = collect(b, 3);
    a.send({ kind: 'ping', age: 1 });
    a.send({ kind: 'news', view, compressed: new Uint8Array() });
    a.send(rosterOf(['x']));
    const [first, second, third] = await coming;
    assert.deepEqual(
      [first, third],
      [
        { kind: 'ping', age: 1, stamp: Stamp.of(1, 1) },
        { ...rosterOf(['x']), stamp: Stamp.of(1, 1) },
      ],
    );
    assert.equal(second?.kind === 'news' && second.view, view);
  });
  it('close together, and deliver the frames sent before', async () => {
    const [a, b] = LinkPair.of(optionsFor(1), optionsFor(2), 'here');
    a.send({ kind: 'ping', age: 1 });
    a.close();
    await b.closed;
    assert.deepEqual([a.isOpen(), b.isOpen(), a.send({ kind: 'ping', age: 1 })], [false, false, false]);
    assert.equal((await collect(b, 2)).length, 1);
  });
  it('decode bytes encoded in this process to the same view object', () => {
    const bytes = View.encode(View.empty);
    assert.equal(View.decode(bytes), View.empty);
    assert.deepEqual(View.decode(Buffer.from(bytes)), View.empty);
    assert.equal(View.decode(View.encodeInProcess(View.empty)), View.empty);
  });
  it('deliver messages and views to a proxy in the process of the agent without a socket', async () => {
    const seed = createServer();
    seed.listen(0, '127.0.0.1');
    await once(seed, 'listening');
    const address = `127.0.0.1:${(seed.address() as AddressInfo).port}`;
    const agent = await Agent.start(
      { node: 'agent', zone: 'a-1', wire: '127.0.0.1:0', ops: '127.0.0.1:0', seeds: [address] },
      LogBuffer.of('agent'),
    );
    const feed = Feed.of();
    const roll = MemberTable.of(() => ({
      ...{ node: 'proxy', program: 'proxy', zone: 'a-1', boot: 'b', stamp: feed.stamp(), http: '', wire: '' },
      ...{ ops: '', depth: 0, ready: true, vouched: true },
    }));
    const parents: string[] = [];
    const uplink = Uplink.run({
      ...{
        feed,
        members: roll,
        seeds: [address],
        version: '',
        hasFixedCandidates: true,
        reportsMembers: true,
        note: () => {},
      },
      open: (_place, own) => agent.join(own),
      onParent: ({ node }) => void parents.push(node),
    });
    try {
      const [socket] = (await once(seed, 'connection')) as [Socket];
      const parent = Link.fromSocket(socket, { ...optionsFor(5), pingsWhenBusy: true, pingEvery: 20 });
      const document = { zones: {}, rules: [] } as unknown as Document;
      const manifest = { revision: 5, epoch: 1, document } as unknown as View['manifest'];
      const view = { ...View.empty, stamp: Stamp.of(1, 5), manifest };
      const isServed = new Promise<void>((resolve) => {
        feed.watch(() => resolve());
      });
      for await (const frame of parent.frames()) {
        if (frame.kind !== 'hello') continue;
        const self = { ...frame.self, node: 'parent', program: 'control' };
        parent.send({ kind: 'welcome', self, peers: [], relays: [], version: '', age: 0 });
        parent.send({ kind: 'news', view: View.encode(view), compressed: new Uint8Array() });
        break;
      }
      await isServed;
      assert.deepEqual([parents, feed.stamp()], [['agent'], Stamp.of(1, 5)]);
    } finally {
      uplink.stop();
      await Promise.all([uplink.done, agent.drain()]);
      seed.close();
    }
  });
});

describe('pings', () => {
  const meet = async (isSteady: boolean) => {
    const server = createServer();
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    const [[other], own] = await Promise.all([
      once(server, 'connection') as Promise<[Socket]>,
      Link.open(
        { host: '127.0.0.1', port: (server.address() as AddressInfo).port },
        { ...optionsFor(1), pingEvery: 40, pingsWhenBusy: isSteady },
      ),
    ]);
    const far = Link.fromSocket(other, optionsFor(2));
    const pings: Frame[] = [];
    const isDone = (async () => {
      let rosters = 0;
      for await (const frame of far.frames()) {
        if (frame.kind === 'ping') pings.push(frame);
        if (frame.kind === 'roster') rosters += 1;
        if (rosters === 60) return;
      }
    })();
    const busy = setInterval(() => own.send(rosterOf([])), 5);
    await isDone;
    clearInterval(busy);
    own.close();
    server.close();
    return pings.length;
  };
  it('are omitted while other frames are sent, except with pingsWhenBusy', async () => {
    const [quiet, steady] = [await meet(false), await meet(true)];
    assert.ok(steady > quiet, `${steady} steady pings, ${quiet} otherwise`);
    assert.ok(steady >= 3, `${steady} steady pings`);
  });
  it('resume when nothing else is sent', async () => {
    const server = createServer();
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    const own = connect({ host: '127.0.0.1', port: (server.address() as AddressInfo).port });
    const [other] = (await once(server, 'connection')) as [Socket];
    const link = Link.fromSocket(own, { ...optionsFor(3), pingEvery: 20 });
    const far = Link.fromSocket(other, optionsFor(1));
    link.send(rosterOf([]));
    const [roster, ...pings] = await collect(far, 3);
    assert.deepEqual([roster?.kind, ...pings.map(({ kind }) => kind)], ['roster', 'ping', 'ping']);
    link.close();
    server.close();
  });
});
