// A core that is about to end hands over what it does: leadership goes to a backup, its place in sync to another core
// that takes the state first, and its slot to a newcomer if one waits. So no acknowledged change is on fewer disks
// than before when the process is gone. All of it is bounded, and where too few others are able nothing is tried: the
// process ends, and what it holds comes back with its disk. Others that are silent are waited for a while, since one
// that was just started again is linked only after that.

import { Failure } from '../../common/failure.js';
import { Instant } from '../../common/instant.js';
import { Timer } from '../../common/timer.js';
import { Ballot } from '../../epoch/ballot.js';
import { Term } from '../../epoch/term.js';
import type { Vote } from '../../epoch/vote.js';
import type { Frame } from '../../wire/frame.js';
import type { CoreContext } from './core-context.js';
import type { Joining } from './joining.js';

export type Leaving = {
  /** Resolves once this core is released, or when the time is over. */
  readonly run: () => Promise<void>;
};

/** How long leaving may take, in milliseconds. */
const leaveWithin = 2500;
/** How long one round of votes may take: longer than a silent core holds one up. */
const votesWithin = 1100;
/** How long others that are silent or blank are waited for, in milliseconds. */
const othersWithin = 800;
/** How soon it is tried again, in milliseconds. */
const againAfter = 50;

type Others = 'able' | 'awaited' | 'too few';

/** Whether a majority of the cores can go on without this one, now or once those that are silent or blank take part. */
const othersOf = ({ options: needs }: CoreContext, votes: readonly Vote[], term: Term): Others => {
  const others = term.cores
    .filter(({ disk }) => disk !== needs.register.disk)
    .map(({ disk }) => votes.find(({ core }) => core.disk === disk));
  const able = others.filter((vote) => vote?.isAble && !vote.isBlank);
  const staying = others.filter((vote) => vote?.isAble !== false);
  if (able.length >= Term.majority(term)) return 'able';
  return staying.length >= Term.majority(term) ? 'awaited' : 'too few';
};

const askForRelease = async (
  { options: needs }: CoreContext,
  term: Term,
  successor: Frame.Core | undefined,
  within: number,
): Promise<string> => {
  const primary = Term.core(term, term.primary);
  if (!primary || primary.disk === needs.register.disk) return 'no other core leads yet';
  const courier = needs.clientFor(primary);
  const request = { kind: 'leave', core: needs.self(), successor: successor ?? null } as const;
  const reply = await courier?.ask(request, within);
  return reply?.kind === 'done' ? reply.why : 'the primary does not answer';
};

export const Leaving = {
  of(life: CoreContext, joining: Joining): Leaving {
    const { register, proposer, note } = life.options;
    let successor: Frame.Core | undefined;
    /** One attempt; resolves with the reason why this core is not released yet, or with nothing. */
    const attempt = async (until: Instant, othersUntil: Instant): Promise<string> => {
      const late = Timer.sleep(votesWithin).then(() => undefined);
      const votes = await Promise.race([proposer.votes(), late]);
      if (!votes) return 'the others are slow';
      for (const { term, accepted } of votes) life.knownTerm.learn(term, accepted ?? Ballot.none);
      const term = life.knownTerm.term();
      if (!term || register.isBlank() || !Term.has(term, register.disk)) return '';
      const others = othersOf(life, votes, term);
      if (others === 'awaited' && !Instant.isPast(othersUntil)) return 'others are silent';
      if (others !== 'able') {
        note('ends without a release', { why: 'too few other cores are able' });
        return '';
      }
      if (life.primary) {
        successor = life.primary.joiningCore() ?? successor;
        return (await life.primary.transferLeadership()) || 'leadership is handed over';
      }
      return askForRelease(life, term, successor, Instant.remaining(until));
    };
    const release = async () => {
      const until = Instant.after(leaveWithin);
      const othersUntil = Instant.after(othersWithin);
      while (!Instant.isPast(until)) {
        const why = await attempt(until, othersUntil).catch(Failure.text);
        if (why === '') break;
        note('not released yet', { why });
        await Timer.sleep(againAfter);
      }
      await life.collectVotes();
      await joining.retireIfReplaced();
    };
    return {
      async run() {
        life.isLeaving = true;
        await Promise.race([release().catch(() => undefined), Timer.sleep(leaveWithin)]);
      },
    };
  },
};
