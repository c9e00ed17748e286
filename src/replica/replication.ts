/**
 * Replicates a state to every backup in sync. Each must confirm it under the current term, so a term change asks
 * again: a backup that received the state, and lost its disk before the term named it in sync, does not count. A
 * backup that does not confirm in time is replaced: another core receives the full state first, then the register
 * names it in sync in place of the unresponsive one. If a backup has promised a higher epoch, it accepts nothing more
 * under the current one, and the primary continues under an epoch above the promised one.
 */
import type { Epoch } from '../common/epoch.js';
import { Instant } from '../common/instant.js';
import { Timer } from '../common/timer.js';
import type { State } from '../store/state.js';
import type { Followers } from './followers.js';
import { InSyncSet } from './in-sync-set.js';
import type { Leadership } from './leadership.js';
import { ReplicationRound } from './replication-round.js';
import type { TermChange } from './term-change.js';

/** Replication of the primary's states to the in-sync backups. */
export type Replication = {
  /** Whether enough cores are in sync to tolerate the configured number of losses. */
  readonly isInSyncSetComplete: () => boolean;
  /** Resolves true once every backup in sync holds the state, false once deposed. */
  readonly replicate: (state: State) => Promise<boolean>;
  /** The same, but gives up and resolves false if no core confirms or a register change fails. */
  readonly tryReplicate: (state: State) => Promise<boolean>;
  /**
   * Replaces a leaving core in the in-sync set once others hold the state; resolves false if none can take its place.
   */
  readonly tryReplicateWithout: (state: State, leaving: string) => Promise<boolean>;
};

/** How long the backups in sync may take to confirm before other cores are asked. */
const backupTimeoutMs = 500;
const retryDelayMs = 100;

type ChangeResult = 'done' | 'failed' | 'wait';

/** Creates the replication of a primary. */
export const Replication = {
  /** The replication of one leadership. */
  of(options: {
    readonly leadership: Leadership;
    readonly termChange: TermChange;
    readonly followers: Followers;
    /** How many cores may be lost at the same time. */
    readonly losses: number;
    readonly note: (text: string, facts?: Record<string, unknown>) => void;
  }): Replication {
    const { leadership, termChange, followers, losses, note } = options;
    const isInSyncSetComplete = () => InSyncSet.isLargeEnough(leadership.term(), losses);
    const currentHolders = (round: ReplicationRound) => round.holders(leadership.term().epoch);
    const isHeld = (round: ReplicationRound) =>
      !leadership.isOutcomeUnknown() &&
      isInSyncSetComplete() &&
      leadership.backups().every((disk) => currentHolders(round).has(disk));
    /** The backups that a round is sent to: all but a leaving one. */
    const backupsOf = ({ leaving }: ReplicationRound) =>
      leadership.backups().filter((disk) => disk !== leaving);
    const coresOf = (round: ReplicationRound) => {
      const backups = backupsOf(round);
      return leadership.term().cores.filter(({ disk }) => backups.includes(disk));
    };
    const hasLeavingBackup = (round: ReplicationRound) =>
      backupsOf(round).length < leadership.backups().length;
    /** Gives the backups in sync time to confirm before other cores are asked in their place. */
    const sendToBackups = async (round: ReplicationRound) => {
      round.clearFailures();
      for (const core of coresOf(round)) round.send(core);
      const shouldWait = isInSyncSetComplete() && !leadership.isOutcomeUnknown() && !hasLeavingBackup(round);
      const deadline = Instant.after(shouldWait ? backupTimeoutMs : 0);
      const mayWait = () => leadership.isLeading() && !round.hasFailures() && !Instant.isPast(deadline);
      while (mayWait() && !isHeld(round)) {
        await round.waitForReply(Instant.remaining(deadline));
        round.sendMissing(coresOf(round), leadership.term().epoch);
      }
    };
    /** Makes the register change that the progress of the round requires, if any. */
    const changeTerm = async (round: ReplicationRound): Promise<ChangeResult> => {
      const toResult = (change: Promise<boolean>): Promise<ChangeResult> =>
        change.then(
          (isDone) => (isDone ? 'done' : 'failed'),
          () => 'failed' as const,
        );
      const promised = leadership.promised();
      if (promised > leadership.term().epoch) return toResult(termChange.raiseEpoch(promised));
      const inSync = InSyncSet.choose(leadership.disk, backupsOf(round), currentHolders(round), losses);
      if (!inSync) return 'wait';
      return toResult(termChange.change((base) => InSyncSet.swap(base, inSync)));
    };
    const run = async (state: State, givesUp: boolean, leaving?: string) => {
      const round = ReplicationRound.of({ followers, disk: leadership.disk, state, leaving, note });
      let epoch: Epoch | undefined;
      while (leadership.isLeading() && (epoch === undefined || !isHeld(round))) {
        if (epoch !== leadership.term().epoch) {
          epoch = leadership.term().epoch;
          await sendToBackups(round);
          continue;
        }
        round.sendMissing(leadership.term().cores, epoch);
        const result = await changeTerm(round);
        if (givesUp && (result === 'failed' || (result === 'wait' && round.isIdle()))) return false;
        if (result === 'failed') await Promise.all([termChange.announce(), Timer.sleep(retryDelayMs)]);
        if (result === 'wait') await round.waitForReply(retryDelayMs);
      }
      return leadership.isLeading();
    };
    return {
      isInSyncSetComplete,
      replicate: (state) => run(state, false),
      tryReplicate: (state) => run(state, true),
      tryReplicateWithout: (state, leaving) => run(state, true, leaving),
    };
  },
};
