/**
 * The primary's acknowledged state. It advances in two ways only: by a new change that all in-sync replicas have
 * synced, or by replicating a state that an earlier change left on the primary's own disk without an acknowledgement.
 * Both run in the primary's queue, one at a time.
 */
import { Failure } from '../common/failure.js';
import { Timer } from '../common/timer.js';
import { State } from '../store/state.js';
import type { Store } from '../store/store.js';
import type { ChangeLog } from './change-log.js';
import type { Leadership } from './leadership.js';
import type { LeadershipTransfer } from './leadership-transfer.js';
import type { Replication } from './replication.js';

/** Access to the acknowledged state and the operations that advance it. */
export type Acknowledgement = {
  readonly state: () => State;
  /** Syncs a change locally and at all in-sync backups, then acknowledges it; throws `unconfirmed` once deposed. */
  readonly write: (change: State.Change) => Promise<void>;
  /** Replicates and acknowledges what the local store holds beyond the acknowledged state. */
  readonly acknowledgePending: () => Promise<void>;
};

const localWriteTimeoutMs = 1000;

const withTimeout = <T>(work: Promise<T>, timeoutMs: number, operation: string): Promise<T> =>
  new Promise((resolve, reject) => {
    const timer = Timer.after(timeoutMs, () => reject(Failure.of('store', `${operation} timed out`)));
    work.then(resolve, reject).finally(() => timer.stop());
  });

/** Creates the acknowledged state of a primary. */
export const Acknowledgement = {
  /** Starts with the local store's current state as the acknowledged one. */
  of(options: {
    readonly leadership: Leadership;
    readonly store: Store;
    readonly log: ChangeLog;
    readonly replication: Replication;
    /** Called when the local disk fails or stalls. */
    readonly stepDown: LeadershipTransfer;
    /** Called with each state when it is acknowledged. */
    readonly publish: (state: State) => void;
  }): Acknowledgement {
    const { leadership, store, log, replication, stepDown, publish } = options;
    let acknowledged = store.state();
    const acknowledge = (state: State) => {
      leadership.mustLead();
      acknowledged = state;
      publish(state);
    };
    return {
      state: () => acknowledged,
      async write(change) {
        const before = store.state();
        const next = State.apply(before, change);
        const local = withTimeout(
          store.apply(change, before.stamp),
          localWriteTimeoutMs,
          'local disk write',
        ).catch(stepDown);
        log.add(change);
        await Promise.all([local, replication.replicate(next)]);
        acknowledge(store.state());
      },
      async acknowledgePending() {
        const state = store.state();
        if (state === acknowledged) return;
        await replication.replicate(state);
        acknowledge(state);
      },
    };
  },
};
