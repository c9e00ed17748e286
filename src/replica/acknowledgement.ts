// The acknowledged state and the only ways to another one: a change that all in sync have synced, or what an
// earlier change has left on the own disk unconfirmed. Run in the primary's queue, one at a time.
import { Failure } from '../kinds/failure.js';
import { Timer } from '../kinds/timer.js';
import { State } from '../store/state.js';
import type { Store } from '../store/store.js';
import type { ChangeLog } from './change-log.js';
import type { HandOver } from './hand-over.js';
import type { Leadership } from './leadership.js';
import type { Replication } from './replication.js';

/** The primary's acknowledged state. */
export type Acknowledgement = {
  readonly state: () => State;
  /** Syncs a change here and at all in sync, then acknowledges it; throws `unconfirmed` once deposed. */
  readonly write: (change: State.Change) => Promise<void>;
  /** Acknowledges what the own disk holds beyond the acknowledged state. */
  readonly resolve: () => Promise<void>;
};

const diskWithin = 1000;

const bounded = <T>(work: Promise<T>, span: number, what: string): Promise<T> =>
  new Promise((resolve, reject) => {
    const timer = Timer.after(span, () => reject(Failure.of('store', `${what} took too long`)));
    work.then(resolve, reject).finally(() => timer.stop());
  });

export const Acknowledgement = {
  of(needs: {
    readonly leadership: Leadership;
    readonly store: Store;
    readonly log: ChangeLog;
    readonly replication: Replication;
    readonly handOver: HandOver;
    /** Told each state as it is acknowledged. */
    readonly publish: (state: State) => void;
  }): Acknowledgement {
    const { leadership, store, log, replication, handOver, publish } = needs;
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
        const local = bounded(store.apply(change, before.stamp), diskWithin, 'own disk').catch(handOver);
        log.add(change);
        await Promise.all([local, replication.replicate(next)]);
        acknowledge(store.state());
      },
      async resolve() {
        const state = store.state();
        if (state === acknowledged) return;
        await replication.replicate(state);
        acknowledge(state);
      },
    };
  },
};
