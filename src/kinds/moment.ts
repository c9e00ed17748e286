// Moments are points on this process's monotonic clock and spans are milliseconds between them. The
// wall clock appears only in what people read, never in a decision.
export type Moment = number & { readonly kind: 'moment' };

export const Moment = {
  now: (): Moment => performance.now() as Moment,
  after: (span: number, from: Moment = Moment.now()): Moment => (from + span) as Moment,
  since: (from: Moment): number => performance.now() - from,
  left: (until: Moment): number => until - performance.now(),
  isPast: (until: Moment): boolean => performance.now() >= until,
  earliest: (a: Moment, b: Moment): Moment => (a < b ? a : b),
  never: Number.POSITIVE_INFINITY as Moment,
  past: Number.NEGATIVE_INFINITY as Moment,
};
