/**
 * The proposer of the register: reads and changes the term in two phases, as in Paxos. First a majority of the cores
 * promises a ballot and reports what it has accepted; then the changed term is accepted by a majority of the cores
 * of the term before and of the term after. The proposer always waits for its own vote, so that it finds what
 * its own disk holds. If the change turns out not to be wanted, the proposer writes the term it found back:
 * a term that only some cores accepted must not be relied on, and it is chosen once a majority has accepted it
 * under one ballot.
 *
 * Accepted terms are ordered by their forming first and by their ballot second. A core from before a forming may have
 * used any number of rounds since. A proposer that asks a core which knows the later forming finds the term of that
 * forming and writes back no other.
 */

import { Ballot } from './ballot.js';
import { Term } from './term.js';
import { Vote } from './vote.js';
import { VoteCollector } from './vote-collector.js';

/** Reads and changes the register on behalf of one core. */
export type Proposer = {
  readonly votes: () => Promise<readonly Vote[]>;
  /** The chosen term, if a majority reports the same one. */
  readonly read: () => Promise<Term | undefined>;
  /** Whether no term after the given one had been chosen when this was called. */
  readonly confirm: (term: Term) => Promise<boolean>;
  /** Changes the term to what `next` makes of the one found; without a result the term found is written back. */
  readonly change: (next: (term: Term) => Term | undefined) => Promise<Proposer.Outcome>;
  /** Writes the first term of a new forming, made from at least so many granted votes. */
  readonly form: (
    makeTerm: (votes: readonly Vote[]) => Term | undefined,
    minimumGrants: number,
  ) => Promise<Term | undefined>;
  /** Sends a chosen term to all cores. */
  readonly install: (chosen: Term, ballot: Ballot) => Promise<void>;
  readonly vote: (isGranted: boolean) => Vote;
};

export declare namespace Proposer {
  type Vote = import('./vote.js').Vote;
  type Needs = VoteCollector.Needs;
  /** The term that is known to be chosen, if any, and whether it is the one that was wanted. */
  type Outcome = { readonly isDone: boolean; readonly term: Term | undefined; readonly ballot: Ballot };
}

/** The chosen term: the newest accepted one, if a majority has accepted it under the very same ballot. */
const read = async (collector: VoteCollector): Promise<Term | undefined> => {
  const votes = Vote.remembering(await collector.peek());
  const newest = Vote.newest(votes);
  if (!newest?.term || !newest.accepted) return undefined;
  const { accepted } = newest;
  const agreeing = votes.filter(
    (one) => one.accepted !== null && Ballot.compare(one.accepted, accepted) === 0,
  );
  return Vote.isMajority(agreeing, newest.term) ? newest.term : undefined;
};

/**
 * Whether a majority of a term's cores still holds that very term, asked after the call. The term is known to be
 * chosen, and every later one has to be accepted by a majority of its cores. A core that holds the term under any
 * ballot had accepted no later one when it answered, so no later one was chosen when the call was made. Votes
 * count only for the identical term: two terms of one epoch can be accepted at the same time on different cores under
 * different ballots, and only one of them is chosen. A vote that names a later forming ends the count.
 */
const confirm = (needs: Proposer.Needs, collector: VoteCollector, term: Term): Promise<boolean> =>
  new Promise((resolve) => {
    const agreeing = new Set<string>();
    const countVote = ({ core, term: voted }: Vote) => {
      if (!voted) return;
      if (voted.formed > term.formed) resolve(false);
      if (Term.has(term, core.disk) && Term.isSame(voted, term)) agreeing.add(core.disk);
      if (agreeing.size >= Term.majority(term)) resolve(true);
    };
    const requests = needs.peerClients().map(async (peerClient) => {
      const reply = await peerClient.ask({ kind: 'peek' }, VoteCollector.answerTimeoutMs);
      if (reply.kind === 'vote') countVote(reply);
    });
    countVote(collector.vote(true));
    void Promise.allSettled(requests).then(() => resolve(false));
  });

type Prepared = { readonly ballot: Ballot; readonly base: Term | undefined };

/** The first phase: a new ballot, and the newest accepted term if a majority of its cores promised the ballot. */
const prepare = async (collector: VoteCollector): Promise<Prepared> => {
  const ballot = collector.nextBallot();
  const grants = Vote.granted(await collector.prepare(ballot, false));
  const base = Vote.newest(grants)?.term;
  return { ballot, base: base && Vote.isMajority(grants, base) ? base : undefined };
};

const change = async (
  collector: VoteCollector,
  next: (term: Term) => Term | undefined,
): Promise<Proposer.Outcome> => {
  let { ballot, base } = await prepare(collector);
  // A refusal that names a higher round allows one more attempt above it.
  if (!base && collector.highestRound() >= ballot.round) ({ ballot, base } = await prepare(collector));
  if (!base) return { isDone: false, term: undefined, ballot };
  const wanted = next(base);
  const value = wanted ?? base;
  const isChosen = collector.isChosen(await collector.accept(ballot, value, base), base, value);
  return { isDone: isChosen && wanted !== undefined, term: isChosen ? value : undefined, ballot };
};

const form = async (
  collector: VoteCollector,
  makeTerm: (votes: readonly Vote[]) => Term | undefined,
  minimumGrants: number,
): Promise<Term | undefined> => {
  await collector.peek();
  const ballot = collector.nextBallot();
  const grants = Vote.granted(await collector.prepare(ballot, true));
  if (grants.length < minimumGrants) return undefined;
  const wanted = makeTerm(grants);
  if (!wanted) return undefined;
  const accepts = Vote.granted(await collector.accept(ballot, wanted));
  const required = wanted.cores.filter((core) => grants.some((one) => one.core.disk === core.disk));
  const isAcceptedByAll = required.every((core) => accepts.some((one) => one.core.disk === core.disk));
  return isAcceptedByAll ? wanted : undefined;
};

/** Creates proposers. */
export const Proposer = {
  of(needs: Proposer.Needs): Proposer {
    const collector = VoteCollector.of(needs);
    return {
      vote: collector.vote,
      votes: collector.peek,
      read: () => read(collector),
      confirm: (term) => confirm(needs, collector, term),
      change: (next) => change(collector, next),
      form: (makeTerm, minimumGrants) => form(collector, makeTerm, minimumGrants),
      async install(chosen, ballot) {
        await collector.accept(ballot, chosen);
      },
    };
  },
};
