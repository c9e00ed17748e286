/**
 * Requests that arrive at a proxy which has just started and has no manifest yet. Usually one is on its way, so these
 * requests wait for it briefly: at most a quarter of the time the client has left, and only shortly after the start of the
 * process. A request whose wait ends without a manifest is refused then; later ones are refused at once.
 */
import { Instant } from '../common/instant.js';
import { Timer } from '../common/timer.js';

/** Lets requests wait for the first manifest. */
export type FirstManifest = {
  /** Releases all waiting requests; later ones do not wait. */
  readonly markArrived: () => void;
  /** Resolves when the manifest is there or the wait is over; `left` is the time the client has left, in milliseconds. */
  readonly wait: (left: number | undefined) => Promise<void>;
};

/** Time after the start in which requests wait at all. */
const waitPeriodMs = 1500;
/** Longest wait of one request. */
const maxWaitMs = 800;

/** Creates the wait of a proxy that starts now. */
export const FirstManifest = {
  of(): FirstManifest {
    const startedAt = Instant.now();
    const waiters = new Set<() => void>();
    let hasArrived = false;
    return {
      markArrived() {
        hasArrived = true;
        for (const finish of waiters) finish();
      },
      wait: (left = Number.POSITIVE_INFINITY) =>
        new Promise((resolve) => {
          const span = Math.min(maxWaitMs, left / 4, waitPeriodMs - Instant.since(startedAt));
          if (hasArrived || span <= 0) return resolve();
          const finish = () => {
            waiters.delete(finish);
            timeout.stop();
            resolve();
          };
          const timeout = Timer.after(span, finish);
          waiters.add(finish);
        }),
    };
  },
};
