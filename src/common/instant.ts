/**
 * Points in time on the monotonic clock of this process, in milliseconds. The wall clock can jump, so it appears only in
 * output for people and never in a decision.
 */

/** A point in time, in milliseconds since this module was loaded. */
export type Instant = number & { readonly kind: 'moment' };

const origin = process.hrtime();

/** The monotonic clock, in milliseconds. `performance.now` reads the same clock but loads more modules at startup. */
const now = (): number => {
  const [seconds, nanoseconds] = process.hrtime(origin);
  return seconds * 1000 + nanoseconds / 1e6;
};

/** Reads the clock and compares instants. */
export const Instant = {
  now: (): Instant => now() as Instant,
  /** The instant `span` milliseconds after another one. */
  after: (span: number, from: Instant = Instant.now()): Instant => (from + span) as Instant,
  /** Milliseconds elapsed since an instant. */
  since: (from: Instant): number => now() - from,
  /** Milliseconds until an instant; negative once it has passed. */
  remaining: (until: Instant): number => until - now(),
  isPast: (until: Instant): boolean => now() >= until,
  earliest: (a: Instant, b: Instant): Instant => (a < b ? a : b),
  /** Later than every other instant. */
  never: Number.POSITIVE_INFINITY as Instant,
  /** Earlier than every other instant. */
  past: Number.NEGATIVE_INFINITY as Instant,
};
