// The backup's side of replication: take what the primary sends, in order and synced, and drop all that
// comes from below the epoch promised. The epoch is looked at again after the sync, so that nothing is
// confirmed to a primary that lost its place meanwhile. A whole state that is older than the one held was
// held up on its way: it is dropped, for the primary may count on what came after it.
import type { Register } from '../epoch/register.js';
import { Epoch } from '../kinds/epoch.js';
import { Failure } from '../kinds/failure.js';
import { Stamp } from '../kinds/stamp.js';
import { Turns } from '../kinds/turns.js';
import { Store } from '../store/store.js';
import type { Frame } from '../wire/frame.js';

export type Backup = {
  readonly take: (frame: Extract<Frame.Request, { kind: 'append' }>) => Promise<Frame.Reply>;
};

export const Backup = {
  of(needs: {
    readonly register: Register;
    readonly store: Store;
    readonly isLeading: () => boolean;
  }): Backup {
    const { register, store } = needs;
    const turns = Turns.of();
    return {
      take: (frame) =>
        turns.take(async () => {
          const reply = (isTaken: boolean, why = ''): Frame.Reply => ({
            kind: 'appended',
            serial: frame.serial,
            isTaken,
            held: store.state().stamp,
            floor: register.floor(),
            why,
          });
          const epoch = Epoch.of(frame.epoch);
          if (epoch < register.floor()) return reply(false, 'below the epoch promised');
          if (register.isBlank()) return reply(false, 'this core is blank');
          if (needs.isLeading()) return reply(false, 'this core leads');
          register.raise(epoch);
          if (!frame.whole && !Stamp.isSame(frame.previous, store.state().stamp))
            return reply(false, 'another state is held');
          const change = Store.decode(frame.record);
          if (frame.whole && Stamp.isNewer(store.state().stamp, change.stamp))
            return reply(false, 'a newer state is held');
          try {
            await store.take(change, frame.whole ? undefined : frame.previous);
          } catch (error) {
            return reply(false, Failure.text(error));
          }
          return epoch < register.floor() ? reply(false, 'below the epoch promised') : reply(true);
        }),
    };
  },
};
