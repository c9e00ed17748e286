// Changing and reading the register. A change takes two phases: a majority of the cores promises a
// ballot and tells what it has accepted, then the changed term is accepted by a majority of the cores
// before and after it. The proposer's own vote is always waited for, so that what its own disk holds is
// found. A change that turns out not to be wanted writes the term it found back, since a term that
// only some had accepted may not be relied on: it is chosen once a majority has accepted it. A read is
// confirmed when a majority has accepted the same ballot.

import type { Epoch } from '../kinds/epoch.js';
import type { Stamp } from '../kinds/stamp.js';
import { Timer } from '../kinds/timer.js';
import type { Courier } from '../wire/courier.js';
import type { Frame } from '../wire/frame.js';
import { Ballot } from './ballot.js';
import type { Register } from './register.js';
import { Term } from './term.js';

export type Proposer = {
  readonly votes: () => Promise<readonly Proposer.Vote[]>;
  readonly read: () => Promise<Term | undefined>;
  readonly confirm: (term: Term) => Promise<boolean>;
  readonly change: (
    next: (term: Term) => Term | undefined,
  ) => Promise<{ readonly isDone: boolean; readonly term: Term | undefined; readonly ballot: Ballot }>;
  readonly form: (
    make: (votes: readonly Proposer.Vote[]) => Term | undefined,
    atLeast: number,
  ) => Promise<Term | undefined>;
  readonly install: () => Promise<void>;
  readonly vote: (isGranted: boolean) => Proposer.Vote;
};

export declare namespace Proposer {
  type Vote = Omit<Extract<Frame.Reply, { kind: 'vote' }>, 'kind' | 'serial'>;
  type Needs = {
    readonly register: Register;
    readonly couriers: () => readonly Courier[];
    readonly core: () => Frame.Core;
    readonly highest: () => Epoch;
    readonly isAble: () => boolean;
    readonly held: () => Stamp;
  };
}

const within = 1000;

const bounded = (work: Promise<boolean>, span: number): Promise<boolean> =>
  new Promise((resolve) => {
    const timer = Timer.after(span, () => resolve(false));
    work.then(resolve, () => resolve(false)).finally(() => timer.stop());
  });

const highestOf = (votes: readonly Proposer.Vote[]): Proposer.Vote | undefined =>
  votes
    .filter((vote) => vote.term !== null)
    .sort((a, b) => Ballot.compare(b.accepted ?? Ballot.none, a.accepted ?? Ballot.none))[0];

const isMajority = (votes: readonly Proposer.Vote[], term: Term): boolean =>
  term.cores.filter((core) => votes.some((vote) => vote.core.disk === core.disk)).length >=
  Term.majority(term);

export const Proposer = {
  of(needs: Proposer.Needs): Proposer {
    const { register } = needs;
    const vote = (isGranted: boolean): Proposer.Vote => ({
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
    const askAll = async (
      request: Parameters<Courier['ask']>[0],
      mine: () => Promise<boolean>,
      isEnough: (votes: readonly Proposer.Vote[]) => boolean = () => false,
    ): Promise<readonly Proposer.Vote[]> => {
      const votes: Proposer.Vote[] = [];
      await new Promise<void>((resolve) => {
        const finish = () => resolve();
        const take = (told: Frame.Reply | Proposer.Vote) => {
          if (!('isGranted' in told)) return;
          votes.push(told as Proposer.Vote);
          remember(votes);
          if (isEnough(votes)) finish();
        };
        const others = needs.couriers().map((courier) => courier.ask(request, within).then(take));
        const own = bounded(mine(), within).then(vote).then(take);
        void Promise.allSettled([own, ...others]).then(finish);
      });
      return votes.filter(
        (one, index) => votes.findIndex((other) => other.core.disk === one.core.disk) === index,
      );
    };
    let highestRound = 0;
    const remember = (votes: readonly Proposer.Vote[]) => {
      for (const one of votes) highestRound = Math.max(highestRound, one.promised?.round ?? 0);
    };
    const granted = (votes: readonly Proposer.Vote[]) => votes.filter((one) => one.isGranted);
    const nextBallot = (votes: readonly Proposer.Vote[]): Ballot =>
      Ballot.after(
        Math.max(register.promised().round, highestRound, ...votes.map((one) => one.promised?.round ?? 0)),
        register.disk,
      );
    const isQuorum = (votes: readonly Proposer.Vote[]): boolean => {
      if (!votes.some((one) => one.core.disk === register.disk)) return false;
      const base = highestOf(granted(votes))?.term;
      return base !== null && base !== undefined && isMajority(granted(votes), base);
    };
    const peek = () => askAll({ kind: 'peek' }, async () => true);
    const prepare = (ballot: Ballot, isForming: boolean) =>
      askAll(
        { kind: 'prepare', ballot, isForming },
        () => register.prepare(ballot, isForming),
        isForming ? undefined : isQuorum,
      );
    const accept = (ballot: Ballot, term: Term, before?: Term) =>
      askAll(
        { kind: 'accept', ballot, term },
        () => register.accept(ballot, term),
        before && ((votes) => isMajority(granted(votes), before) && isMajority(granted(votes), term)),
      );
    return {
      vote,
      votes: peek,
      async read() {
        const votes = (await peek()).filter((one) => !one.isBlank);
        const top = highestOf(votes);
        if (!top?.term || !top.accepted) return undefined;
        const agreeing = votes.filter(
          (one) => one.accepted !== null && Ballot.compare(one.accepted, top.accepted!) === 0,
        );
        return isMajority(agreeing, top.term) ? top.term : undefined;
      },
      confirm: (term) =>
        new Promise((resolve) => {
          const agreeing = new Set<string>();
          const count = ({ core, term: told }: Proposer.Vote) => {
            if (told?.epoch === term.epoch && Term.has(term, core.disk)) agreeing.add(core.disk);
            if (agreeing.size >= Term.majority(term)) resolve(true);
          };
          const asked = needs.couriers().map(async (courier) => {
            const reply = await courier.ask({ kind: 'peek' }, within);
            if (reply.kind === 'vote') count(reply);
          });
          count(vote(true));
          void Promise.allSettled(asked).then(() => resolve(false));
        }),
      async change(next) {
        let ballot = nextBallot([]);
        let grants = granted(await prepare(ballot, false));
        let base = highestOf(grants)?.term;
        if ((!base || !isMajority(grants, base)) && highestRound >= ballot.round) {
          ballot = nextBallot([]);
          grants = granted(await prepare(ballot, false));
          base = highestOf(grants)?.term;
        }
        if (!base || !isMajority(grants, base)) return { isDone: false, term: undefined, ballot };
        const wanted = next(base);
        const value = wanted ?? base;
        const accepts = granted(await accept(ballot, value, base));
        const isChosen = isMajority(accepts, base) && isMajority(accepts, value);
        return { isDone: isChosen && wanted !== undefined, term: isChosen ? value : undefined, ballot };
      },
      async form(make, atLeast) {
        const ballot = nextBallot(await peek());
        const grants = granted(await prepare(ballot, true));
        if (grants.length < atLeast) return undefined;
        const wanted = make(grants);
        if (!wanted) return undefined;
        const accepts = granted(await accept(ballot, wanted));
        const asked = wanted.cores.filter((core) => grants.some((one) => one.core.disk === core.disk));
        const isWhole = asked.every((core) => accepts.some((one) => one.core.disk === core.disk));
        return isWhole ? wanted : undefined;
      },
      async install() {
        const term = register.term();
        if (term) await accept(register.accepted(), term);
      },
    };
  },
};
