/**
 * Limits how many large views are sent at a time. Children that pass views on to others are served first. Between two
 * transfers the process reads its sockets and sends its pings, so that no waiting child takes it for unresponsive.
 * Views are also requested from one child at a time: of the children that hold a newer view one is asked, and another
 * only after a while.
 */
import { Instant } from '../common/instant.js';
import { Stamp } from '../common/stamp.js';
import { Timer } from '../common/timer.js';

/** A queue of transfers to children. */
export type TransferQueue = {
  /** Runs the transfer when its turn comes; `isFirst` puts it before those without. */
  readonly enqueue: (isFirst: boolean, job: () => Promise<void>) => void;
  /** Whether a view with this stamp may be requested from a child now; true counts as a request. */
  readonly mayRequest: (stamp: Stamp) => boolean;
  /** The number of transfers that wait. */
  readonly queueLength: () => number;
};

const maxConcurrentTransfers = 4;
/** After this time the next transfer starts also when the current one has not ended. */
const maxTurnMs = 2000;
/** Time after which a view that was requested may be requested from another child. */
const requestIntervalMs = 500;

/** Creates transfer queues. */
export const TransferQueue = {
  /** Number of transfers that run at a time. */
  maxConcurrent: maxConcurrentTransfers,
  of(): TransferQueue {
    const priorityJobs: (() => Promise<void>)[] = [];
    const otherJobs: (() => Promise<void>)[] = [];
    let running = 0;
    let requestedStamp = Stamp.none;
    let requestedAt = Instant.past;
    const startNext = () => {
      if (running >= maxConcurrentTransfers) return;
      const job = priorityJobs.shift() ?? otherJobs.shift();
      if (!job) return;
      running += 1;
      const timeout = new AbortController();
      const finished = job().catch(() => undefined);
      void Promise.race([finished, Timer.sleep(maxTurnMs, timeout.signal)]).then(() => {
        timeout.abort();
        running -= 1;
        setImmediate(startNext);
      });
    };
    return {
      queueLength: () => priorityJobs.length + otherJobs.length,
      enqueue(isFirst, job) {
        (isFirst ? priorityJobs : otherJobs).push(job);
        startNext();
      },
      mayRequest(stamp) {
        if (!Stamp.isNewer(stamp, requestedStamp) && Instant.since(requestedAt) < requestIntervalMs)
          return false;
        requestedStamp = stamp;
        requestedAt = Instant.now();
        return true;
      },
    };
  },
};
