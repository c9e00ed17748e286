// Whose turn it is to get a whole view, and whose to hand one up. A few at a time get one, those first that pass it
// on to others; between two of them the process reads and sends its pings, so that nobody who waits takes it for
// silent. Of the children that hold a newer view than is held here one is asked, and another only after a while.
import { Instant } from '../common/instant.js';
import { Stamp } from '../common/stamp.js';
import { Timer } from '../common/timer.js';

export type TransferQueue = {
  readonly enqueue: (isFirst: boolean, work: () => Promise<void>) => void;
  readonly mayRequest: (stamp: Stamp) => boolean;
  readonly queueLength: () => number;
};

const maxConcurrentTransfers = 4;
const longest = 2000;
const askAgainAfter = 500;

export const TransferQueue = {
  maxConcurrent: maxConcurrentTransfers,
  of(): TransferQueue {
    const first: (() => Promise<void>)[] = [];
    const others: (() => Promise<void>)[] = [];
    let running = 0;
    let asked = Stamp.none;
    let askedAt = Instant.past;
    const next = () => {
      if (running >= maxConcurrentTransfers) return;
      const work = first.shift() ?? others.shift();
      if (!work) return;
      running += 1;
      const late = new AbortController();
      const turn = work().catch(() => undefined);
      void Promise.race([turn, Timer.sleep(longest, late.signal)]).then(() => {
        late.abort();
        running -= 1;
        setImmediate(next);
      });
    };
    return {
      queueLength: () => first.length + others.length,
      enqueue(isFirst, work) {
        (isFirst ? first : others).push(work);
        next();
      },
      mayRequest(stamp) {
        if (!Stamp.isNewer(stamp, asked) && Instant.since(askedAt) < askAgainAfter) return false;
        asked = stamp;
        askedAt = Instant.now();
        return true;
      },
    };
  },
};
