/**
 * Check of kept connections: a request that was passed on over one, and that its server went on with, is answered. The connection
 * is not closed around it by a machine that runs.
 */
import type { Recording } from './recording.js';
import { Verdict } from './verdict.js';

/** The check of connections. */
export type ConnectionChecks = Readonly<Record<'lost', Verdict.Check>>;

/** So many of one machine are excused. */
const mostLost = 3;
/** The part of the grace period after which a machine that drains may cut what is under way. */
const drainedPart = 2 / 3;

/** Attempts whose server completed them, or was left by the machine that had passed them on. */
const soundAttempts = (recording: Recording): ReadonlySet<string> =>
  new Set([
    ...Verdict.ofKind(recording, 'done').map(({ attempt }) => attempt),
    ...Verdict.ofKind(recording, 'ended').flatMap(({ attempt, why }) => (why === 'left' ? [attempt] : [])),
  ]);

/** Whether the machine of a request was killed, or at the end of its drain, when the connection was closed. */
const isCutByEnd = (
  recording: Recording,
  { front, at: sentAt }: Recording.Sent,
  closedAt: number,
  graceMs: number,
): boolean =>
  recording.ends.some(({ at, front: ended, isDrain }) => {
    const nextLife = recording.lives.find((life) => life.front === front && life.at > at)?.at;
    const cutsFrom = isDrain ? at + graceMs * drainedPart : at;
    return ended === front && closedAt >= cutsFrom && sentAt <= (nextLife ?? Number.POSITIVE_INFINITY);
  });

/** The check of connections, by name. */
export const ConnectionChecks: ConnectionChecks = {
  lost(recording, { grace }) {
    const tries = Verdict.tries(recording);
    const sound = soundAttempts(recording);
    const kept = recording.ended.flatMap((ended) => {
      const sent = tries.get(ended.attempt);
      return sent?.isKept && sound.has(ended.attempt) ? [{ ended, sent }] : [];
    });
    const lost = kept.filter(
      ({ ended, sent }) => ended.outcome === 'unreached' && !isCutByEnd(recording, sent, ended.at, grace),
    );
    const breaches = [...Verdict.groupBy(lost, ({ sent }) => sent.front)].flatMap(([front, group]) =>
      group.length > mostLost
        ? group.map(({ ended }) => `${front} closed its connection around ${ended.attempt}: ${ended.why}`)
        : [],
    );
    return { occasions: kept.length, breaches };
  },
};
