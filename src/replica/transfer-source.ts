/**
 * Selects what to send next to a member that is behind: one change, a tail of changes, or a snapshot, whichever is
 * shorter. Members that need a snapshot at the same time share one.
 */
import { Stamp } from '../common/stamp.js';
import type { State } from '../store/state.js';
import type { ChangeLog } from './change-log.js';
import { Payload } from './payload.js';

/** Selects and encodes what the primary sends. */
export type TransferSource = {
  /** What brings a member that holds `held` to the target state, or at least closer to it. */
  readonly next: (held: Stamp, target: State) => TransferSource.Next;
  /** The full state as one record, for members that do not support transfers. */
  readonly snapshotRecord: (state: State) => Uint8Array;
};

/** Types of the transfer source. */
export declare namespace TransferSource {
  /** One change for a single frame, or a payload to transfer in pieces. */
  type Next =
    | {
        readonly kind: 'change';
        readonly previous: Stamp;
        readonly target: Stamp;
        readonly record: Uint8Array;
      }
    | { readonly kind: 'transfer'; readonly payload: Payload };
}

/** A longer change is sent in pieces, because in one frame it would delay votes on the same link. */
const maxSingleFrameBytes = 128 * 1024;

const totalLength = (records: readonly Uint8Array[]): number =>
  records.reduce((sum, record) => sum + record.length, 0);

/** Creates transfer sources. */
export const TransferSource = {
  /** A source that takes changes from the log and has no snapshot yet. */
  of(log: ChangeLog): TransferSource {
    let snapshot: Payload | undefined;
    /** The last snapshot if the log holds the changes since then, else a new one. */
    const snapshotFor = (held: Stamp, target: State): Payload => {
      const isUsable =
        snapshot &&
        Stamp.isNewer(snapshot.target, held) &&
        log.between(snapshot.target, target.stamp) !== undefined;
      if (!isUsable) snapshot = Payload.snapshot(target);
      return snapshot!;
    };
    return {
      snapshotRecord(state) {
        if (!snapshot || !Stamp.isSame(snapshot.target, state.stamp)) snapshot = Payload.snapshot(state);
        return snapshot.bytes;
      },
      next(held, target) {
        const records = log.between(held, target.stamp);
        if (records?.length === 1 && records[0]!.length <= maxSingleFrameBytes)
          return { kind: 'change', previous: held, target: target.stamp, record: records[0]! };
        if (records && totalLength(records) <= (snapshot?.bytes.length ?? maxSingleFrameBytes))
          return { kind: 'transfer', payload: Payload.tail(held, target.stamp, records) };
        const shared = snapshotFor(held, target);
        const isTailShorter = records && totalLength(records) <= shared.bytes.length;
        return {
          kind: 'transfer',
          payload: isTailShorter ? Payload.tail(held, target.stamp, records) : shared,
        };
      },
    };
  },
};
