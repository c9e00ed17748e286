// What a transfer carries: a snapshot, which is one record of a whole state, or a tail, which is the records of
// the changes since a state that the receiver holds. The digest names the payload.
import { Failure } from '../common/failure.js';
import { Stamp } from '../common/stamp.js';
import { State } from '../store/state.js';
import { Store } from '../store/store.js';
import { Assembly } from './assembly.js';

/** The bytes of a transfer and the state that they lead to. */
export type Payload = {
  /** The state that a tail goes out from; null for a snapshot. */
  readonly previous: Stamp | null;
  readonly target: Stamp;
  readonly bytes: Uint8Array;
  readonly digest: string;
};

const lengthBytes = 4;

const join = (records: readonly Uint8Array[]): Buffer => {
  const parts = records.flatMap((record) => {
    const length = Buffer.alloc(lengthBytes);
    length.writeUInt32BE(record.length);
    return [length, record];
  });
  return Buffer.concat(parts);
};

const split = (bytes: Buffer): Buffer[] => {
  const records: Buffer[] = [];
  for (let at = 0; at < bytes.length; ) {
    const end = at + lengthBytes + bytes.readUInt32BE(at);
    if (end > bytes.length) throw Failure.of('frame', 'a tail cut short', { length: bytes.length });
    records.push(bytes.subarray(at + lengthBytes, end));
    at = end;
  }
  return records;
};

const make = (previous: Stamp | null, target: Stamp, bytes: Uint8Array): Payload => ({
  previous,
  target,
  bytes,
  digest: Assembly.digestOf(bytes),
});

export const Payload = {
  snapshot: (state: State): Payload =>
    make(null, state.stamp, Store.encode({ kind: 'whole', stamp: state.stamp, state })),
  /** Records as `Store.encode` makes them, in the order of their changes. */
  tail: (previous: Stamp, target: Stamp, records: readonly Uint8Array[]): Payload =>
    make(previous, target, join(records)),
  /** The state that the payload leads to from the state held; throws where it is not what was offered. */
  apply(held: State, { transfer, bytes }: Assembly.Finished): State {
    const records = transfer.previous ? split(bytes) : [bytes];
    const changes = records.map((record) => Store.decode(record));
    let state = held;
    for (const change of changes) {
      const isWhole = change.kind === 'whole';
      const isInOrder = Stamp.isNewer(change.stamp, state.stamp);
      if (isWhole !== (transfer.previous === null) || !isInOrder)
        throw Failure.of('frame', 'a transfer that does not follow the state held');
      state = State.apply(state, change);
    }
    if (!Stamp.isSame(state.stamp, transfer.target))
      throw Failure.of('frame', 'a transfer that leads to another state than was offered');
    return state;
  },
};
