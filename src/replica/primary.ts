/**
 * The primary acknowledges changes of the state. A change is acknowledged once it is synced locally and at every
 * other core in sync, which is always on at least one disk more than may be lost at the same time. This module
 * combines the parts of that work and serializes those that must not overlap.
 */

import type { Instant } from '../common/instant.js';
import { Mutex } from '../common/mutex.js';
import { Revision } from '../common/revision.js';
import type { Stamp } from '../common/stamp.js';
import { Ballot } from '../epoch/ballot.js';
import type { Proposer } from '../epoch/proposer.js';
import { Term } from '../epoch/term.js';
import type { Vote } from '../epoch/vote.js';
import type { State } from '../store/state.js';
import type { Store } from '../store/store.js';
import type { Frame } from '../wire/frame.js';
import type { PeerClient } from '../wire/peer-client.js';
import { Acknowledgement } from './acknowledgement.js';
import { CatchUp } from './catch-up.js';
import { ChangeLog } from './change-log.js';
import { Confirmation } from './confirmation.js';
import type { Follower } from './follower.js';
import { Followers } from './followers.js';
import { Leadership } from './leadership.js';
import { LeadershipTransfer } from './leadership-transfer.js';
import { Maintenance } from './maintenance.js';
import { MembershipChange } from './membership-change.js';
import { Replication } from './replication.js';
import { TermChange } from './term-change.js';
import type { TransferMeter } from './transfer-meter.js';
import { TransferSource } from './transfer-source.js';

/** A core's leadership, from the register change that made it primary until it is deposed. */
export type Primary = {
  /** The term that this core leads under. */
  readonly term: () => Term;
  /** The newest acknowledged state. */
  readonly state: () => State;
  /** Whether the leadership has not been deposed. */
  readonly isLeading: () => boolean;
  /** When the newest confirmation of the term by a majority was requested. */
  readonly confirmedAt: () => Instant;
  /** Whether a majority confirms the term, and the leadership had acknowledged a change when they were asked. */
  readonly confirm: () => Promise<boolean>;
  /** Commits a change under a new stamp and resolves with the acknowledged state; `make` may return none. */
  readonly commit: (make: (state: State, stamp: Stamp) => State.Change | undefined) => Promise<State>;
  /** Replaces unreachable backups, and steps down if the local store is broken. */
  readonly maintain: () => Promise<void>;
  /**
   * Announces the chosen term again if one of its cores has accepted none or another one, so that a majority still
   * confirms it when other cores are lost; under a higher ballot if that core has promised one.
   */
  readonly announce: (votes: readonly Vote[]) => Promise<void>;
  /** Adds a core; resolves with the reason if it was not added, else with an empty string. */
  readonly join: (core: Frame.Core) => Promise<string>;
  /**
   * Releases a core that is shutting down; resolves with the reason if it can't be released yet, else with an empty
   * string.
   */
  readonly leave: (core: Frame.Core, successor: Frame.Core | null) => Promise<string>;
  /** A core that asked to join recently, preferably one that is reachable. */
  readonly joiningCore: () => Frame.Core | undefined;
  /** Asks the backups to take over; resolves with the reason if none did, else with an empty string. */
  readonly transferLeadership: () => Promise<string>;
  /** Continues under an epoch above that of the stamp, unless the current one already is. */
  readonly raiseEpoch: (above: Stamp) => Promise<void>;
  /** The replication progress of each other member of the term. */
  readonly members: () => readonly Primary.Member[];
  /** The number of members of the term that have not confirmed the acknowledged state yet. */
  readonly laggingMembers: () => number;
  /** Ends the leadership permanently. */
  readonly depose: (why: string) => void;
  /** Resolves with the reason once deposed. */
  readonly deposed: Promise<string>;
};

/** Types of the primary. */
export declare namespace Primary {
  /** What a primary is built from. */
  type Options = {
    readonly disk: string;
    readonly term: Term;
    readonly ballot: Ballot;
    /** How many cores may be lost at the same time. */
    readonly losses: number;
    readonly store: Store;
    readonly proposer: Proposer;
    readonly clientFor: (core: Frame.Core) => PeerClient | undefined;
    /** Called with each state when it is acknowledged. */
    readonly publish: (state: State, term: Term) => void;
    readonly note: (text: string, facts?: Record<string, unknown>) => void;
    readonly meter?: TransferMeter;
  };
  /** The replication progress of one member. */
  type Member = Follower.Progress & {
    readonly core: Frame.Core;
    /** Whether it has confirmed the acknowledged state under the current term. */
    readonly isCurrent: boolean;
    /** Milliseconds since its disk was last reachable. */
    readonly downFor: number;
  };
}

