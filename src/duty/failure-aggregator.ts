// What the proxies below a core told of failing servers, summed and passed on to all of them twice a second: the
// worst few only, so that a day on which everything fails costs no more than one on which a server does.
import { Timer } from '../common/timer.js';
import type { Frame } from '../wire/frame.js';

export type FailureAggregator = {
  readonly add: (told: readonly Frame.Failed[]) => void;
  readonly stop: () => void;
};

const every = 500;
const most = 16;

export const FailureAggregator = {
  of(tell: (failed: readonly Frame.Failed[]) => void): FailureAggregator {
    const sums = new Map<string, number>();
    const flush = Timer.every(every, () => {
      if (sums.size === 0) return;
      const worst = [...sums].sort(([, a], [, b]) => b - a).slice(0, most);
      sums.clear();
      tell(worst.map(([instance, count]) => ({ instance, count })));
    });
    return {
      add(told) {
        for (const { instance, count } of told)
          if (count > 0) sums.set(instance, (sums.get(instance) ?? 0) + count);
      },
      stop: flush.stop,
    };
  },
};
