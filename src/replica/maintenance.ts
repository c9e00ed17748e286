/**
 * Maintenance of the in-sync set between commits: replaces a backup that is down as soon as another core can take its
 * place, and steps down if the primary's own store is broken.
 */
import type { Mutex } from '../common/mutex.js';
import type { Store } from '../store/store.js';
import type { Frame } from '../wire/frame.js';
import type { Acknowledgement } from './acknowledgement.js';
import type { Followers } from './followers.js';
import type { Leadership } from './leadership.js';
import type { LeadershipTransfer } from './leadership-transfer.js';
import type { Replication } from './replication.js';

/** Work between commits, run in the same queue as commits. */
export type Maintenance = {
  /** Runs one check; does not change the in-sync set until the leadership has acknowledged its first change. */
  readonly run: (turns: Mutex, isOpen: boolean) => Promise<void>;
  /** Tries once to replicate the acknowledged state to enough other cores to fill the in-sync set. */
  readonly replaceBackups: () => Promise<void>;
};

/** How long a backup may be unreachable before it is replaced. */
const deadAfterMs = 500;

/** Creates the maintenance of a primary's in-sync set. */
export const Maintenance = {
  /** The maintenance of one leadership. */
  of(options: {
    readonly leadership: Leadership;
    readonly followers: Followers;
    readonly replication: Replication;
    readonly stepDown: LeadershipTransfer;
    readonly store: Store;
    readonly acknowledgement: Acknowledgement;
  }): Maintenance {
    const { leadership, followers, replication, stepDown, store, acknowledgement } = options;
    const others = () => leadership.term().cores.filter(({ disk }) => disk !== leadership.disk);
    const isBackup = (core: Frame.Core) => leadership.backups().includes(core.disk);
    const isDead = (core: Frame.Core) => isBackup(core) && followers.downFor(core) > deadAfterMs;
    const isAvailableSpare = (core: Frame.Core) => !isBackup(core) && followers.downFor(core) === 0;
    const needsReplacement = () => !replication.isInSyncSetComplete() || others().some(isDead);
    return {
      async run(turns, isOpen) {
        if (!leadership.isLeading()) return;
        if (!store.isHealthy())
          await turns.runExclusive(() => stepDown(new Error('the store is broken'))).catch(() => {});
        if (!isOpen || !needsReplacement() || !others().some(isAvailableSpare)) return;
        await turns.runExclusive(async () => {
          await acknowledgement.acknowledgePending();
          if (needsReplacement()) await replication.tryReplicate(acknowledgement.state());
        });
      },
      async replaceBackups() {
        await acknowledgement.acknowledgePending();
        await replication.tryReplicate(acknowledgement.state());
      },
    };
  },
};
