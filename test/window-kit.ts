/** A mocked clock, and counts in sliding windows, for tests of limits. Tests restore the clock by `mock.restoreAll`. */
import { mock } from 'node:test';

/** Replaces the clock that `Instant` reads; times are in milliseconds. */
export const clock = (from = 1000) => {
  let now = from;
  mock.method(process, 'hrtime', () => [Math.floor(now / 1000), (now % 1000) * 1e6]);
  return {
    now: () => now,
    advance(span: number) {
      now += span;
    },
  };
};

/** The most of the given times that lie in any window. */
export const maxInWindow = (times: readonly number[], span: number): number =>
  Math.max(...times.map((from) => times.filter((at) => at >= from && at < from + span).length));
