/**
 * Choice of the parent node: a node that left the control node of its own zone because that one's data was stale returns
 * to it once it is connected elsewhere; a node that never connected to one in its own zone stays where it is.
 */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { Stamp } from '../src/common/stamp.js';
import { Downlink } from '../src/membership/downlink.js';
import { MemberTable } from '../src/membership/member-table.js';
import { ParentCandidates } from '../src/membership/parent-candidates.js';
import { Uplink } from '../src/membership/uplink.js';
import { Feed } from '../src/news/feed.js';
import { LinkServer } from '../src/wire/link-server.js';
import { ParentKit } from './parent-kit.js';

const rollOf = (node: string, program: string, zone: string) =>
  MemberTable.of(() => ({
    node,
    program,
    zone,
    boot: node,
    stamp: Stamp.none,
    http: '',
    wire: '',
    ops: '',
    depth: 0,
    ready: true,
    vouched: false,
  }));

describe('a nearer parent', () => {
  it('in the own zone is returned to after it was left because its data was stale', async () => {
    const ages = { near: 60_000, far: 0 };
    const open = async (node: 'near' | 'far', zone: string) => {
      const roll = rollOf(node, 'control', zone);
      const age = () => ages[node];
      const feed = Feed.of();
      return LinkServer.open({
        address: { host: '127.0.0.1', port: 0 },
        stamp: feed.stamp,
        age,
        note: () => {},
        serve: (link, hello, frames) =>
          Downlink.serve(link, hello, frames, ParentKit.needs(feed, roll, { age })),
      });
    };
    const near = await open('near', 'a-1');
    const far = await open('far', 'b-1');
    const parents: string[] = [];
    let isBack: () => void = () => {};
    const back = new Promise<void>((resolve) => {
      isBack = resolve;
    });
    const uplink = Uplink.run({
      feed: Feed.of(),
      members: rollOf('agent', 'agent', 'a-1'),
      seeds: [LinkServer.text(near), LinkServer.text(far)],
      version: '',
      reportsMembers: true,
      onParent({ node }) {
        parents.push(node);
        if (node === 'far') ages.near = 0;
        if (node === 'near' && parents.includes('far')) isBack();
      },
      note: () => {},
    });
    try {
      await back;
      assert.ok(parents.includes('far'));
      assert.equal(parents.at(-1), 'near');
    } finally {
      uplink.stop();
      await uplink.done;
      await Promise.all([near.close(), far.close()]);
    }
  });

  it('is sought only when one in the own zone was connected before, and is then dialled first', () => {
    const seeds = ['10.0.0.1:1', '10.0.0.2:1', '10.0.0.3:1'];
    const places = ParentCandidates.of(seeds, 'node', false);
    const isNear = (zone: string) => zone === 'a-1';
    places.recordZone('10.0.0.2:1', 'b-1');
    assert.equal(places.preferNearer('10.0.0.2:1', isNear), false);
    places.recordZone('10.0.0.3:1', 'a-1');
    assert.equal(places.preferNearer('10.0.0.3:1', isNear), false);
    places.markFailed('10.0.0.3:1');
    assert.equal(places.preferNearer('10.0.0.2:1', isNear), true);
    assert.equal(places.next()[0], '10.0.0.3:1');
  });
});
