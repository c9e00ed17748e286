/**
 * Tests of what a backup accepts: nothing from below the epoch that it promised, no snapshot older than the state it
 * holds, and no transfer with a damaged piece or a missing change. It confirms only what it has synced.
 */
import assert from 'node:assert/strict';
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { after, afterEach, beforeEach, describe, it } from 'node:test';
import { Epoch } from '../src/common/epoch.js';
import { Stamp } from '../src/common/stamp.js';
import { Register } from '../src/epoch/register.js';
import type { Term } from '../src/epoch/term.js';
import { Backup } from '../src/replica/backup.js';
import { Payload } from '../src/replica/payload.js';
import { TransferAssembly } from '../src/replica/transfer-assembly.js';
import { File } from '../src/store/file.js';
import { State } from '../src/store/state.js';
import { Store } from '../src/store/store.js';
import type { Frame } from '../src/wire/frame.js';

type Reply = Extract<Frame.Reply, { kind: 'position' | 'appended' }>;

const pieceBytes = 1000;
const folder = mkdtempSync(join(tmpdir(), 'bramblebend-backup-'));
const epoch = Epoch.of(3);
const changeTo = (revision: number): State.Change => ({
  kind: 'platform',
  stamp: Stamp.of(3, revision),
  serial: revision,
  servers: [],
  at: String(revision).repeat(400),
});
const stateAt = (revision: number): State => {
  let state = State.empty;
  for (let next = 1; next <= revision; next += 1) state = State.apply(state, changeTo(next));
  return state;
};
const snapshotAt = (revision: number): Payload => Payload.snapshot(stateAt(revision));
const tailOf = (from: number, to: number, records = to - from): Payload =>
  Payload.tail(
    Stamp.of(3, from),
    Stamp.of(3, to),
    Array.from({ length: records }, (_none, index) => Store.encode(changeTo(from + index + 1))),
  );

