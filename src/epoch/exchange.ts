// The questions of the register, each put to this core and to all others at once: what they hold, whether
// they promise a ballot, whether they accept a term. The votes that come back also tell which rounds were
// used, so that the next ballot goes above them all.
import type { Epoch } from '../common/epoch.js';
import type { Stamp } from '../common/stamp.js';
import { Timer } from '../common/timer.js';
import type { Frame } from '../wire/frame.js';
import type { PeerClient } from '../wire/peer-client.js';
import { Ballot } from './ballot.js';
import type { Register } from './register.js';
import { Term } from './term.js';
import { Vote } from './vote.js';

export type Exchange = {
  /** This core's own vote. */
  readonly vote: (isGranted: boolean) => Vote;
  readonly peek: () => Promise<readonly Vote[]>;
  readonly prepare: (ballot: Ballot, isForming: boolean) => Promise<readonly Vote[]>;
  /** Asks all to accept a term: one that is chosen, or else one that follows on another, `before`. */
  readonly accept: (ballot: Ballot, term: Term, before?: Term) => Promise<readonly Vote[]>;
  /**
   * Whether a term that follows on `before` is chosen by the votes: a majority of the cores before and after
   * accepted it, and so did this core if it is one of them. Were its own disk not to hold what it acts on, it
   * could forget it at its next start and confirm changes of the primary that it took the place of.
   */
  readonly isChosen: (votes: readonly Vote[], before: Term, term: Term) => boolean;
  /** A ballot above all that were seen. */
  readonly nextBallot: () => Ballot;
  readonly highestRound: () => number;
};

export declare namespace Exchange {
  type Needs = {
    readonly register: Register;
    readonly couriers: () => readonly PeerClient[];
    readonly core: () => Frame.Core;
    readonly highest: () => Epoch;
    readonly isAble: () => boolean;
    readonly held: () => Stamp;
  };
}

/** How long an answer may take. */
const answerWithin = 1000;

type Ask = {
  readonly couriers: readonly PeerClient[];
  readonly request: Parameters<PeerClient['ask']>[0];
  /** Whether this core grants it. */
  readonly own: Promise<boolean>;
  readonly vote: (isGranted: boolean) => Vote;
  readonly see: (vote: Vote) => void;
  /** Whether the votes that came suffice; without it all answers are waited for, as long as they may take. */
  readonly isEnough?: ((votes: readonly Vote[]) => boolean) | undefined;
};

const orNot = (work: Promise<boolean>): Promise<boolean> =>
  new Promise((resolve) => {
    const timer = Timer.after(answerWithin, () => resolve(false));
    work.then(resolve, () => resolve(false)).finally(() => timer.stop());
  });

const askAll = async (ask: Ask): Promise<readonly Vote[]> => {
  const votes: Vote[] = [];
  await new Promise<void>((resolve) => {
    const take = (told: Vote | Frame.Reply) => {
      if (!('isGranted' in told)) return;
      votes.push(told);
      ask.see(told);
      if (ask.isEnough?.(votes)) resolve();
    };
    const own = orNot(ask.own).then(ask.vote).then(take);
    const others = ask.couriers.map((courier) => courier.ask(ask.request, answerWithin).then(take));
    void Promise.allSettled([own, ...others]).then(() => resolve());
  });
  return Vote.distinct(votes);
};

export const Exchange = {
  answerWithin,
  of(needs: Exchange.Needs): Exchange {
    const { register } = needs;
    let highestRound = 0;
    const see = (vote: Vote) => {
      highestRound = Math.max(highestRound, vote.promised?.round ?? 0);
    };
    const vote = (isGranted: boolean): Vote => ({
      isGranted,
      isBlank: register.isBlank(),
      promised: register.promised(),
      accepted: register.accepted(),
      term: register.term(),
      core: needs.core(),
      highest: needs.highest(),
      isAble: needs.isAble(),
      held: needs.held(),
    });
    const ask = (request: Ask['request'], own: Promise<boolean>, isEnough?: Ask['isEnough']) =>
      askAll({ couriers: needs.couriers(), request, own, vote, see, isEnough });
    const isQuorum = (votes: readonly Vote[]): boolean => {
      if (!votes.some((one) => one.core.disk === register.disk)) return false;
      const base = Vote.newest(Vote.granted(votes))?.term;
      return base !== null && base !== undefined && Vote.isMajority(Vote.granted(votes), base);
    };
    const isChosen = (votes: readonly Vote[], before: Term, term: Term): boolean => {
      const grants = Vote.granted(votes);
      const isOwn = grants.some((one) => one.core.disk === register.disk);
      if (Term.has(term, register.disk) && !isOwn) return false;
      return Vote.isMajority(grants, before) && Vote.isMajority(grants, term);
    };
    return {
      vote,
      highestRound: () => highestRound,
      nextBallot: () => Ballot.after(Math.max(register.promised().round, highestRound), register.disk),
      peek: () => ask({ kind: 'peek' }, Promise.resolve(true)),
      prepare: (ballot, isForming) =>
        ask(
          { kind: 'prepare', ballot, isForming },
          register.prepare(ballot, isForming),
          isForming ? undefined : isQuorum,
        ),
      isChosen,
      accept(ballot, term, before) {
        const isKnown = before === undefined;
        return ask(
          { kind: 'accept', ballot, term, isChosen: isKnown },
          register.accept(ballot, term, isKnown),
          before && ((votes) => isChosen(votes, before, term)),
        );
      },
    };
  },
};
