/**
 * The first message from the primary that confirms the view held is passed on at once and not with the next ping, since
 * a node that starts empty serves nothing before it receives one.
 */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { Stamp } from '../src/common/stamp.js';
import { View } from '../src/manifest/view.js';
import { Downlink } from '../src/membership/downlink.js';
import { MemberTable } from '../src/membership/member-table.js';
import { Feed } from '../src/news/feed.js';
import type { Frame } from '../src/wire/frame.js';
import { Link } from '../src/wire/link.js';
import { LinkServer } from '../src/wire/link-server.js';
import { ParentKit } from './parent-kit.js';

const viewOf = (revision: number) => {
  const stamp = Stamp.of(1, revision);
  return {
    stamp,
    platform: { ...View.empty.platform, ...stamp },
    manifest: { ...stamp, document: { rules: [] } },
  } as unknown as View;
};

const tableOf = (node: string) =>
  MemberTable.of(() => ({
    node,
    program: 'agent',
    zone: 'a-1',
    boot: node,
    stamp: Stamp.of(1, 1),
    http: '',
    wire: '',
    ops: '',
    depth: 0,
    ready: true,
    vouched: false,
  }));

describe('word from the primary', () => {
  it('is told once for each view, when it first names the view held', () => {
    const feed = Feed.of(viewOf(1));
    let told = 0;
    const unwatch = feed.watchConfirmed(() => {
      told += 1;
    });
    feed.recordPing(0, Stamp.of(1, 0));
    assert.equal(told, 0);
    feed.recordPing(0, Stamp.of(1, 1));
    feed.recordPing(-1, Stamp.of(1, 1));
    assert.equal(told, 1);
    feed.offer(viewOf(2));
    feed.recordPing(-2, Stamp.of(1, 1));
    assert.equal(told, 1);
    feed.recordPing(-3, Stamp.of(1, 2));
    assert.equal(told, 2);
    unwatch();
  });

  it('is passed to a child in the moment it is heard', async () => {
    const feed = Feed.of(viewOf(1));
    const members = tableOf('parent');
    let age = 1;
    const server = await LinkServer.open({
      address: { host: '127.0.0.1', port: 0 },
      stamp: feed.stamp,
      age: () => age,
      note: () => {},
      serve: (link, hello, frames) =>
        Downlink.serve(link, hello, frames, ParentKit.needs(feed, members, { age: () => age })),
    });
    const link = await Link.open(server.address, { stamp: () => Stamp.of(1, 1), age: () => 0 });
    try {
      link.send({
        kind: 'hello',
        self: { ...tableOf('child').self(), program: 'proxy' },
        version: '',
        aim: 'session',
      });
      const pings: number[] = [];
      for await (const frame of link.frames()) {
        if (frame.kind === 'ping') pings.push(frame.age);
        if (frame.kind === 'roster') {
          age = 7;
          feed.recordPing(0, Stamp.of(1, 1));
          age = 1;
        }
        if (pings.includes(7)) break;
        assert.ok(pings.length < 20, 'periodic pings came, and the word of that moment did not');
      }
      assert.ok(pings.includes(7));
    } finally {
      link.close();
      await server.close();
    }
  });

  it('brings no news to other cores from one that is not their source, unless they ask', async () => {
    const feed = Feed.of(viewOf(1));
    const members = tableOf('second');
    let isFirstHand = false;
    const server = await LinkServer.open({
      address: { host: '127.0.0.1', port: 0 },
      stamp: feed.stamp,
      age: () => 0,
      note: () => {},
      serve: (link, hello, frames) =>
        Downlink.serve(
          link,
          hello,
          frames,
          ParentKit.needs(feed, members, { isViewSource: () => isFirstHand }),
        ),
    });
    const open = async (program: 'control' | 'agent') => {
      const link = await Link.open(server.address, { stamp: () => Stamp.of(1, 1), age: () => 0 });
      const self = { ...tableOf(program).self(), program };
      link.send({ kind: 'hello', self, version: '', aim: 'session' });
      const frames = link.frames();
      const until = async (isWanted: (frame: Frame) => boolean): Promise<string[]> => {
        const seen: string[] = [];
        for (;;) {
          const { value } = await frames.next();
          assert.ok(value);
          seen.push(value.kind);
          if (isWanted(value)) return seen;
        }
      };
      await until(({ kind }) => kind === 'roster');
      return { link, until };
    };
    const core = await open('control');
    const agent = await open('agent');
    try {
      feed.offer(viewOf(2));
      const told = await core.until(({ kind, stamp }) => kind === 'ping' && stamp.revision === 2);
      assert.deepEqual(
        told.filter((kind) => kind !== 'ping'),
        [],
      );
      assert.ok((await agent.until(({ kind }) => kind === 'patch' || kind === 'news')).length > 0);
      core.link.send({ kind: 'ask', digests: [] });
      await core.until(({ kind }) => kind === 'news');
      isFirstHand = true;
      feed.offer(viewOf(3));
      await core.until(({ kind, stamp }) => (kind === 'patch' || kind === 'news') && stamp.revision === 3);
    } finally {
      core.link.close();
      agent.link.close();
      await server.close();
    }
  });
});
