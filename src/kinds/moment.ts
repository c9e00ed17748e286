// Moments are points on this process's monotonic clock and spans are milliseconds between them. The
// wall clock appears only in what people read, never in a decision.
export type Moment = number & { readonly kind: 'moment' };

const origin = process.hrtime();

/** The steady clock, in milliseconds. `performance.now` reads the same one, but loads a good deal first. */
const now = (): number => {
  const [seconds, rest] = process.hrtime(origin);
  return seconds * 1000 + rest / 1e6;
};

export const Moment = {
  now: (): Moment => now() as Moment,
  after: (span: number, from: Moment = Moment.now()): Moment => (from + span) as Moment,
  since: (from: Moment): number => now() - from,
  left: (until: Moment): number => until - now(),
  isPast: (until: Moment): boolean => now() >= until,
  earliest: (a: Moment, b: Moment): Moment => (a < b ? a : b),
  never: Number.POSITIVE_INFINITY as Moment,
  past: Number.NEGATIVE_INFINITY as Moment,
};
