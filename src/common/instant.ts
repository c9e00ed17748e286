// Moments are points on this process's monotonic clock and spans are milliseconds between them. The
// wall clock appears only in what people read, never in a decision.
export type Instant = number & { readonly kind: 'moment' };

const origin = process.hrtime();

/** The steady clock, in milliseconds. `performance.now` reads the same one, but loads a good deal first. */
const now = (): number => {
  const [seconds, rest] = process.hrtime(origin);
  return seconds * 1000 + rest / 1e6;
};

export const Instant = {
  now: (): Instant => now() as Instant,
  after: (span: number, from: Instant = Instant.now()): Instant => (from + span) as Instant,
  since: (from: Instant): number => now() - from,
  remaining: (until: Instant): number => until - now(),
  isPast: (until: Instant): boolean => now() >= until,
  earliest: (a: Instant, b: Instant): Instant => (a < b ? a : b),
  never: Number.POSITIVE_INFINITY as Instant,
  past: Number.NEGATIVE_INFINITY as Instant,
};
