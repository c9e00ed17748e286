/**
 * Checks of durations: the time that servers are given, the timeout of a route, and work that continues for a client that
 * has disconnected.
 */
import type { Recording } from './recording.js';
import { RouteBook } from './route-book.js';
import { Verdict } from './verdict.js';

/** The checks of durations. */
export type TimeChecks = Readonly<Record<'remaining' | 'timeout' | 'gone', Verdict.Check>>;

/** What a measured time may be off, in milliseconds. */
const slack = 500;
const mostHandedTooLong = 20;
const leastHeldTooLong = 8;
const mostAfterLeaving = 3;

const laterThan = (earlier: Verdict.Arrival, arrival: Verdict.Arrival): boolean =>
  arrival.at > earlier.at + slack;

/** The longest time that a route of the request has, in any version that may be in force. */
const timeoutOf = (book: RouteBook, sent: Recording.Sent): number | undefined => {
  const times = book.versions
    .filter(book.mayBeInForce)
    .flatMap((version) => book.find(version, sent.host, sent.path)?.timeout ?? []);
  return times.length === 0 ? undefined : Math.max(...times);
};

/** The checks of durations, by name. */
export const TimeChecks: TimeChecks = {
  remaining(recording) {
    const tries = Verdict.tries(recording);
    const firsts = new Map<string, Verdict.Arrival>();
    const judged = Verdict.arrivals(recording).flatMap((arrival) => {
      const sent = tries.get(arrival.attempt);
      if (sent?.left === undefined) return [];
      const first = firsts.get(arrival.attempt) ?? arrival;
      firsts.set(arrival.attempt, first);
      const { remaining } = arrival;
      const isLate = laterThan(first, arrival);
      const allowed = Math.max(first.at + (first.remaining ?? 0), sent.at + sent.left) + slack;
      const isLonger =
        remaining === undefined ||
        remaining > sent.left + slack ||
        (isLate && arrival.at + remaining > allowed);
      return [{ arrival, isLate, isLonger }];
    });
    const longer = judged.filter((one) => one.isLonger);
    const counted = judged.filter((one) => one.isLonger || one.isLate);
    const isBroken = longer.length > mostHandedTooLong && longer.length > counted.length / 5;
    return {
      occasions: judged.length,
      breaches: isBroken
        ? longer.map(({ arrival }) => `${arrival.attempt} handed ${arrival.remaining ?? 'no time'}`)
        : [],
    };
  },
  timeout(recording) {
    const book = RouteBook.of(recording);
    const tries = Verdict.tries(recording);
    const longest = recording.ended.flatMap((ended) => {
      const sent = tries.get(ended.attempt);
      const timeout = sent && timeoutOf(book, sent);
      if (!sent || timeout === undefined || (sent.left ?? 0) <= timeout + slack) return [];
      const over = ended.at - sent.at - timeout;
      return over > 0 ? [{ attempt: ended.attempt, over }] : [];
    });
    const held = longest.filter(({ over }) => over > slack);
    const isBroken = held.length >= leastHeldTooLong && held.length > longest.length / 4;
    return {
      occasions: longest.length,
      breaches: isBroken
        ? held.map(({ attempt, over }) => `${attempt} held ${Math.round(over)} ms past its route's time`)
        : [],
    };
  },
  gone(recording) {
    const left = new Map(
      recording.ended
        .filter(({ outcome }) => outcome === 'left' || outcome === 'silent')
        .map((ended) => [ended.attempt, ended.at]),
    );
    const leftLongBefore = (attempt: string, at: number) => at > (left.get(attempt) ?? at) + slack;
    const arrived = Verdict.arrivals(recording).filter(({ attempt, at }) => leftLongBefore(attempt, at));
    const tries = Verdict.tries(recording);
    const finished = [...Verdict.ofKind(recording, 'done'), ...Verdict.ofKind(recording, 'ended')].filter(
      ({ attempt, at }) => tries.get(attempt)?.runs !== 'once' && at > (left.get(attempt) ?? at),
    );
    const working = finished.filter(({ attempt, at }) => leftLongBefore(attempt, at));
    const isWorking = working.length > Math.max(mostAfterLeaving, finished.length / 4);
    return {
      occasions: left.size,
      breaches: [
        ...(arrived.length > mostAfterLeaving
          ? arrived.map(({ attempt }) => `${attempt} reached a server after its client had left`)
          : []),
        ...(isWorking ? working.map(({ attempt }) => `${attempt} ran on after its client had left`) : []),
      ],
    };
  },
};
