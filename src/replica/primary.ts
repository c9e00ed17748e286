// The primary: acknowledges changes of the state. A change is acknowledged once it is synced here and at every
// other core in sync, and never by fewer disks than may be lost at once and one more. The parts of its work are
// modules of their own; here they are put together, and run one at a time where they must not mix.

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
import { HandOver } from './hand-over.js';
import { Leadership } from './leadership.js';
import { Maintenance } from './maintenance.js';
import { MembershipChange } from './membership-change.js';
import { Replication } from './replication.js';
import { TermChange } from './term-change.js';
import type { TransferMeter } from './transfer-meter.js';
import { TransferSource } from './transfer-source.js';

/** A core's leadership, from the change of the register that made it primary until it is deposed. */
export type Primary = {
  readonly term: () => Term;
  /** The newest acknowledged state. */
  readonly state: () => State;
  readonly isLeading: () => boolean;
  readonly confirmedAt: () => Instant;
  /** Whether a majority confirms the term and the leadership was open when it was asked. */
  readonly confirm: () => Promise<boolean>;
  /** Makes a change under a new stamp and resolves with the acknowledged state; `make` may decline. */
  readonly commit: (make: (state: State, stamp: Stamp) => State.Change | undefined) => Promise<State>;
  /** Replaces backups that are gone, and hands over where the own disk is broken. */
  readonly maintain: () => Promise<void>;
  /**
   * Tells the chosen term again where a core that it lists has accepted none or another one, so that a majority
   * confirms it also when others are lost; under a higher ballot if that core has promised one.
   */
  readonly announce: (votes: readonly Vote[]) => Promise<void>;
  /** Takes a core in; resolves with the reason where it was not taken, else with an empty text. */
  readonly join: (core: Frame.Core) => Promise<string>;
  /** Releases a core that is about to end; resolves with the reason where it can't be released yet. */
  readonly leave: (core: Frame.Core, successor: Frame.Core | null) => Promise<string>;
  /** A core that asked to be taken in just now and is up. */
  readonly newcomer: () => Frame.Core | undefined;
  /** Lets a backup take over; resolves with the reason where none did. */
  readonly yield: () => Promise<string>;
  /** Goes on under an epoch above that of the stamp. */
  readonly raiseEpoch: (above: Stamp) => Promise<void>;
  /** How far each other member of the term has followed. */
  readonly members: () => readonly Primary.Member[];
  /** How many members of the term have not confirmed the acknowledged state yet. */
  readonly behind: () => number;
  readonly depose: (why: string) => void;
  readonly deposed: Promise<string>;
};

export declare namespace Primary {
  type Needs = {
    readonly disk: string;
    readonly term: Term;
    readonly ballot: Ballot;
    readonly losses: number;
    readonly store: Store;
    readonly proposer: Proposer;
    readonly courierTo: (core: Frame.Core) => PeerClient | undefined;
    readonly publish: (state: State, term: Term) => void;
    readonly note: (text: string, facts?: Record<string, unknown>) => void;
    readonly meter?: TransferMeter;
  };
  type Member = Follower.Progress & {
    readonly core: Frame.Core;
    /** Whether it has confirmed the acknowledged state under the term in force. */
    readonly isCurrent: boolean;
    /** Milliseconds since its disk was last heard of. */
    readonly downFor: number;
  };
}

const partsOf = (needs: Primary.Needs) => {
  const { proposer, courierTo, losses, store, note, meter } = needs;
  const leadership = Leadership.of(needs.disk, needs.term, needs.ballot);
  const termChange = TermChange.of({ leadership, proposer, note });
  const first = store.state().stamp;
  const log = ChangeLog.from(first);
  const source = TransferSource.of(log);
  const followers = Followers.of({ leadership, courierTo, source, first, meter });
  const replication = Replication.of({ leadership, termChange, followers, losses, note });
  const handOver = HandOver.of({ leadership, courierTo, note });
  const publish = (state: State) => needs.publish(state, leadership.term());
  const states = Acknowledgement.of({ leadership, store, log, replication, handOver, publish });
  const maintenance = Maintenance.of({ leadership, followers, replication, handOver, store, states });
  const { replaceBackups } = maintenance;
  const swapOut = async (disk: string) => {
    await states.resolve();
    await replication.tryWithout(states.state(), disk);
  };
  const membership = MembershipChange.of({
    leadership,
    termChange,
    followers,
    losses,
    replaceBackups,
    swapOut,
  });
  return { leadership, termChange, followers, states, maintenance, membership };
};

/** Whether a vote comes from a core of the term that does not hold it. */
const isMissing = (term: Term) => (vote: Vote) =>
  Term.has(term, vote.core.disk) && !(vote.term && Term.isSame(vote.term, term));
const isAbove = (ballot: Ballot) => (vote: Vote) => Ballot.compare(vote.promised ?? Ballot.none, ballot) > 0;

export const Primary = {
  of(needs: Primary.Needs): Primary {
    const { leadership, termChange, followers, states, maintenance, membership } = partsOf(needs);
    const turns = Mutex.of();
    let isOpen = false;
    const confirmation = Confirmation.begin(leadership, needs.proposer);
    const acknowledged = () => (isOpen ? states.state() : undefined);
    const catchUp = CatchUp.begin({ leadership, followers, acknowledged, note: needs.note });
    const commit = async (make: Parameters<Primary['commit']>[0]): Promise<State> => {
      leadership.mustLead();
      await states.resolve();
      const revision = Revision.after(needs.store.state().stamp.revision);
      const change = make(states.state(), { epoch: leadership.term().epoch, revision });
      if (change) {
        await states.write(change);
        isOpen = true;
      }
      return states.state();
    };
    let isWritingBack = false;
    const writeBack = () => {
      if (isWritingBack) return;
      isWritingBack = true;
      void turns
        .runExclusive(async () => void (leadership.isLeading() && (await termChange.change(() => undefined))))
        .catch(() => undefined)
        .finally(() => {
          isWritingBack = false;
        });
    };
    const yieldLeadership = async () => {
      leadership.mustLead();
      await states.resolve();
      return HandOver.byRequest({ leadership, courierTo: needs.courierTo });
    };
    const raiseEpoch = async (above: Stamp) => {
      leadership.mustLead();
      if (above.epoch >= leadership.term().epoch) await termChange.raiseEpoch(above.epoch);
    };
    const announce = async (votes: readonly Vote[]) => {
      const missing = votes.filter(isMissing(leadership.term()));
      if (missing.some(isAbove(leadership.ballot()))) writeBack();
      else if (missing.length > 0) await termChange.announce();
    };
    const memberOf = (core: Frame.Core): Primary.Member => ({
      core,
      ...followers.progress(core),
      isCurrent: followers.hasConfirmed(core, states.state().stamp),
      downFor: followers.downFor(core),
    });
    return {
      term: leadership.term,
      state: states.state,
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
      newcomer: membership.newcomer,
      yield: () => turns.runExclusive(yieldLeadership),
      members: () =>
        leadership
          .term()
          .cores.filter(({ disk }) => disk !== leadership.disk)
          .map(memberOf),
      behind: catchUp.behind,
    };
  },
};
