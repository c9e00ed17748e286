/**
 * What one process of a proxy has admitted of a team's quota over time, from the running totals in its reports. A holder of the
 * quota duty uses it to tell how much of a process that is gone has left the span already.
 */
import { Instant } from '../common/instant.js';
import { UsageWindow } from './usage-window.js';

/** The admissions of one process over time. */
export type UsageHistory = {
  /** Records the running totals that a report sent at the given time states. */
  readonly record: (totals: UsageHistory.Totals, sentAt: Instant) => void;
  /** What was certainly admitted, and not refunded, after `from` and not after `until`. */
  readonly between: (from: Instant, until: Instant) => UsageWindow.Usage;
};

/** Running totals of a process. */
export declare namespace UsageHistory {
  type Totals = { readonly admitted: UsageWindow.Usage; readonly refunded: UsageWindow.Usage };
}

/** Admissions that happened after `after` and not after `until`. */
type Increment = { readonly after: Instant; until: Instant; requests: number; prompt: number };

/** Increments of reports that follow each other within this time are kept as one, in milliseconds. */
const resolutionMs = 500;
/** How much earlier than its estimate a report may have been sent, in milliseconds: the least time in transit. */
const maxTransitErrorMs = 250;

const isNothing = ({ requests, prompt }: UsageWindow.Usage): boolean => requests === 0 && prompt === 0;

/** Creates histories. */
export const UsageHistory = {
  /** Keeps increments for the given time. */
  of(keptMs: number): UsageHistory {
    let increments: Increment[] = [];
    let refunds: { readonly at: Instant; readonly amount: UsageWindow.Usage }[] = [];
    let totals: UsageHistory.Totals = { admitted: UsageWindow.zero, refunded: UsageWindow.zero };
    let sentAt: Instant | undefined;
    const addRefund = (amount: UsageWindow.Usage) => {
      if (isNothing(amount)) return;
      refunds = refunds.filter(({ at }) => Instant.since(at) <= keptMs);
      refunds.push({ at: Instant.now(), amount });
    };
    const addIncrement = ({ requests, prompt }: UsageWindow.Usage, from: Instant) => {
      if (isNothing({ requests, prompt })) return;
      const last = increments.at(-1);
      const until = Instant.now();
      if (last && until - last.after < resolutionMs) {
        last.until = until;
        last.requests += requests;
        last.prompt += prompt;
        return;
      }
      increments = increments.filter((one) => Instant.since(one.until) <= keptMs);
      increments.push({ after: Instant.after(-maxTransitErrorMs, from), until, requests, prompt });
    };
    return {
      record(next, at) {
        const admitted = UsageWindow.difference(next.admitted, totals.admitted);
        const refunded = UsageWindow.difference(next.refunded, totals.refunded);
        const from = sentAt;
        totals = next;
        sentAt = at;
        addRefund(refunded);
        if (from !== undefined) addIncrement(admitted, from);
      },
      between(from, until) {
        const admitted = increments.filter((one) => one.after >= from && one.until <= until);
        const refunded = refunds.filter(({ at }) => at >= from).map(({ amount }) => amount);
        return UsageWindow.difference(
          admitted.reduce<UsageWindow.Usage>(UsageWindow.sum, UsageWindow.zero),
          refunded.reduce<UsageWindow.Usage>(UsageWindow.sum, UsageWindow.zero),
        );
      },
    };
  },
};
