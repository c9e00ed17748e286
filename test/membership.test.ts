/**
 * What a node reports of the nodes below it (changed entries at once, all entries on joining and when asked), what
 * watchers of a member table are told, and what a parent sends to a child that joined with the view it holds.
 */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { Stamp } from '../src/common/stamp.js';
import { View } from '../src/manifest/view.js';
import { Children } from '../src/membership/children.js';
import { Downlink } from '../src/membership/downlink.js';
import { MemberTable } from '../src/membership/member-table.js';
import { Uplink } from '../src/membership/uplink.js';
import { Feed } from '../src/news/feed.js';
import type { Frame } from '../src/wire/frame.js';
import { Link } from '../src/wire/link.js';
import { LinkServer } from '../src/wire/link-server.js';
import { ParentKit } from './parent-kit.js';

const memberCount = 40;
const nameOf = (index: number) => `below-${index}`;

const entry = (node: string, counter: number, revision: number): Frame.Entry => ({
  node,
  program: 'proxy',
  zone: 'a-1',
  boot: node,
  stamp: Stamp.of(1, revision),
  http: '',
  wire: '',
  via: '',
  counter,
  age: 0,
  ready: true,
  ops: '',
  depth: 0,
  vouched: true,
});

const tableOf = (node: string) =>
  MemberTable.of(() => {
    const { counter: _counter, age: _age, via: _via, ...rest } = entry(node, 0, 1);
    return { ...rest, program: 'agent' };
  });

describe('membership', () => {
  it('passes up at once only the entries that changed, and all of them in turn', async () => {
    const feed = Feed.of();
    const members = tableOf('relay');
    const parent = tableOf('parent');
    const rolls: (readonly Frame.Entry[])[] = [];
    let onFrame: () => void = () => {};
    const server = await LinkServer.open({
      address: { host: '127.0.0.1', port: 0 },
      stamp: () => Stamp.none,
      age: () => 0,
      note: () => {},
      async serve(link, _hello, frames) {
        link.send({ kind: 'welcome', self: parent.self(), peers: [], relays: [], version: '', age: 0 });
        for await (const frame of frames) {
          if (frame.kind === 'roll') rolls.push(frame.entries);
          onFrame();
        }
      },
    });
    const waitFor = (condition: () => boolean) =>
      new Promise<void>((resolve) => {
        onFrame = () => {
          if (condition()) resolve();
        };
        onFrame();
      });
    for (let index = 0; index < memberCount; index += 1)
      members.update([entry(nameOf(index), 1, 1)], 'child', true);
    const uplink = Uplink.run({
      feed,
      members,
      seeds: [LinkServer.text(server)],
      version: '',
      hasFixedCandidates: true,
      reportsMembers: true,
      note: () => {},
    });
    try {
      await waitFor(() => rolls.some((entries) => entries.length === memberCount + 1));
      const before = rolls.length;
      for (let index = 0; index < 3; index += 1) members.update([entry(nameOf(index), 2, 2)], 'child', true);
      const isReported = (entries: readonly Frame.Entry[]) =>
        [0, 1, 2].every((index) =>
          entries.some((one) => one.node === nameOf(index) && one.stamp.revision === 2),
        );
      await waitFor(() => rolls.slice(before).some(isReported));
      const partial = rolls.slice(before).filter((entries) => entries.length !== memberCount + 1);
      assert.deepEqual(
        partial.map((entries) => entries.map((one) => one.node)),
        [[0, 1, 2].map(nameOf)],
      );
      const whole = rolls.length;
      await waitFor(() => rolls.slice(whole).some((entries) => entries.length === memberCount + 1));
    } finally {
      uplink.stop();
      await uplink.done;
      await server.close();
    }
  });
  it('tells who watches the roll of nothing that mates said', () => {
    const members = tableOf('core');
    const seen: (readonly string[])[] = [];
    members.watch((changed) => seen.push(changed));
    members.update([entry('far', 1, 1)], 'mate', false);
    members.update([entry('near', 1, 1)], 'near', true);
    members.update([entry('near', 2, 1)], 'near', true);
    members.update([entry('near', 3, 2), entry('far', 2, 2)], 'near', true);
    assert.deepEqual(seen, [['near'], ['near', 'far']]);
    assert.equal(members.get('near')?.stamp.revision, 2);
    assert.equal(members.get('nobody'), undefined);
  });
  it('sends a child that came with the view held here only what changes of it', async () => {
    const rules = Array.from({ length: 320 }, (_none, index) => ({ name: `rule-${index}` }));
    const viewOf = (revision: number) => {
      const stamp = Stamp.of(1, revision);
      const document = { rules, note: `change ${revision}` };
      const platform = { ...View.empty.platform, ...stamp };
      return { stamp, platform, manifest: { ...stamp, document } } as unknown as View;
    };
    const feed = Feed.of(viewOf(1));
    const members = tableOf('parent');
    const children = Children.of(members);
    const server = await LinkServer.open({
      address: { host: '127.0.0.1', port: 0 },
      stamp: feed.stamp,
      age: () => 0,
      note: () => {},
      serve: (link, hello, frames) =>
        Downlink.serve(link, hello, frames, ParentKit.needs(feed, members, { children })),
    });
    const firstNews = async (held: Stamp) => {
      const link = await Link.open(server.address, { stamp: () => held, age: () => 0 });
      const self = { ...tableOf(`child-${held.revision}`).self(), stamp: held };
      link.send({ kind: 'hello', self, version: '', aim: 'session' });
      for await (const frame of link.frames()) {
        if (frame.kind === 'roster') feed.offer(viewOf(feed.stamp().revision + 1));
        if (frame.kind === 'news' || frame.kind === 'patch') return frame;
      }
      return undefined;
    };
    try {
      const patch = await firstNews(Stamp.of(1, 1));
      assert.equal(patch?.kind, 'patch');
      const sent = patch?.kind === 'patch' ? patch.ranges.filter(({ body }) => body !== '') : [];
      assert.deepEqual(
        sent.map(({ name }) => name),
        ['meta', 'part:note'],
      );
      const whole = await firstNews(Stamp.of(1, 1));
      assert.equal(whole?.kind, 'news');
    } finally {
      await server.close();
    }
  });
});
