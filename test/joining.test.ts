/**
 * Children that need a whole view when they join: a few get it at once, the others wait with their sessions open, each
 * gets it once, and a process that was stalled itself takes no peer for silent.
 */

import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { Stamp } from '../src/common/stamp.js';
import { View } from '../src/manifest/view.js';
import { Children } from '../src/membership/children.js';
import { Downlink } from '../src/membership/downlink.js';
import { MemberTable } from '../src/membership/member-table.js';
import { TransferQueue } from '../src/membership/transfer-queue.js';
import { Uplink } from '../src/membership/uplink.js';
import { Feed } from '../src/news/feed.js';
import { Relays } from '../src/news/relays.js';
import { Ranges } from '../src/repair/ranges.js';
import { ViewCache } from '../src/repair/view-cache.js';
import { Frame } from '../src/wire/frame.js';
import { Link } from '../src/wire/link.js';
import { LinkServer } from '../src/wire/link-server.js';
import { Protocol } from '../src/wire/protocol.js';
import { ParentKit } from './parent-kit.js';

const entry = (node: string, part: Partial<Frame.Entry> = {}) => ({
  node,
  program: 'agent',
  zone: 'a-1',
  boot: node,
  stamp: Stamp.none,
  http: '',
  wire: '',
  ops: '',
  depth: 1,
  ready: true,
  vouched: true,
  ...part,
});
const rules = Array.from({ length: 2000 }, (_none, index) => ({ name: `rule-${index}`, runs: 'once' }));
const viewOf = (revision: number) => {
  const stamp = Stamp.of(1, revision);
  const document = { rules, note: `change ${revision}` };
  const platform = { ...View.empty.platform, ...stamp };
  return { stamp, platform, manifest: { ...stamp, document } } as unknown as View;
};

const echo = { ...Frame.emptyTokens, node: 'child' };

const openParent = async (feed: Feed, turns: TransferQueue) => {
  const roll = MemberTable.of(() =>
    entry('parent', { program: 'control', zone: 'b-1', stamp: feed.stamp() }),
  );
  const children = Children.of(roll);
  const hellos: string[] = [];
  const linkServer = await LinkServer.open({
    address: { host: '127.0.0.1', port: 0 },
    stamp: feed.stamp,
    age: () => 0,
    note: () => {},
    serve(link, hello, frames) {
      hellos.push(hello.self.node);
      return Downlink.serve(
        link,
        hello,
        frames,
        ParentKit.needs(feed, roll, {
          children,
          isRelay: (child) => child.node.startsWith('relay'),
          transfers: turns,
          onTokens: () => void link.send(echo),
        }),
      );
    },
  });
  return { linkServer, hellos };
};
const held = (feed: Feed, stamp: Stamp) =>
  new Promise<void>((resolve) => {
    const look = () => {
      if (Stamp.isSame(feed.stamp(), stamp)) resolve();
    };
    feed.watch(look);
    look();
  });

