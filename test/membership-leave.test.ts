// The slot of a core that leaves goes to a newcomer that waits, also to one that is not in touch with the primary yet;
// one that asked long ago, or has a slot, holds nobody up.
import assert from 'node:assert/strict';
import { afterEach, beforeEach, describe, it } from 'node:test';
import type { Term } from '../src/epoch/term.js';
import { MembershipChange } from '../src/replica/membership-change.js';
import type { Frame } from '../src/wire/frame.js';
import { ManualClock } from './manual-clock.js';

const coreOf = (disk: string): Frame.Core =>
  ({ disk, node: disk, wire: `${disk}:1`, http: '' }) as Frame.Core;

const primaryOfThree = () => {
  let term = {
    epoch: 1,
    formed: 1,
    primary: 'a',
    inSync: ['a', 'b'],
    cores: ['a', 'b', 'c'].map(coreOf),
  } as unknown as Term;
  const inTouch = new Set(['b', 'c']);
  const needs = {
    leadership: { disk: 'a', mustLead: () => undefined, term: () => term, backups: () => ['b'] },
    termChange: {
      change: async (next: (base: Term) => Term) => {
        term = next(term);
        return true;
      },
      announce: async () => undefined,
    },
    followers: { downFor: ({ disk }: Frame.Core) => (inTouch.has(disk) ? 0 : Number.POSITIVE_INFINITY) },
    losses: 1,
    replaceBackups: async () => undefined,
    swapOut: async () => undefined,
  } as unknown as Parameters<typeof MembershipChange.of>[0];
  return {
    membership: MembershipChange.of(needs),
    inTouch,
    disks: () => term.cores.map(({ disk }) => disk),
  };
};

describe('a core that leaves', () => {
  let clock: ManualClock;
  beforeEach(() => {
    clock = ManualClock.install();
  });
  afterEach(() => clock.uninstall());

  it('gives its slot to a newcomer once that is in touch, and is held until then', async () => {
    const { membership, inTouch, disks } = primaryOfThree();
    assert.equal(await membership.join(coreOf('d')), 'all cores are alive');
    assert.match(await membership.leave(coreOf('c'), null), /not in touch yet/);
    inTouch.add('d');
    assert.equal(await membership.leave(coreOf('c'), null), '');
    assert.deepEqual(disks(), ['a', 'b', 'd']);
  });
  it('tells of a newcomer that is not in touch yet, for the next primary to wait for', async () => {
    const { membership } = primaryOfThree();
    await membership.join(coreOf('d'));
    assert.equal(membership.joiningCore()?.disk, 'd');
    const { membership: next, inTouch, disks } = primaryOfThree();
    assert.match(await next.leave(coreOf('c'), coreOf('d')), /not in touch yet/);
    inTouch.add('d');
    assert.equal(await next.leave(coreOf('c'), coreOf('d')), '');
    assert.deepEqual(disks(), ['a', 'b', 'd']);
  });
  it('prefers a newcomer that is in touch', async () => {
    const { membership, inTouch, disks } = primaryOfThree();
    await membership.join(coreOf('d'));
    await membership.join(coreOf('e'));
    inTouch.add('e');
    assert.equal(await membership.leave(coreOf('c'), null), '');
    assert.deepEqual(disks(), ['a', 'b', 'e']);
  });
  it('keeps its slot where none waits, or the one that waited has not asked for two seconds', async () => {
    const { membership, disks } = primaryOfThree();
    assert.equal(await membership.leave(coreOf('c'), null), '');
    await membership.join(coreOf('d'));
    clock.advance(2001);
    assert.equal(await membership.leave(coreOf('c'), null), '');
    assert.deepEqual(disks(), ['a', 'b', 'c']);
  });
});
