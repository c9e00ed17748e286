/**
 * When a silent server is suspected, so that the prover asks it beside the requests that wait: after a part of the time
 * that is wanted, since a request that has waited for all of it can't be served in time any more.
 */

/** Spans of silence, in milliseconds, after which a server is suspected. */
export type Suspicion = {
  /** After a request was sent whose rule wants its first byte within the aim. */
  readonly firstAfter: (aim: number | undefined) => number;
  /** Between two events of a stream whose rule wants no longer pause than the gap. */
  readonly pauseAfter: (gap: number | undefined) => number | undefined;
};

const longest = 1000;
/** Below this a server that is merely busy would be asked as often as one that is gone. */
const shortest = 600;
const partOfAim = 0.9;
const partOfGap = 0.7;

const within = (span: number): number => Math.min(longest, Math.max(shortest, span));

/** The spans of silence that make a server suspect. */
export const Suspicion: Suspicion = {
  firstAfter: (aim) => (aim === undefined ? longest : within(aim * partOfAim)),
  pauseAfter: (gap) => (gap === undefined ? undefined : within(gap * partOfGap)),
};
