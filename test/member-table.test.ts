/**
 * Member tables and rosters are sent as changes: a heartbeat confirms all entries whose digest the parent holds,
 * entries that were not renewed continue to age, and a parent or child that holds something else receives the complete
 * list.
 */
import assert from 'node:assert/strict';
import { after, before, describe, it } from 'node:test';
import { Stamp } from '../src/common/stamp.js';
import { Downlink } from '../src/membership/downlink.js';
import { MemberTable } from '../src/membership/member-table.js';
import { Roster } from '../src/membership/roster.js';
import { Uplink } from '../src/membership/uplink.js';
import { Feed } from '../src/news/feed.js';
import type { Frame } from '../src/wire/frame.js';
import { Link } from '../src/wire/link.js';
import { LinkServer } from '../src/wire/link-server.js';
import { Protocol } from '../src/wire/protocol.js';
import { ParentKit } from './parent-kit.js';

const fieldsOf = (node: string, part: Partial<Frame.Entry> = {}) => ({
  node,
  program: 'proxy',
  zone: 'a-1',
  boot: node,
  stamp: Stamp.of(1, 1),
  http: '',
  wire: '',
  ops: '',
  depth: 0,
  ready: true,
  vouched: true,
  ...part,
});
const entry = (node: string, counter: number, part: Partial<Frame.Entry> = {}): Frame.Entry => ({
  ...fieldsOf(node),
  counter,
  age: 0,
  via: '',
  ...part,
});
const tableOf = (node: string) => MemberTable.of(() => fieldsOf(node, { program: 'agent' }));
const nodesOf = (members: MemberTable) => members.all().map((one) => one.node);
const below = Array.from({ length: 40 }, (_none, index) => `below-${index}`);

describe('roll', () => {
  const createTables = () => {
    const [child, parent] = [tableOf('child'), tableOf('parent')];
    child.update(
      below.map((node) => entry(node, 1)),
      'leaf',
      true,
    );
    parent.replace([child.self(), ...child.descendants()], 'child', true);
    return { child, parent };
  };
  it('takes a heartbeat for all entries that are the same, and for none when one is not', () => {
    const { child, parent } = createTables();
    assert.equal(parent.applyHeartbeat(child.heartbeat(), 'child'), true);
    child.update([entry('below-3', 2, { ready: false })], 'leaf', true);
    assert.equal(parent.applyHeartbeat(child.heartbeat(), 'child'), false);
    parent.update([child.get('below-3')!], 'child', true);
    assert.equal(parent.applyHeartbeat(child.heartbeat(), 'child'), true);
    child.update([entry('one-more', 1)], 'leaf', true);
    assert.equal(parent.applyHeartbeat(child.heartbeat(), 'child'), false);
    assert.equal(parent.applyHeartbeat(child.heartbeat(), 'another'), false);
  });
  it('makes young again what a heartbeat speaks for, and gives what it names its true age', () => {
    const { child, parent } = createTables();
    parent.update([entry('below-0', 2, { age: 3000 })], 'child', true);
    assert.equal(parent.applyHeartbeat(child.heartbeat(), 'child'), true);
    assert.ok(parent.get('below-0')!.age < 3000);
    child.update([entry('below-7', 2, { age: 3500 })], 'leaf', true);
    const heartbeat = child.heartbeat();
    assert.deepEqual(
      heartbeat.stale.map(({ node }) => node),
      ['below-7'],
    );
    assert.ok(parent.get('below-7')!.age < 3000);
    assert.equal(parent.applyHeartbeat(heartbeat, 'child'), true);
    assert.ok(parent.get('below-7')!.age >= 3500);
    assert.ok(parent.heartbeat().stale.some(({ node }) => node === 'below-7'));
  });
  it('lets age what was struck off or is missing in the whole, until it comes another way', () => {
    const { child, parent } = createTables();
    parent.markDeparted(['below-1'], 'another');
    assert.equal(parent.applyHeartbeat(child.heartbeat(), 'child'), true);
    parent.markDeparted(['below-1'], 'child');
    assert.equal(parent.applyHeartbeat(child.heartbeat(), 'child'), false);
    assert.ok(parent.get('below-1')!.age >= MemberTable.expiryMs / 2);
    assert.ok(parent.get('below-3')!.age < MemberTable.expiryMs / 2);
    const others = child.descendants().filter(({ node }) => node !== 'below-2');
    parent.replace([child.self(), ...others], 'child', true);
    assert.equal(parent.applyHeartbeat(child.heartbeat(), 'child'), false);
    parent.update([entry('below-2', 2)], 'elsewhere', true);
    assert.equal(parent.get('below-2')?.via, 'elsewhere');
    parent.replace([child.self(), ...child.descendants()], 'child', true);
    assert.equal(parent.get('below-2')?.via, 'elsewhere');
  });
  it('ends entries of which nothing came for long, and tells who watches', () => {
    const { child } = createTables();
    const seen: string[] = [];
    child.watch((changed) => seen.push(...changed));
    child.update([entry('below-5', 2, { age: MemberTable.expiryMs + 1 })], 'leaf', true);
    assert.equal(child.heartbeat().count, below.length);
    assert.deepEqual(seen, ['below-5']);
    child.removeVia('leaf');
    assert.equal(seen.length, below.length);
    assert.deepEqual(nodesOf(child), ['child']);
  });
});

