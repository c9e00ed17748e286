/**
 * The release of a core that is shutting down: leadership goes to a backup, its in-sync membership to another core that
 * catches up first, and its slot to a newcomer if one waits, so that no acknowledged change is on fewer disks than before
 * when the process exits. All of it is bounded in time. Where too few other cores are able, nothing is attempted: the
 * process exits, and its data returns with its disk. Silent cores are waited for a while, since a core that has just
 * restarted needs a moment to reconnect.
 */

import { Failure } from '../../common/failure.js';
import { Instant } from '../../common/instant.js';
import { Timer } from '../../common/timer.js';
import { Ballot } from '../../epoch/ballot.js';
import { Term } from '../../epoch/term.js';
import type { Vote } from '../../epoch/vote.js';
import type { Frame } from '../../wire/frame.js';
import type { CoreContext } from './core-context.js';
import type { Joining } from './joining.js';

/** The release of a core before shutdown. */
export type Leaving = {
  /** Resolves once this core is released, or when the time limit is reached. */
  readonly run: () => Promise<void>;
};

/** The time limit of the whole release, in milliseconds. */
const leaveTimeoutMs = 2500;
/** How long one round of votes may take, in milliseconds: longer than a silent core delays it. */
const votesTimeoutMs = 1100;
/** How long silent or blank cores are waited for, in milliseconds. */
const othersTimeoutMs = 800;
/** The pause between two attempts, in milliseconds. */
const retryDelayMs = 50;

type OthersReadiness = 'able' | 'awaited' | 'too few';

/** Whether a majority of the cores can continue without this one, now or once the silent and blank ones take part. */
const othersReadiness = ({ options }: CoreContext, votes: readonly Vote[], term: Term): OthersReadiness => {
  const others = term.cores
    .filter(({ disk }) => disk !== options.register.disk)
    .map(({ disk }) => votes.find(({ core }) => core.disk === disk));
  const able = others.filter((vote) => vote?.isAble && !vote.isBlank);
  const staying = others.filter((vote) => vote?.isAble !== false);
  if (able.length >= Term.majority(term)) return 'able';
  return staying.length >= Term.majority(term) ? 'awaited' : 'too few';
};

const askForRelease = async (
  { options }: CoreContext,
  term: Term,
  successor: Frame.Core | undefined,
  within: number,
): Promise<string> => {
  const primary = Term.core(term, term.primary);
  if (!primary || primary.disk === options.register.disk) return 'no other core leads yet';
  const client = options.clientFor(primary);
  const request = { kind: 'leave', core: options.self(), successor: successor ?? null } as const;
  const reply = await client?.ask(request, within);
  return reply?.kind === 'done' ? reply.why : 'the primary does not answer';
};

/** Creates the release of a core. */
export const Leaving = {
  of(context: CoreContext, joining: Joining): Leaving {
    const { register, proposer, note } = context.options;
    let successor: Frame.Core | undefined;
    /** One attempt; resolves to the reason why this core is not released yet, or to an empty string. */
    const attempt = async (until: Instant, othersUntil: Instant): Promise<string> => {
      const expired = Timer.sleep(votesTimeoutMs).then(() => undefined);
      const votes = await Promise.race([proposer.votes(), expired]);
      if (!votes) return 'the votes of the other cores are late';
      for (const { term, accepted } of votes) context.knownTerm.learn(term, accepted ?? Ballot.none);
      const term = context.knownTerm.term();
      if (!term || register.isBlank() || !Term.has(term, register.disk)) return '';
      const others = othersReadiness(context, votes, term);
      if (others === 'awaited' && !Instant.isPast(othersUntil)) return 'other cores are silent or blank';
      if (others !== 'able') {
        note('ends without a release', { why: 'too few other cores are able' });
        return '';
      }
      if (context.primary) {
        successor = context.primary.joiningCore() ?? successor;
        return (await context.primary.transferLeadership()) || 'leadership is handed over';
      }
      return askForRelease(context, term, successor, Instant.remaining(until));
    };
    const release = async () => {
      const until = Instant.after(leaveTimeoutMs);
      const othersUntil = Instant.after(othersTimeoutMs);
      while (!Instant.isPast(until)) {
        const why = await attempt(until, othersUntil).catch(Failure.text);
        if (why === '') break;
        note('not released yet', { why });
        await Timer.sleep(retryDelayMs);
      }
      await context.collectVotes();
      await joining.retireIfReplaced();
    };
    return {
      async run() {
        context.isLeaving = true;
        await Promise.race([release().catch(() => undefined), Timer.sleep(leaveTimeoutMs)]);
      },
    };
  },
};