const createComponents = (options: Primary.Options) => {
  const { proposer, clientFor, losses, store, note, meter } = options;
  const leadership = Leadership.of(options.disk, options.term, options.ballot);
  const termChange = TermChange.of({ leadership, proposer, note });
  const initialStamp = store.state().stamp;
  const log = ChangeLog.from(initialStamp);
  const source = TransferSource.of(log);
  const followers = Followers.of({ leadership, clientFor, source, initialStamp, meter });
  const replication = Replication.of({ leadership, termChange, followers, losses, note });
  const stepDown = LeadershipTransfer.of({ leadership, clientFor, note });
  const publish = (state: State) => options.publish(state, leadership.term());
  const acknowledgement = Acknowledgement.of({ leadership, store, log, replication, stepDown, publish });
  const maintenance = Maintenance.of({
    leadership,
    followers,
    replication,
    stepDown,
    store,
    acknowledgement,
  });
  const { replaceBackups } = maintenance;
  const swapOut = async (disk: string) => {
    await acknowledgement.acknowledgePending();
    await replication.tryReplicateWithout(acknowledgement.state(), disk);
  };
  const membership = MembershipChange.of({
    leadership,
    termChange,
    followers,
    losses,
    replaceBackups,
    swapOut,
  });
  return { leadership, termChange, followers, acknowledgement, maintenance, membership };
};

/** Whether a vote comes from a core of the term that has not accepted the term. */
const lacksTerm = (term: Term) => (vote: Vote) =>
  Term.has(term, vote.core.disk) && !(vote.term && Term.isSame(vote.term, term));
/** Whether the voter has promised a ballot above the given one. */
const hasPromisedAbove = (ballot: Ballot) => (vote: Vote) =>
  Ballot.compare(vote.promised ?? Ballot.none, ballot) > 0;

/** Creates the primary side of a core. */
export const Primary = {
  /** Starts a leadership under a term which the register has just chosen. */
  of(options: Primary.Options): Primary {
    const { leadership, termChange, followers, acknowledgement, maintenance, membership } =
      createComponents(options);
    const turns = Mutex.of();
    /** Whether this leadership has acknowledged a change, so that its state may be read. */
    let isOpen = false;
    const confirmation = Confirmation.start(leadership, options.proposer);
    const acknowledged = () => (isOpen ? acknowledgement.state() : undefined);
    const catchUp = CatchUp.start({ leadership, followers, acknowledged, note: options.note });
    const commit = async (make: Parameters<Primary['commit']>[0]): Promise<State> => {
      leadership.mustLead();
      await acknowledgement.acknowledgePending();
      const revision = Revision.after(options.store.state().stamp.revision);
      const change = make(acknowledgement.state(), { epoch: leadership.term().epoch, revision });
      if (change) {
        await acknowledgement.write(change);
        isOpen = true;
      }
      return acknowledgement.state();
    };
    let isRewritePending = false;
    /** Writes the current term back under a new ballot; at most one such change is queued. */
    const rewriteTerm = () => {
      if (isRewritePending) return;
      isRewritePending = true;
      void turns
        .runExclusive(async () => void (leadership.isLeading() && (await termChange.change(() => undefined))))
        .catch(() => undefined)
        .finally(() => {
          isRewritePending = false;
        });
    };
    const transferLeadership = async () => {
      leadership.mustLead();
      await acknowledgement.acknowledgePending();
      return LeadershipTransfer.request({ leadership, clientFor: options.clientFor });
    };
    const raiseEpoch = async (above: Stamp) => {
      leadership.mustLead();
      if (above.epoch >= leadership.term().epoch) await termChange.raiseEpoch(above.epoch);
    };
    const announce = async (votes: readonly Vote[]) => {
      const lacking = votes.filter(lacksTerm(leadership.term()));
      if (lacking.some(hasPromisedAbove(leadership.ballot()))) rewriteTerm();
      else if (lacking.length > 0) await termChange.announce();
    };
    const memberOf = (core: Frame.Core): Primary.Member => ({
      core,
      ...followers.progress(core),
      isCurrent: followers.hasConfirmed(core, acknowledgement.state().stamp),
      downFor: followers.downFor(core),
    });
    return {
      term: leadership.term,
      state: acknowledgement.state,
      isLeading: leadership.isLeading,
      confirmedAt: confirmation.confirmedAt,
      depose: leadership.depose,
      deposed: leadership.deposed,
      async confirm() {
        const wasOpen = isOpen;
        return (await confirmation.confirm()) && wasOpen;
      },
      commit: (make) => turns.runExclusive(() => commit(make)),
      raiseEpoch: (above) => turns.runExclusive(() => raiseEpoch(above)),
      maintain: () => maintenance.run(turns, isOpen),
      announce,
      join: (core) => turns.runExclusive(() => membership.join(core)),
      leave: (core, successor) => turns.runExclusive(() => membership.leave(core, successor)),
      joiningCore: membership.joiningCore,
      transferLeadership: () => turns.runExclusive(transferLeadership),
      members: () =>
        leadership
          .term()
          .cores.filter(({ disk }) => disk !== leadership.disk)
          .map(memberOf),
      laggingMembers: catchUp.laggingMembers,
    };
  },
};