describe('sessions', () => {
  const parent = tableOf('parent');
  const roster = Roster.of();
  const counts = new Map<string, number>();
  let onFrame: () => void = () => {};
  let server: LinkServer;
  const waitFor = (condition: () => boolean) =>
    new Promise<void>((resolve) => {
      onFrame = () => {
        if (condition()) resolve();
      };
      onFrame();
    });
  const feed = Feed.of();
  async function* countFrames(frames: AsyncGenerator<Frame, void, void>) {
    for await (const frame of frames) {
      const kind = frame.kind === 'roll' ? (frame.whole ? 'whole' : 'changes') : frame.kind;
      counts.set(kind, (counts.get(kind) ?? 0) + 1);
      yield frame;
      onFrame();
    }
  }
  before(async () => {
    server = await LinkServer.open({
      address: { host: '127.0.0.1', port: 0 },
      stamp: feed.stamp,
      age: () => 0,
      note: () => {},
      serve: (link, hello, frames) =>
        Downlink.serve(link, hello, countFrames(frames), ParentKit.needs(feed, parent, { roster })),
    });
  });
  after(() => server.close());

  it('passes up the whole once, then what changed and heartbeats, and the whole again when asked', async () => {
    const child = tableOf('child');
    child.update(
      below.map((node) => entry(node, 1)),
      'leaf',
      true,
    );
    const renewal = setInterval(() => {
      const entries = child.descendants().map((one) => ({ ...one, counter: one.counter + 1, age: 0 }));
      child.update(entries, 'leaf', true);
    }, 500);
    const uplink = Uplink.run({
      feed: Feed.of(),
      members: child,
      seeds: [LinkServer.text(server)],
      version: '',
      hasFixedCandidates: true,
      reportsMembers: true,
      note: () => {},
    });
    try {
      const heartbeats = Math.ceil(MemberTable.expiryMs / 1000) + 2;
      await waitFor(() => (counts.get('heartbeat') ?? 0) >= heartbeats);
      assert.equal(counts.get('whole'), 1);
      assert.equal(counts.get('changes') ?? 0, 0);
      assert.equal(nodesOf(parent).length, below.length + 2);
      child.update([entry('below-9', 1000, { stamp: Stamp.of(1, 2) })], 'leaf', true);
      await waitFor(() => parent.get('below-9')?.stamp.revision === 2);
      assert.equal(counts.get('whole'), 1);
      assert.equal(counts.get('changes'), 1);
      parent.removeVia('child');
      assert.deepEqual(nodesOf(parent), ['parent']);
      await waitFor(() => nodesOf(parent).length === below.length + 2);
      assert.equal(counts.get('whole'), 2);
    } finally {
      clearInterval(renewal);
      uplink.stop();
      await uplink.done;
    }
  });

  const names = Array.from({ length: 610 }, (_none, index) => `proxy-${index}`).sort();
  const connect = async (protocol: number) => {
    const link = await Link.open(server.address, { stamp: () => Stamp.none, age: () => 0 });
    link.send({
      kind: 'hello',
      self: entry(`by-hand-${protocol}`, 1),
      version: '',
      aim: 'session',
      protocol,
    });
    const frames = link.frames();
    const nextRoster = async () => {
      for (;;) {
        const { value } = await frames.next();
        assert.ok(value, 'the link ended');
        if (value.kind === 'roster') return value;
      }
    };
    return { link, nextRoster };
  };
  it('sends of the roster what came and went, and the whole to who asks or knows no changes', async () => {
    roster.set(names);
    const { link, nextRoster } = await connect(Protocol.newest);
    const earlier = await connect(Protocol.none);
    const first = await nextRoster();
    assert.deepEqual([first.proxies, first.added, first.departed], [[], [], []]);
    assert.equal(Roster.after([], first), undefined);
    assert.deepEqual((await earlier.nextRoster()).proxies, names);
    link.send({ kind: 'inquire', what: 'roster' });
    const whole = await nextRoster();
    assert.equal(whole.whole, true);
    assert.deepEqual(whole.proxies, names);
    const next = [...names.slice(1), 'one-more'].sort();
    roster.set(next);
    const change = await nextRoster();
    assert.deepEqual([change.added, change.departed, change.proxies], [['one-more'], [names[0]], []]);
    assert.deepEqual(Roster.after(whole.proxies, change), next);
    assert.equal(Roster.after(names.slice(0, -1), change), undefined);
    assert.deepEqual((await earlier.nextRoster()).proxies, next);
    link.close();
    earlier.link.close();
  });
  it('keeps a roster over sessions, tells each change once, and asks once for the whole when it missed something', async () => {
    const received: (readonly string[])[] = [];
    roster.set(names);
    const uplink = Uplink.run({
      feed: Feed.of(),
      members: tableOf('listener'),
      seeds: [LinkServer.text(server)],
      version: '',
      hasFixedCandidates: true,
      reportsMembers: true,
      onRoster(proxies) {
        received.push(proxies);
        onFrame();
      },
      note: () => {},
    });
    counts.clear();
    try {
      await waitFor(() => received.length === 1);
      assert.deepEqual(received[0], names);
      assert.equal(counts.get('inquire'), 1);
      roster.set(names.slice(1));
      await waitFor(() => received.length === 2);
      assert.deepEqual(received[1], names.slice(1));
      roster.set(names);
      roster.set(names.slice(2));
      await waitFor(() => received.length === 4);
      assert.deepEqual(received[3], names.slice(2));
      assert.equal(counts.get('inquire'), 1);
    } finally {
      uplink.stop();
      await uplink.done;
    }
  });
});
