/**
 * Unit tests of the parts of replication: which confirmations count, which members are put in sync, and what a member
 * that is behind is sent.
 */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { Epoch } from '../src/common/epoch.js';
import { Stamp } from '../src/common/stamp.js';
import { Ballot } from '../src/epoch/ballot.js';
import type { Term } from '../src/epoch/term.js';
import { ChangeLog } from '../src/replica/change-log.js';
import { Follower } from '../src/replica/follower.js';
import type { Followers } from '../src/replica/followers.js';
import { InSyncSet } from '../src/replica/in-sync-set.js';
import { Leadership } from '../src/replica/leadership.js';
import type { MemberClient } from '../src/replica/member-client.js';
import { Replication } from '../src/replica/replication.js';
import { TransferSource } from '../src/replica/transfer-source.js';
import { State } from '../src/store/state.js';
import { Store } from '../src/store/store.js';
import { Protocol } from '../src/wire/protocol.js';

const cores = ['a', 'b', 'c', 'd', 'e'].map((disk) => ({ disk, node: disk, wire: disk, http: disk }));
const termOf = (epoch: number, inSync: readonly string[]): Term => ({
  epoch: Epoch.of(epoch),
  formed: Epoch.none,
  primary: 'a',
  inSync,
  cores,
});
const changeTo = (revision: number): State.Change => ({ kind: 'opened', stamp: Stamp.of(1, revision) });
const stateAt = (revision: number): State =>
  Array.from({ length: revision }, (_none, index) => changeTo(index + 1)).reduce(State.apply, State.empty);
const eventLoopTurns = async (count = 20) => {
  for (let turn = 0; turn < count; turn += 1) await new Promise((resolve) => setImmediate(resolve));
};

describe('replication', () => {
  it('counts no confirmation that was asked for under an earlier term', async () => {
    const leadership = Leadership.of('a', termOf(1, ['a', 'b']), Ballot.none);
    const requests: ((epoch: Epoch) => void)[] = [];
    const followers = {
      replicate: () => new Promise<Epoch>((resolve) => void requests.push(resolve)),
      downFor: () => 0,
    } as unknown as Followers;
    const replication = Replication.of({
      leadership,
      followers,
      termChange: { change: async () => false, raiseEpoch: async () => false, announce: async () => {} },
      losses: 1,
      note: () => {},
    });
    let isDone = false;
    const done = replication.replicate(stateAt(1)).then((isLeading) => {
      isDone = isLeading;
    });
    assert.equal(requests.length, 1);
    leadership.adopt(termOf(2, ['a', 'b']), Ballot.none);
    requests[0]!(Epoch.of(1));
    await eventLoopTurns();
    assert.equal(isDone, false);
    assert.equal(requests.length, 2, 'it is asked anew');
    requests[1]!(Epoch.of(2));
    await done;
    assert.equal(isDone, true);
  });

  it('puts in sync only who holds the state, backups before others, and never fewer than must', () => {
    assert.deepEqual(InSyncSet.choose('a', ['b', 'c'], new Set(['c', 'd', 'b']), 2), ['a', 'b', 'c']);
    assert.deepEqual(InSyncSet.choose('a', ['b', 'c'], new Set(['e', 'c']), 2), ['a', 'c', 'e']);
    assert.equal(InSyncSet.choose('a', ['b', 'c'], new Set(['e']), 2), undefined);
    assert.equal(InSyncSet.swap(termOf(1, ['a', 'b']), ['a', 'gone']), undefined);
    assert.equal(InSyncSet.swap(termOf(1, ['a', 'b']), ['a', 'c'])?.epoch, Epoch.of(2));
  });
});

