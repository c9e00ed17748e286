/**
 * The requests of the register: `peek` reads votes, `prepare` asks for a promise, `accept` asks to accept a term.
 * Each request goes to this core and to all others at the same time. The votes that come back also carry the
 * rounds in use, so that the next ballot is above all of them.
 */
import type { Epoch } from '../common/epoch.js';
import type { Stamp } from '../common/stamp.js';
import { Timer } from '../common/timer.js';
import type { Frame } from '../wire/frame.js';
import type { PeerClient } from '../wire/peer-client.js';
import { Ballot } from './ballot.js';
import type { Register } from './register.js';
import { Term } from './term.js';
import { Vote } from './vote.js';

/** Sends register requests to all cores and collects their votes. */
export type VoteCollector = {
  /** This core's own vote. */
  readonly vote: (isGranted: boolean) => Vote;
  readonly peek: () => Promise<readonly Vote[]>;
  readonly prepare: (ballot: Ballot, isForming: boolean) => Promise<readonly Vote[]>;
  /** Asks all cores to accept a term: the successor of the term `before`, or without it a term already chosen. */
  readonly accept: (ballot: Ballot, term: Term, before?: Term) => Promise<readonly Vote[]>;
  /**
   * Whether the votes choose a term that follows `before`: a majority of the cores of both terms accepted it, and
   * so did this core if the term lists it. A proposer that acted on a term missing from its own disk could forget
   * it in a restart, and then confirm changes of the primary that it had replaced.
   */
  readonly isChosen: (votes: readonly Vote[], before: Term, term: Term) => boolean;
  /** A ballot above every round seen so far. */
  readonly nextBallot: () => Ballot;
  readonly highestRound: () => number;
};

export declare namespace VoteCollector {
  /** What a collector uses of its core. */
  type Needs = {
    readonly register: Register;
    readonly peerClients: () => readonly PeerClient[];
    readonly core: () => Frame.Core;
    readonly highest: () => Epoch;
    readonly isAble: () => boolean;
    readonly held: () => Stamp;
  };
}

/** How long a core may take to answer. */
const answerTimeoutMs = 1000;

type Broadcast = {
  readonly peerClients: readonly PeerClient[];
  readonly request: Parameters<PeerClient['ask']>[0];
  /** Whether this core grants the request. */
  readonly ownGrant: Promise<boolean>;
  readonly vote: (isGranted: boolean) => Vote;
  readonly onVote: (vote: Vote) => void;
  /** Ends the wait once the votes received suffice; without it, every core is waited for up to the timeout. */
  readonly isEnough?: ((votes: readonly Vote[]) => boolean) | undefined;
};

/** The result of some work, or false if it fails or does not end in time. */
const falseOnTimeout = (work: Promise<boolean>): Promise<boolean> =>
  new Promise((resolve) => {
    const timer = Timer.after(answerTimeoutMs, () => resolve(false));
    work.then(resolve, () => resolve(false)).finally(() => timer.stop());
  });

const collectVotes = async (broadcast: Broadcast): Promise<readonly Vote[]> => {
  const votes: Vote[] = [];
  await new Promise<void>((resolve) => {
    const receive = (reply: Vote | Frame.Reply) => {
      if (!('isGranted' in reply)) return;
      votes.push(reply);
      broadcast.onVote(reply);
      if (broadcast.isEnough?.(votes)) resolve();
    };
    const own = falseOnTimeout(broadcast.ownGrant).then(broadcast.vote).then(receive);
    const others = broadcast.peerClients.map((peerClient) =>
      peerClient.ask(broadcast.request, answerTimeoutMs).then(receive),
    );
    void Promise.allSettled([own, ...others]).then(() => resolve());
  });
  return Vote.distinct(votes);
};

/** Creates vote collectors. */
export const VoteCollector = {
  answerTimeoutMs,
  of(needs: VoteCollector.Needs): VoteCollector {
    const { register } = needs;
    let highestRound = 0;
    const onVote = (vote: Vote) => {
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
    const ask = (
      request: Broadcast['request'],
      ownGrant: Promise<boolean>,
      isEnough?: Broadcast['isEnough'],
    ) => collectVotes({ peerClients: needs.peerClients(), request, ownGrant, vote, onVote, isEnough });
    const isQuorum = (votes: readonly Vote[]): boolean => {
      if (!votes.some((one) => one.core.disk === register.disk)) return false;
      const base = Vote.newest(Vote.granted(votes))?.term;
      return base !== null && base !== undefined && Vote.isMajority(Vote.granted(votes), base);
    };
    const isChosen = (votes: readonly Vote[], before: Term, term: Term): boolean => {
      const grants = Vote.granted(votes);
      const isOwnGranted = grants.some((one) => one.core.disk === register.disk);
      if (Term.has(term, register.disk) && !isOwnGranted) return false;
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
        const isKnownChosen = before === undefined;
        return ask(
          { kind: 'accept', ballot, term, isChosen: isKnownChosen },
          register.accept(ballot, term, isKnownChosen),
          before && ((votes) => isChosen(votes, before, term)),
        );
      },
    };
  },
};
