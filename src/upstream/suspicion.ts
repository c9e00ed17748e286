/**
 * When a silent server is suspected, so that the health checker checks it in parallel to the requests that wait: after a
 * part of the target time, since a request that has waited for all of it can no longer be served in time.
 */

/** Times of silence, in milliseconds, after which a server is suspected. */
export type Suspicion = {
  /** After a request was sent, by the rule's target for the first byte. */
  readonly firstAfter: (aim: number | undefined) => number;
  /** Between two events of a stream, by the rule's target for the gap between them; undefined when it has none. */
  readonly pauseAfter: (gap: number | undefined) => number | undefined;
};

const maxSilenceMs = 1000;
/** Below this a server that is merely busy would be checked as often as one that has failed. */
const minSilenceMs = 600;
const aimShare = 0.9;
const gapShare = 0.7;

const clamp = (span: number): number => Math.min(maxSilenceMs, Math.max(minSilenceMs, span));

/** Derives the times of silence from a rule's targets. */
export const Suspicion: Suspicion = {
  firstAfter: (aim) => (aim === undefined ? maxSilenceMs : clamp(aim * aimShare)),
  pauseAfter: (gap) => (gap === undefined ? undefined : clamp(gap * gapShare)),
};
