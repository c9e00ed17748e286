/**
 * The backup side of replication: writes what the primary sends, in order and synced, and rejects everything from below
 * the promised epoch. The epoch is checked again after the sync, so that nothing is confirmed to a primary that was
 * superseded in the meantime. A full state older than the one held was delayed in transit and is rejected, because the
 * primary may rely on what came after it. Only synced states are reported as held.
 */

import { Epoch } from '../common/epoch.js';
import { Failure } from '../common/failure.js';
import { Mutex } from '../common/mutex.js';
import { Stamp } from '../common/stamp.js';
import type { Register } from '../epoch/register.js';
import type { State } from '../store/state.js';
import { Store } from '../store/store.js';
import type { Frame } from '../wire/frame.js';
import { Payload } from './payload.js';
import { TransferAssembly } from './transfer-assembly.js';
import type { TransferMeter } from './transfer-meter.js';

/** Handles the primary's replication requests to a member. */
export type Backup = {
  /** Writes one change, or a full state in one frame, as primaries of earlier versions send it. */
  readonly handleAppend: (frame: Extract<Frame.Request, { kind: 'append' }>) => Promise<Frame.Reply>;
  /**
   * Reports the state held and the offset at which the offered transfer resumes. Rejected only by epoch fencing, and
   * answered at once, without waiting for a write in progress.
   */
  readonly handleOffer: (frame: Extract<Frame.Request, { kind: 'offer' }>) => Promise<Frame.Reply>;
  /** Receives one piece of a transfer; with the last piece, writes the complete transfer. */
  readonly handlePiece: (frame: Extract<Frame.Request, { kind: 'piece' }>) => Promise<Frame.Reply>;
};

/** Types of the backup. */
export declare namespace Backup {
  /** What a backup is built from. */
  type Options = {
    readonly register: Register;
    readonly store: Store;
    readonly isLeading: () => boolean;
    /** Counts the transfers received, if given. */
    readonly meter?: TransferMeter;
  };
}

/** Epoch fencing: rejects requests of superseded primaries and promises the epochs of all others. */
const createFence = ({ register, isLeading }: Backup.Options) => {
  const isBelow = (epoch: Epoch) => epoch < register.floor();
  const belowPromise = 'below the epoch promised';
  return {
    /** The reason to reject a request under this epoch; if there is none, the epoch is promised. */
    reject(epoch: Epoch): string | undefined {
      if (isBelow(epoch)) return belowPromise;
      if (register.isBlank()) return 'this core is blank';
      if (isLeading()) return 'this core leads';
      register.raiseFloor(epoch);
      return undefined;
    },
    /** The reason why a write that has been synced may no longer be confirmed, if any. */
    rejectAfterWrite: (epoch: Epoch): string | undefined => (isBelow(epoch) ? belowPromise : undefined),
  };
};

/** Serializes writes to the store and tracks whether one is in progress. */
const createWriter = (store: Store) => {
  const turns = Mutex.of();
  let activeWrites = 0;
  return {
    isWriting: () => activeWrites > 0,
    runExclusive: turns.runExclusive,
    /** Resolves with the reason if the change could not be synced, else with undefined. */
    async write(change: State.Change, previous?: Stamp): Promise<string | undefined> {
      activeWrites += 1;
      try {
        await store.apply(change, previous);
        return undefined;
      } catch (error) {
        return Failure.text(error);
      } finally {
        activeWrites -= 1;
      }
    },
  };
};

/** Assembles transfers and applies each in one durable write. */
const createReceiver = (
  { store, meter }: Backup.Options,
  fence: ReturnType<typeof createFence>,
  writer: ReturnType<typeof createWriter>,
) => {
  const assembly = TransferAssembly.of();
  const apply = (completed: TransferAssembly.Completed, epoch: Epoch): Promise<string | undefined> =>
    writer.runExclusive(async () => {
      const { previous, target } = completed.transfer;
      const held = store.state();
      const rejection = fence.reject(epoch);
      if (rejection) return rejection;
      if (!Stamp.isNewer(target, held.stamp)) return 'a newer state is held';
      if (previous && !Stamp.isSame(previous, held.stamp)) return 'another state is held';
      const state = Payload.apply(held, completed);
      const failure = await writer.write({ kind: 'whole', stamp: state.stamp, state }, held.stamp);
      if (!failure) meter?.recordApplied(previous ? 'tail' : 'snapshot');
      return failure ?? fence.rejectAfterWrite(epoch);
    });
  return {
    offset: assembly.offset,
    offer: (transfer: TransferAssembly.Transfer): string | undefined => {
      if (!Stamp.isNewer(transfer.target, store.state().stamp)) return 'a newer state is held';
      return assembly.begin(transfer) ? undefined : 'a newer transfer is under way';
    },
    async receive(piece: Extract<Frame.Request, { kind: 'piece' }>): Promise<string | undefined> {
      const previousOffset = assembly.offset(piece.digest);
      assembly.add(piece);
      meter?.recordReceived(Math.max(0, assembly.offset(piece.digest) - previousOffset));
      const completed = assembly.completed();
      if (completed?.transfer.digest !== piece.digest) return undefined;
      assembly.discard(piece.digest);
      try {
        return await apply(completed, Epoch.of(piece.epoch));
      } catch (error) {
        return Failure.text(error);
      }
    },
  };
};

/** Creates the backup of a core. */
export const Backup = {
  /** A backup that writes to the given store and promises epochs in the given register. */
  of(options: Backup.Options): Backup {
    const { register, store } = options;
    const fence = createFence(options);
    const writer = createWriter(store);
    const receiver = createReceiver(options, fence, writer);
    const status = (serial: number, rejection: string | undefined) => ({
      serial,
      isTaken: rejection === undefined,
      held: store.state().stamp,
      floor: register.floor(),
      why: rejection ?? '',
    });
    const append = async (frame: Extract<Frame.Request, { kind: 'append' }>): Promise<string | undefined> => {
      const epoch = Epoch.of(frame.epoch);
      const rejection = fence.reject(epoch);
      if (rejection) return rejection;
      if (!frame.whole && !Stamp.isSame(frame.previous, store.state().stamp)) return 'another state is held';
      const change = Store.decode(frame.record);
      if (frame.whole && Stamp.isNewer(store.state().stamp, change.stamp)) return 'a newer state is held';
      const failure = await writer.write(change, frame.whole ? undefined : frame.previous);
      return failure ?? fence.rejectAfterWrite(epoch);
    };
    const position = (serial: number, digest: string, rejection: string | undefined) => ({
      kind: 'position' as const,
      ...status(serial, rejection),
      offset: receiver.offset(digest),
      isWriting: writer.isWriting(),
    });
    return {
      handleAppend: (frame) =>
        writer.runExclusive(async () => {
          const rejection = await append(frame);
          return { kind: 'appended', ...status(frame.serial, rejection) };
        }),
      async handleOffer(frame) {
        const rejection = fence.reject(Epoch.of(frame.epoch));
        const mayStart = rejection === undefined && frame.length > 0 && !writer.isWriting();
        const offerRejection = mayStart ? receiver.offer(frame) : undefined;
        const reply = position(frame.serial, frame.digest, rejection);
        return offerRejection === undefined ? reply : { ...reply, why: offerRejection };
      },
      async handlePiece(frame) {
        const rejection = fence.reject(Epoch.of(frame.epoch));
        const outcome = rejection ?? (await receiver.receive(frame));
        return position(frame.serial, frame.digest, outcome);
      },
    };
  },
};