describe('joining', () => {
  it('queues children that need the whole view, beyond the time limit for a silent parent, and serves all of them', async () => {
    const feed = Feed.of(viewOf(1));
    const turns = TransferQueue.of();
    const { linkServer, hellos } = await openParent(feed, turns);
    // Turns that never finish are revoked after two seconds each, so the children wait for two rounds of them.
    for (let count = 0; count < 2 * TransferQueue.maxConcurrent; count += 1)
      turns.enqueue(true, () => new Promise(() => {}));
    const order: string[] = [];
    const children = ['child-1', 'child-2', 'child-3', 'child-4', 'child-5', 'relay-1'].map((node) => {
      const own = Feed.of();
      own.watch(() => order.push(node));
      const notes: string[] = [];
      const uplink = Uplink.run({
        feed: own,
        members: MemberTable.of(() => entry(node, { stamp: own.stamp() })),
        seeds: [LinkServer.text(linkServer), '127.0.0.1:9'],
        version: '',
        reportsMembers: true,
        note: (text) => notes.push(text),
      });
      return { own, uplink, notes };
    });
    try {
      await Promise.all(children.map(({ own }) => held(own, Stamp.of(1, 1))));
      assert.deepEqual(hellos.sort(), ['child-1', 'child-2', 'child-3', 'child-4', 'child-5', 'relay-1']);
      assert.deepEqual(
        children.flatMap(({ notes }) => notes),
        [],
      );
      assert.equal(order.length, children.length);
      assert.ok(
        order.indexOf('relay-1') < TransferQueue.maxConcurrent,
        `the relay came after ${order.join()}`,
      );
    } finally {
      for (const { uplink } of children) uplink.stop();
      await Promise.all(children.map(({ uplink }) => uplink.done));
      await linkServer.close();
    }
  });

  const join = async (linkServer: LinkServer, protocol: number) => {
    const link = await Link.open(linkServer.address, { stamp: () => Stamp.none, age: () => 0 });
    const self = { ...entry(`child-${protocol}`), counter: 1, age: 0, via: '' };
    link.send({ kind: 'hello', self, version: '', aim: 'session', protocol });
    const frames = link.frames();
    const next = async (kinds: readonly string[]): Promise<Frame> => {
      for (;;) {
        const { value } = await frames.next();
        assert.ok(value, 'the link ended');
        if (kinds.includes(value.kind)) return value;
      }
    };
    return { link, next };
  };

  it('answers once when a child repeats its request while the reply is in transit', async () => {
    const feed = Feed.of(viewOf(1));
    const { linkServer } = await openParent(feed, TransferQueue.of());
    try {
      const { link, next } = await join(linkServer, Protocol.newest);
      const digests = Ranges.digests(ViewCache.ranges(View.empty));
      const askAgain = async () => {
        await ViewCache.compressed(feed.view());
        link.send({ kind: 'ask', digests });
        link.send(echo);
        assert.equal((await next(['tokens', 'news', 'patch'])).kind, 'tokens');
      };
      for (let count = 0; count < 5; count += 1) link.send({ kind: 'ask', digests });
      const first = await next(['news', 'patch']);
      assert.equal(first.kind === 'news' && ViewCache.decodeView(first).stamp.revision, 1);
      await askAgain();
      feed.offer(viewOf(2));
      assert.equal((await next(['news', 'patch'])).kind, 'patch');
      await askAgain();
      feed.offer(viewOf(3));
      assert.equal((await next(['news', 'patch'])).kind, 'patch');
      link.send({ kind: 'ask', digests: [] });
      assert.equal((await next(['news', 'patch'])).kind, 'news');
      link.send({ kind: 'ask', digests: [] });
      assert.equal((await next(['news', 'patch'])).kind, 'news');
      link.close();
    } finally {
      await linkServer.close();
    }
  });
  it('sends a large whole view compressed to children that support it, and plain to earlier versions', async () => {
    const feed = Feed.of(viewOf(1));
    const { linkServer } = await openParent(feed, TransferQueue.of());
    try {
      const whole = View.encode(feed.view()).length;
      for (const protocol of [Protocol.none, Protocol.newest]) {
        const { link, next } = await join(linkServer, protocol);
        link.send({ kind: 'ask', digests: [] });
        const news = await next(['news']);
        assert.ok(news.kind === 'news');
        assert.equal(news.view.length, protocol === Protocol.none ? whole : 0);
        assert.ok(protocol === Protocol.none || news.compressed.length < whole / 3);
        assert.deepEqual(ViewCache.decodeView(news), feed.view());
        link.close();
      }
    } finally {
      await linkServer.close();
    }
  });
  it('requests patches with the partitioning that the parent supports', async () => {
    for (const protocol of [Protocol.none, Protocol.newest]) {
      const cut = protocol === Protocol.none ? 'position' : 'name';
      const asked: (readonly string[])[] = [];
      const linkServer = await LinkServer.open({
        address: { host: '127.0.0.1', port: 0 },
        stamp: () => Stamp.of(1, 2),
        age: () => 0,
        note: () => {},
        async serve(link, _hello, frames) {
          const self = { ...entry('parent', { program: 'control' }), counter: 1, age: 0, via: '' };
          const protocolField = protocol === Protocol.none ? {} : { protocol };
          link.send({ kind: 'welcome', self, peers: [], relays: [], version: '', age: 0, ...protocolField });
          for await (const frame of frames) {
            if (frame.kind !== 'ask') continue;
            asked.push(frame.digests);
            const ranges = Ranges.cut(viewOf(2), cut);
            link.send({
              kind: 'patch',
              ...Ranges.patch(ranges, frame.digests, cut === 'name'),
              compressed: new Uint8Array(),
            });
          }
        },
      });
      const feed = Feed.of(viewOf(1));
      const uplink = Uplink.run({
        feed,
        members: MemberTable.of(() => entry('child', { stamp: feed.stamp() })),
        seeds: [LinkServer.text(linkServer)],
        version: '',
        hasFixedCandidates: true,
        reportsMembers: true,
        note: () => {},
      });
      try {
        await held(feed, Stamp.of(1, 2));
        assert.deepEqual(asked, [Ranges.digests(Ranges.cut(viewOf(1), cut))]);
      } finally {
        uplink.stop();
        await uplink.done;
        await linkServer.close();
      }
    }
  });
  it('asks one of the children that hold a newer view, and another one only after a delay', () => {
    const turns = TransferQueue.of();
    assert.equal(turns.mayRequest(Stamp.of(1, 5)), true);
    assert.equal(turns.mayRequest(Stamp.of(1, 5)), false);
    assert.equal(turns.mayRequest(Stamp.of(1, 4)), false);
    assert.equal(turns.mayRequest(Stamp.of(1, 6)), true);
  });
  it('names relays only once they hold a view', () => {
    const stamp = Stamp.of(1, 1);
    const agent = (node: string, part: Partial<Frame.Entry> = {}) => ({
      ...entry(node, { wire: node, ...part }),
      counter: 1,
      age: 0,
      via: '',
    });
    const roll = [agent('a', { stamp }), agent('b'), agent('c', { stamp }), agent('d', { zone: 'a-2' })];
    assert.deepEqual(Relays.of(roll[2]!, roll), ['a']);
    assert.deepEqual(Relays.of(roll[1]!, roll), []);
    assert.deepEqual(
      roll.map((one) => Relays.isRelay(one, roll)),
      [true, true, false, true],
    );
  });
  it('does not treat a peer as silent when its own process was stalled', async () => {
    const linkServer = await LinkServer.open({
      address: { host: '127.0.0.1', port: 0 },
      stamp: () => Stamp.none,
      age: () => 0,
      note: () => {},
      async serve(link, _hello, frames) {
        link.send({ kind: 'ping', age: 7 });
        for await (const frame of frames) if (frame.kind === 'ping') link.send({ kind: 'ping', age: 9 });
      },
    });
    const link = await Link.open(linkServer.address, { stamp: () => Stamp.none, age: () => 0, silence: 400 });
    const self = { ...entry('child'), counter: 1, age: 0, via: '' };
    link.send({ kind: 'hello', self, version: '', aim: 'session' });
    const frames = link.frames();
    try {
      await frames.next();
      const until = performance.now() + 1500;
      while (performance.now() < until);
      for (let met = false; !met; ) {
        const { value } = await frames.next();
        assert.ok(value, 'the link ended');
        met = value.kind === 'ping' && value.age === 9;
      }
    } finally {
      link.close();
      await linkServer.close();
    }
  });
});
