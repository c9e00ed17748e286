// The backup's side of replication: take what the primary sends, in order and synced, and refuse all that comes
// from below the epoch promised. The epoch is looked at again after the sync, so that nothing is confirmed to a
// primary that lost its place meanwhile. A whole state older than the one held was held up on its way: it is
// refused, for the primary may count on what came after it. Only synced states are told as held.
import type { Register } from '../epoch/register.js';
import { Epoch } from '../kinds/epoch.js';
import { Failure } from '../kinds/failure.js';
import { Stamp } from '../kinds/stamp.js';
import { Turns } from '../kinds/turns.js';
import type { State } from '../store/state.js';
import { Store } from '../store/store.js';
import type { Frame } from '../wire/frame.js';
import { Assembly } from './assembly.js';
import { Payload } from './payload.js';
import type { TransferMeter } from './transfer-meter.js';

/** Answers the primary's requests to a member. */
export type Backup = {
  /** Takes one change, or a whole state in one frame as primaries of earlier programs send it. */
  readonly take: (frame: Extract<Frame.Request, { kind: 'append' }>) => Promise<Frame.Reply>;
  /** Tells which state is held and where the transfer offered goes on; refused only by the fence, and never late. */
  readonly locate: (frame: Extract<Frame.Request, { kind: 'offer' }>) => Promise<Frame.Reply>;
  /** Takes one piece of a transfer, and with the last one the whole of it. */
  readonly receive: (frame: Extract<Frame.Request, { kind: 'piece' }>) => Promise<Frame.Reply>;
};

export declare namespace Backup {
  type Needs = {
    readonly register: Register;
    readonly store: Store;
    readonly isLeading: () => boolean;
    readonly meter?: TransferMeter;
  };
}

/** Refuses requests of primaries that lost their place, and promises the epochs of the others. */
const fenceOf = ({ register, isLeading }: Backup.Needs) => {
  const isBelow = (epoch: Epoch) => epoch < register.floor();
  const below = 'below the epoch promised';
  return {
    /** Why a request under this epoch may not be taken; otherwise its epoch is promised. */
    refuse(epoch: Epoch): string | undefined {
      if (isBelow(epoch)) return below;
      if (register.isBlank()) return 'this core is blank';
      if (isLeading()) return 'this core leads';
      register.raiseFloor(epoch);
      return undefined;
    },
    /** Why something synced meanwhile may not be confirmed any more. */
    refuseAfter: (epoch: Epoch): string | undefined => (isBelow(epoch) ? below : undefined),
  };
};

/** Writes to the store, one at a time, and whether one is under way. */
const writerOf = (store: Store) => {
  const turns = Turns.of();
  let writes = 0;
  return {
    isWriting: () => writes > 0,
    inTurn: turns.take,
    /** Resolves with the reason where the change could not be synced. */
    async write(change: State.Change, previous?: Stamp): Promise<string | undefined> {
      writes += 1;
      try {
        await store.apply(change, previous);
        return undefined;
      } catch (error) {
        return Failure.text(error);
      } finally {
        writes -= 1;
      }
    },
  };
};

/** Puts transfers together and takes each in one durable write. */
const receiverOf = (
  { store, meter }: Backup.Needs,
  fence: ReturnType<typeof fenceOf>,
  writer: ReturnType<typeof writerOf>,
) => {
  const assembly = Assembly.of();
  const take = (finished: Assembly.Finished, epoch: Epoch): Promise<string | undefined> =>
    writer.inTurn(async () => {
      const { previous, target } = finished.transfer;
      const held = store.state();
      const refusal = fence.refuse(epoch);
      if (refusal) return refusal;
      if (!Stamp.isNewer(target, held.stamp)) return 'a newer state is held';
      if (previous && !Stamp.isSame(previous, held.stamp)) return 'another state is held';
      const state = Payload.apply(held, finished);
      const why = await writer.write({ kind: 'whole', stamp: state.stamp, state }, held.stamp);
      if (!why) meter?.taken(previous ? 'tail' : 'snapshot');
      return why ?? fence.refuseAfter(epoch);
    });
  return {
    offset: assembly.offset,
    offer: (transfer: Assembly.Transfer): string | undefined => {
      if (!Stamp.isNewer(transfer.target, store.state().stamp)) return 'a newer state is held';
      return assembly.begin(transfer) ? undefined : 'a newer transfer is under way';
    },
    async receive(piece: Extract<Frame.Request, { kind: 'piece' }>): Promise<string | undefined> {
      const before = assembly.offset(piece.digest);
      assembly.add(piece);
      meter?.received(Math.max(0, assembly.offset(piece.digest) - before));
      const finished = assembly.finished();
      if (finished?.transfer.digest !== piece.digest) return undefined;
      assembly.end(piece.digest);
      try {
        return await take(finished, Epoch.of(piece.epoch));
      } catch (error) {
        return Failure.text(error);
      }
    },
  };
};

export const Backup = {
  of(needs: Backup.Needs): Backup {
    const { register, store } = needs;
    const fence = fenceOf(needs);
    const writer = writerOf(store);
    const receiver = receiverOf(needs, fence, writer);
    const standing = (serial: number, why: string | undefined) => ({
      serial,
      isTaken: why === undefined,
      held: store.state().stamp,
      floor: register.floor(),
      why: why ?? '',
    });
    const append = async (frame: Extract<Frame.Request, { kind: 'append' }>): Promise<string | undefined> => {
      const epoch = Epoch.of(frame.epoch);
      const refusal = fence.refuse(epoch);
      if (refusal) return refusal;
      if (!frame.whole && !Stamp.isSame(frame.previous, store.state().stamp)) return 'another state is held';
      const change = Store.decode(frame.record);
      if (frame.whole && Stamp.isNewer(store.state().stamp, change.stamp)) return 'a newer state is held';
      const why = await writer.write(change, frame.whole ? undefined : frame.previous);
      return why ?? fence.refuseAfter(epoch);
    };
    const position = (serial: number, digest: string, why: string | undefined) => ({
      kind: 'position' as const,
      ...standing(serial, why),
      offset: receiver.offset(digest),
      isWriting: writer.isWriting(),
    });
    return {
      take: (frame) =>
        writer.inTurn(async () => {
          const why = await append(frame);
          return { kind: 'appended', ...standing(frame.serial, why) };
        }),
      async locate(frame) {
        const refusal = fence.refuse(Epoch.of(frame.epoch));
        const mayBegin = refusal === undefined && frame.length > 0 && !writer.isWriting();
        const unwanted = mayBegin ? receiver.offer(frame) : undefined;
        const reply = position(frame.serial, frame.digest, refusal);
        return unwanted === undefined ? reply : { ...reply, why: unwanted };
      },
      async receive(frame) {
        const refusal = fence.refuse(Epoch.of(frame.epoch));
        const why = refusal ?? (await receiver.receive(frame));
        return position(frame.serial, frame.digest, why);
      },
    };
  },
};