describe('a follower', () => {
  const createFollower = (replies: Partial<MemberClient>, assumedStamp = Stamp.of(1, 1)) => {
    const leadership = Leadership.of('a', termOf(1, ['a', 'b']), Ballot.none);
    const log = ChangeLog.from(Stamp.none);
    for (let revision = 1; revision <= 9; revision += 1) log.add(changeTo(revision));
    const client = { protocol: () => Protocol.transfers, ...replies } as MemberClient;
    const source = TransferSource.of(log);
    const follower = Follower.of({ core: () => cores[1]!, leadership, client, source, assumedStamp });
    return { leadership, follower };
  };
  const appended = (isTaken: boolean, revision: number, floor = 1): MemberClient.Appended => ({
    kind: 'appended',
    serial: 1,
    isTaken,
    held: Stamp.of(1, revision),
    floor: Epoch.of(floor),
    why: isTaken ? '' : 'below the epoch promised',
  });

  it('tells the epoch that a confirmation was asked for under, not the one in force when it came', async () => {
    let resolveAppend: (reply: MemberClient.Appended) => void = () => {};
    const append = () =>
      new Promise<MemberClient.Appended>((resolve) => {
        resolveAppend = resolve;
      });
    const { leadership, follower } = createFollower({ append });
    const replicated = follower.replicate(stateAt(2));
    leadership.adopt(termOf(2, ['a', 'b']), Ballot.none);
    resolveAppend(appended(true, 2));
    assert.equal(await replicated, Epoch.of(1));
    assert.equal(follower.confirmed(Epoch.of(2)), undefined);
    assert.deepEqual(follower.confirmed(Epoch.of(1)), Stamp.of(1, 2));
  });

  it('confirms nothing where the member has promised a higher epoch, and tells the leadership of it', async () => {
    const { leadership, follower } = createFollower({ append: async () => appended(false, 1, 7) });
    await assert.rejects(follower.replicate(stateAt(2)), /did not take it/);
    assert.equal(leadership.promised(), Epoch.of(7));
    const above = createFollower({ append: async () => appended(true, 2, 7) });
    await assert.rejects(above.follower.replicate(stateAt(2)), /did not take it/);
    assert.equal(above.follower.confirmed(Epoch.of(1)), undefined);
  });

  it('goes by what the member tells, where its disk came back behind what it was taken to hold', async () => {
    let held = 2;
    const appends: number[] = [];
    const position = (): MemberClient.Position => ({
      kind: 'position',
      serial: 1,
      isTaken: true,
      held: Stamp.of(1, held),
      floor: Epoch.of(1),
      why: '',
      offset: 0,
      isWriting: false,
    });
    const { follower } = createFollower(
      {
        async append(_epoch, previous) {
          appends.push(previous.revision);
          if (appends.length > 1) throw new Error('the same change is sent in vain');
          return appended(previous.revision === held, held);
        },
        offer: async () => position(),
        async piece(_epoch, { previous, target }) {
          assert.deepEqual(previous, Stamp.of(1, 2), 'all changes since what it holds');
          assert.equal(follower.confirmed(Epoch.of(1))?.revision, 2, 'not counted before it has caught up');
          held = target.revision;
          return position();
        },
      },
      Stamp.of(1, 3),
    );
    await follower.replicate(stateAt(4));
    assert.deepEqual(appends, [3]);
    assert.deepEqual([held, follower.confirmed(Epoch.of(1))], [4, Stamp.of(1, 4)]);
  });
});

describe('what a member is sent', () => {
  const logTo = (revision: number, first = Stamp.none) => {
    const log = ChangeLog.from(first);
    for (let next = first.revision + 1; next <= revision; next += 1) log.add(changeTo(next));
    return log;
  };

  it('is the one change that it lacks, or all changes since, in their order', () => {
    const source = TransferSource.of(logTo(9));
    const one = source.next(Stamp.of(1, 8), stateAt(9));
    assert.ok(one.kind === 'change');
    assert.deepEqual(Store.decode(one.record), changeTo(9));
    const many = source.next(Stamp.of(1, 4), stateAt(9));
    assert.ok(many.kind === 'transfer');
    assert.deepEqual(many.payload.previous, Stamp.of(1, 4));
    assert.deepEqual(many.payload.target, Stamp.of(1, 9));
  });
  it('is a snapshot where the changes since are not at hand, the same one for all that need it', () => {
    const log = logTo(9, Stamp.of(1, 3));
    const source = TransferSource.of(log);
    for (const held of [Stamp.of(1, 2), Stamp.of(0, 9)]) {
      const next = source.next(held, stateAt(9));
      assert.ok(next.kind === 'transfer');
      assert.equal(next.payload.previous, null);
      assert.deepEqual(Store.decode(next.payload.bytes), {
        kind: 'whole',
        stamp: Stamp.of(1, 9),
        state: stateAt(9),
      });
    }
    log.add(changeTo(10));
    const later = source.next(Stamp.of(1, 1), stateAt(10));
    assert.deepEqual(later.kind === 'transfer' && later.payload.target, Stamp.of(1, 9));
    assert.deepEqual(log.between(Stamp.of(1, 9), Stamp.of(1, 10))?.length, 1);
  });
  it('is nothing between states in the wrong order, or of which one is unknown', () => {
    const log = logTo(9);
    assert.equal(log.between(Stamp.of(1, 9), Stamp.of(1, 4)), undefined);
    assert.equal(log.between(Stamp.of(1, 5), Stamp.of(1, 3)), undefined);
    assert.equal(log.between(Stamp.of(2, 4), Stamp.of(1, 9)), undefined);
    assert.deepEqual(log.between(Stamp.of(1, 4), Stamp.of(1, 4)), []);
  });
});
