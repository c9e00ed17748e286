// Brings a state to every backup in sync. Each must have confirmed it under the term in force, so a change of the term
// asks anew: a backup that was brought in, and lost its disk before it was named, does not count. A backup that does not confirm in time is replaced: another core takes
// the whole state first, then the register names it in sync in the silent one's place. A backup that has promised
// a higher epoch takes nothing more under this one: the primary goes on above it.
import type { Epoch } from '../common/epoch.js';
import { Instant } from '../common/instant.js';
import { Timer } from '../common/timer.js';
import type { State } from '../store/state.js';
import type { Followers } from './followers.js';
import { InSyncSet } from './in-sync-set.js';
import type { Leadership } from './leadership.js';
import { ReplicationRound } from './replication-round.js';
import type { TermChange } from './term-change.js';

/** Replication of the primary's states. */
export type Replication = {
  /** Whether as many cores are in sync as the losses to be borne require. */
  readonly isWhole: () => boolean;
  /** Resolves true once every backup in sync holds the state, false once deposed. */
  readonly replicate: (state: State) => Promise<boolean>;
  /** The same, but gives up when nobody confirms or a change of the register fails. */
  readonly tryOnce: (state: State) => Promise<boolean>;
  /** Swaps a core that is about to leave out of the in-sync set, once others hold the state; false if none can. */
  readonly tryWithout: (state: State, leaving: string) => Promise<boolean>;
};

const slowAfter = 500;
const againAfter = 100;

type Move = 'done' | 'failed' | 'wait';

export const Replication = {
  of(needs: {
    readonly leadership: Leadership;
    readonly termChange: TermChange;
    readonly followers: Followers;
    readonly losses: number;
    readonly note: (text: string, facts?: Record<string, unknown>) => void;
  }): Replication {
    const { leadership, termChange, followers, losses, note } = needs;
    const isWhole = () => InSyncSet.isLargeEnough(leadership.term(), losses);
    const holdersNow = (round: ReplicationRound) => round.holders(leadership.term().epoch);
    const isHeld = (round: ReplicationRound) =>
      !leadership.isUnsure() &&
      isWhole() &&
      leadership.backups().every((disk) => holdersNow(round).has(disk));
    /** The backups that a round goes to: all but one that is about to leave. */
    const backupsOf = ({ leaving }: ReplicationRound) =>
      leadership.backups().filter((disk) => disk !== leaving);
    const coresOf = (round: ReplicationRound) => {
      const backups = backupsOf(round);
      return leadership.term().cores.filter(({ disk }) => backups.includes(disk));
    };
    const mustReplace = (round: ReplicationRound) => backupsOf(round).length < leadership.backups().length;
    /** Gives the backups in sync a while to confirm, before others are asked in their place. */
    const askBackups = async (round: ReplicationRound) => {
      round.forgiveFailures();
      for (const core of coresOf(round)) round.offer(core);
      const isWaiting = isWhole() && !leadership.isUnsure() && !mustReplace(round);
      const patience = Instant.after(isWaiting ? slowAfter : 0);
      const mayWait = () => leadership.isLeading() && !round.hasFailures() && !Instant.isPast(patience);
      while (mayWait() && !isHeld(round)) {
        await round.moved(Instant.remaining(patience));
        round.offerAgain(coresOf(round), leadership.term().epoch);
      }
    };
    /** The change of the register that the state's progress calls for, if any. */
    const changeTerm = async (round: ReplicationRound): Promise<Move> => {
      const outcome = (change: Promise<boolean>): Promise<Move> =>
        change.then(
          (isDone) => (isDone ? 'done' : 'failed'),
          () => 'failed' as const,
        );
      const promised = leadership.promised();
      if (promised > leadership.term().epoch) return outcome(termChange.raiseEpoch(promised));
      const inSync = InSyncSet.choose(leadership.disk, backupsOf(round), holdersNow(round), losses);
      if (!inSync) return 'wait';
      return outcome(termChange.change((base) => InSyncSet.swap(base, inSync)));
    };
    const run = async (state: State, isOnce: boolean, leaving?: string) => {
      const round = ReplicationRound.of({ followers, disk: leadership.disk, state, leaving, note });
      let epoch: Epoch | undefined;
      while (leadership.isLeading() && (epoch === undefined || !isHeld(round))) {
        if (epoch !== leadership.term().epoch) {
          epoch = leadership.term().epoch;
          await askBackups(round);
          continue;
        }
        round.offerAgain(leadership.term().cores, epoch);
        const move = await changeTerm(round);
        if (isOnce && (move === 'failed' || (move === 'wait' && round.isIdle()))) return false;
        if (move === 'failed') await Promise.all([termChange.announce(), Timer.sleep(againAfter)]);
        if (move === 'wait') await round.moved(againAfter);
      }
      return leadership.isLeading();
    };
    return {
      isWhole,
      replicate: (state) => run(state, false),
      tryOnce: (state) => run(state, true),
      tryWithout: (state, leaving) => run(state, true, leaving),
    };
  },
};
