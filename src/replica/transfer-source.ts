// What a member that stands behind is sent next: one change, a tail of changes, or a snapshot, whichever is
// shorter. Members that need a snapshot at the same time share one.
import { Stamp } from '../common/stamp.js';
import type { State } from '../store/state.js';
import type { ChangeLog } from './change-log.js';
import { Payload } from './payload.js';

/** The primary's choice of what to send. */
export type TransferSource = {
  /** What leads a member that holds `held` to the target state, or at least nearer to it. */
  readonly next: (held: Stamp, target: State) => TransferSource.Next;
  /** The whole state as one record, for members that know no transfers. */
  readonly whole: (state: State) => Uint8Array;
};

export declare namespace TransferSource {
  type Next =
    | {
        readonly kind: 'change';
        readonly previous: Stamp;
        readonly target: Stamp;
        readonly record: Uint8Array;
      }
    | { readonly kind: 'transfer'; readonly payload: Payload };
}

/** A change up to this length goes out in one frame; a longer one would hold up votes on the same link. */
const longestInOneFrame = 128 * 1024;

const lengthOf = (records: readonly Uint8Array[]): number =>
  records.reduce((sum, record) => sum + record.length, 0);

export const TransferSource = {
  of(log: ChangeLog): TransferSource {
    let snapshot: Payload | undefined;
    /** The last snapshot made, where the changes since are at hand; else a new one. */
    const snapshotFor = (held: Stamp, target: State): Payload => {
      const isUsable =
        snapshot &&
        Stamp.isNewer(snapshot.target, held) &&
        log.between(snapshot.target, target.stamp) !== undefined;
      if (!isUsable) snapshot = Payload.snapshot(target);
      return snapshot!;
    };
    return {
      whole(state) {
        if (!snapshot || !Stamp.isSame(snapshot.target, state.stamp)) snapshot = Payload.snapshot(state);
        return snapshot.bytes;
      },
      next(held, target) {
        const records = log.between(held, target.stamp);
        if (records?.length === 1 && records[0]!.length <= longestInOneFrame)
          return { kind: 'change', previous: held, target: target.stamp, record: records[0]! };
        if (records && lengthOf(records) <= (snapshot?.bytes.length ?? longestInOneFrame))
          return { kind: 'transfer', payload: Payload.tail(held, target.stamp, records) };
        const whole = snapshotFor(held, target);
        const isTailShorter = records && lengthOf(records) <= whole.bytes.length;
        return {
          kind: 'transfer',
          payload: isTailShorter ? Payload.tail(held, target.stamp, records) : whole,
        };
      },
    };
  },
};