describe('a backup', () => {
  let testCount = 0;
  let data: string;
  let store: Store;
  let register: Register;
  let backup: Backup;
  let beforeWrite: () => Promise<void>;

  beforeEach(async () => {
    testCount += 1;
    data = join(folder, String(testCount));
    beforeWrite = async () => {};
    const file = await File.open(data, 'register.log');
    register = await Register.open(file);
    const self = { disk: register.disk, node: 'core-1', wire: '', http: '' };
    const term: Term = { epoch, formed: Epoch.none, primary: 'other', inSync: ['other'], cores: [self] };
    await register.accept({ round: 1, disk: 'other' }, term, true);
    const opened = await Store.open(data);
    store = {
      ...opened,
      async apply(change, previous) {
        await beforeWrite();
        return opened.apply(change, previous);
      },
      async close() {
        await Promise.all([opened.close(), file.close()]);
      },
    };
    backup = Backup.of({ register, store, isLeading: () => false });
  });
  afterEach(() => store.close());
  after(() => rmSync(folder, { recursive: true, force: true }));

  const offer = async ({ previous, target, bytes, digest }: Payload, requestEpoch = epoch) =>
    (await backup.handleOffer({
      kind: 'offer',
      serial: 1,
      epoch: requestEpoch,
      previous,
      target,
      length: bytes.length,
      digest,
    })) as Extract<Reply, { kind: 'position' }>;
  const piece = async (
    { bytes: payload, digest }: Payload,
    offset: number,
    requestEpoch = epoch,
    check = '',
  ) => {
    const bytes = payload.subarray(offset, offset + pieceBytes);
    return (await backup.handlePiece({
      kind: 'piece',
      serial: 1,
      epoch: requestEpoch,
      digest,
      offset,
      bytes,
      check: check || TransferAssembly.digestOf(bytes),
    })) as Extract<Reply, { kind: 'position' }>;
  };
  const sendAll = async (payload: Payload, until = payload.bytes.length) => {
    let { offset } = await offer(payload);
    let last: Reply | undefined;
    while (offset < until) {
      last = await piece(payload, offset);
      offset += pieceBytes;
    }
    return last;
  };
  const append = async (revision: number, requestEpoch = epoch) =>
    (await backup.handleAppend({
      kind: 'append',
      serial: 1,
      epoch: requestEpoch,
      previous: revision === 1 ? Stamp.none : Stamp.of(3, revision - 1),
      record: Store.encode(changeTo(revision)),
      whole: false,
    })) as Reply;

  it('takes a snapshot in one durable write, and the changes since as a tail', async () => {
    const snapshot = snapshotAt(9);
    assert.ok(snapshot.bytes.length > 3 * pieceBytes);
    assert.equal((await sendAll(snapshot, snapshot.bytes.length - pieceBytes))?.isTaken, true);
    assert.deepEqual(store.state(), State.empty, 'nothing is held before the last piece');
    const last = await sendAll(snapshot);
    assert.deepEqual([last?.isTaken, last?.held], [true, Stamp.of(3, 9)]);
    assert.equal((await sendAll(tailOf(9, 14)))?.isTaken, true);
    assert.deepEqual(store.state(), stateAt(14));
    await store.close();
    const reopened = await Store.open(data);
    assert.deepEqual(reopened.state(), stateAt(14));
    await reopened.close();
  });

  it('takes nothing from below the epoch promised, and the transfer under way stays as it was', async () => {
    const snapshot = snapshotAt(9);
    await offer(snapshot);
    await piece(snapshot, 0);
    register.raiseFloor(Epoch.of(4));
    for (const reply of [
      await piece(snapshot, pieceBytes),
      await offer(snapshotAt(12)),
      await append(1),
      await offer({ ...snapshot, digest: '', bytes: Buffer.alloc(0) }),
    ]) {
      assert.deepEqual([reply.isTaken, reply.floor], [false, Epoch.of(4)]);
      assert.deepEqual(reply.held, Stamp.none);
    }
    const resumed = await offer(snapshot, Epoch.of(4));
    assert.deepEqual([resumed.isTaken, resumed.offset], [true, pieceBytes]);
  });

  it('confirms nothing whose write was under way when a higher epoch was promised', async () => {
    beforeWrite = async () => register.raiseFloor(Epoch.of(4));
    const snapshot = await sendAll(snapshotAt(9));
    assert.deepEqual([snapshot?.isTaken, snapshot?.floor], [false, Epoch.of(4)]);
    beforeWrite = async () => register.raiseFloor(Epoch.of(5));
    const appended = await append(10, Epoch.of(4));
    assert.deepEqual([appended.isTaken, appended.floor], [false, Epoch.of(5)]);
  });

  it('takes no snapshot older than what it came to hold meanwhile', async () => {
    const older = snapshotAt(9);
    await sendAll(older, older.bytes.length - pieceBytes);
    for (let revision = 1; revision <= 12; revision += 1)
      assert.equal((await append(revision)).isTaken, true);
    const late = await sendAll(older);
    assert.equal(late?.isTaken, false);
    assert.deepEqual(store.state().stamp, Stamp.of(3, 12));
    assert.match((await offer(older)).why, /newer state is held/);
  });

  it('leaves a transfer alone when pieces or offers of an older one come late', async () => {
    const [older, newer] = [snapshotAt(8), snapshotAt(9)];
    await offer(older);
    await offer(newer);
    await piece(newer, 0);
    assert.equal((await piece(older, 0)).offset, 0);
    assert.match((await offer(older)).why, /newer transfer/);
    assert.equal((await offer(newer)).offset, pieceBytes);
  });

  it('counts no piece that is damaged, out of order or too long', async () => {
    const snapshot = snapshotAt(9);
    await offer(snapshot);
    assert.equal((await piece(snapshot, 0, epoch, 'forged')).offset, 0);
    assert.equal((await piece(snapshot, pieceBytes)).offset, 0);
    const longer = { ...snapshot, bytes: Buffer.concat([snapshot.bytes, snapshot.bytes]) };
    for (let offset = 0; offset < longer.bytes.length; offset += pieceBytes) await piece(longer, offset);
    assert.ok((await offer(snapshot)).offset < snapshot.bytes.length);
    assert.deepEqual(store.state(), State.empty);
  });

  it('takes nothing whose pieces are whole and whose sum is not what was offered', async () => {
    const snapshot = snapshotAt(9);
    const bytes = Buffer.from(snapshot.bytes);
    bytes[2000] = bytes[2000]! ^ 1;
    const last = await sendAll({ ...snapshot, bytes });
    assert.deepEqual([last?.held, last && 'offset' in last && last.offset], [Stamp.none, 0]);
    assert.equal((await sendAll(snapshot))?.isTaken, true);
  });

  it('takes no tail that goes out from another state, or that lacks a change', async () => {
    await sendAll(snapshotAt(5));
    assert.match((await sendAll(tailOf(4, 9)))?.why ?? '', /another state/);
    assert.match((await sendAll(tailOf(5, 9, 3)))?.why ?? '', /another state than was offered/);
    const unordered = [7, 6, 9].map((revision) => Store.encode(changeTo(revision)));
    assert.match(
      (await sendAll(Payload.tail(Stamp.of(3, 5), Stamp.of(3, 9), unordered)))?.why ?? '',
      /follow/,
    );
    assert.deepEqual(store.state(), stateAt(5));
  });
});
