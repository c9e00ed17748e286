// The primary's care for its in-sync set between commits: a backup that is gone is replaced as soon as another
// core can take its place, and a broken disk of its own ends the leadership.
import type { Turns } from '../kinds/turns.js';
import type { Store } from '../store/store.js';
import type { Frame } from '../wire/frame.js';
import type { Acknowledgement } from './acknowledgement.js';
import type { Followers } from './followers.js';
import type { HandOver } from './hand-over.js';
import type { Leadership } from './leadership.js';
import type { Replication } from './replication.js';

/** Work between commits, in the queue that commits run in. */
export type Maintenance = {
  /** One look; the in-sync set is left alone while the leadership is not open yet. */
  readonly run: (turns: Turns, isOpen: boolean) => Promise<void>;
  /** Tries once to bring the acknowledged state to enough others that the in-sync set is whole. */
  readonly replaceBackups: () => Promise<void>;
};

const deadAfter = 500;

export const Maintenance = {
  of(needs: {
    readonly leadership: Leadership;
    readonly followers: Followers;
    readonly replication: Replication;
    readonly handOver: HandOver;
    readonly store: Store;
    readonly states: Acknowledgement;
  }): Maintenance {
    const { leadership, followers, replication, handOver, store, states } = needs;
    const others = () => leadership.term().cores.filter(({ disk }) => disk !== leadership.disk);
    const isBackup = (core: Frame.Core) => leadership.backups().includes(core.disk);
    const isDead = (core: Frame.Core) => isBackup(core) && followers.downFor(core) > deadAfter;
    const isUpSpare = (core: Frame.Core) => !isBackup(core) && followers.downFor(core) === 0;
    const isLacking = () => !replication.isWhole() || others().some(isDead);
    return {
      async run(turns, isOpen) {
        if (!leadership.isLeading()) return;
        if (!store.isHealthy())
          await turns.take(() => handOver(new Error('the store is broken'))).catch(() => {});
        if (!isOpen || !isLacking() || !others().some(isUpSpare)) return;
        await turns.take(async () => {
          await states.resolve();
          if (isLacking()) await replication.tryOnce(states.state());
        });
      },
      async replaceBackups() {
        await states.resolve();
        await replication.tryOnce(states.state());
      },
    };
  },
};
