/**
 * Sums the failure counts that the proxies below a core report for servers, and broadcasts the sums to all of them twice a
 * second. Only the highest counts are sent, so that an outage of all servers costs no more traffic than that of one.
 */
import { Timer } from '../common/timer.js';
import type { Frame } from '../wire/frame.js';

/** Aggregates failure reports. */
export type FailureAggregator = {
  readonly add: (reports: readonly Frame.Failed[]) => void;
  readonly stop: () => void;
};

const flushIntervalMs = 500;
const maxEntries = 16;

/** Creates an aggregator that broadcasts its sums. */
export const FailureAggregator = {
  of(broadcast: (failed: readonly Frame.Failed[]) => void): FailureAggregator {
    const sums = new Map<string, number>();
    const flush = Timer.every(flushIntervalMs, () => {
      if (sums.size === 0) return;
      const worst = [...sums].sort(([, a], [, b]) => b - a).slice(0, maxEntries);
      sums.clear();
      broadcast(worst.map(([instance, count]) => ({ instance, count })));
    });
    return {
      add(reports) {
        for (const { instance, count } of reports)
          if (count > 0) sums.set(instance, (sums.get(instance) ?? 0) + count);
      },
      stop: flush.stop,
    };
  },
};
