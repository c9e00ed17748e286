/**
 * The content of a transfer: a snapshot, which is one record of a full state, or a tail, which is the records of the
 * changes since a state that the receiver holds. The digest identifies the payload.
 */
import { Failure } from '../common/failure.js';
import { Stamp } from '../common/stamp.js';
import { State } from '../store/state.js';
import { Store } from '../store/store.js';
import { TransferAssembly } from './transfer-assembly.js';

/** The bytes of a transfer and the state that they produce. */
export type Payload = {
  /** The state that a tail applies to; null for a snapshot. */
  readonly previous: Stamp | null;
  readonly target: Stamp;
  readonly bytes: Uint8Array;
  readonly digest: string;
};

const lengthPrefixBytes = 4;

/** Concatenates records, each with a length prefix. */
const join = (records: readonly Uint8Array[]): Buffer => {
  const parts = records.flatMap((record) => {
    const length = Buffer.alloc(lengthPrefixBytes);
    length.writeUInt32BE(record.length);
    return [length, record];
  });
  return Buffer.concat(parts);
};

/** The inverse of `join`. */
const split = (bytes: Buffer): Buffer[] => {
  const records: Buffer[] = [];
  for (let at = 0; at < bytes.length; ) {
    const end = at + lengthPrefixBytes + bytes.readUInt32BE(at);
    if (end > bytes.length) throw Failure.of('frame', 'truncated tail', { length: bytes.length });
    records.push(bytes.subarray(at + lengthPrefixBytes, end));
    at = end;
  }
  return records;
};

const create = (previous: Stamp | null, target: Stamp, bytes: Uint8Array): Payload => ({
  previous,
  target,
  bytes,
  digest: TransferAssembly.digestOf(bytes),
});

/** Builds and applies payloads. */
export const Payload = {
  /** A payload of the full state. */
  snapshot: (state: State): Payload =>
    create(null, state.stamp, Store.encode({ kind: 'whole', stamp: state.stamp, state })),
  /** A payload of records as encoded by `Store.encode`, in the order of their changes. */
  tail: (previous: Stamp, target: Stamp, records: readonly Uint8Array[]): Payload =>
    create(previous, target, join(records)),
  /** The state that results from applying the payload to the state held; throws if it differs from the offer. */
  apply(held: State, { transfer, bytes }: TransferAssembly.Completed): State {
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
