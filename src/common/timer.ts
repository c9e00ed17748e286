/**
 * Timers: one that can be moved and stopped, and a pause that ends early when its signal does. All of
 * them run on the monotonic clock and none keeps a process alive by itself.
 */
import { Ticker } from './ticker.js';

/** A timer that runs. */
export type Timer = {
  readonly stop: () => void;
  readonly reschedule: (span: number) => void;
  /** Begins its span anew, without the cost of a new timer. */
  readonly restart: () => void;
};

export const Timer = {
  after(span: number, ring: () => void): Timer {
    let timer = setTimeout(ring, Math.max(0, span));
    return {
      stop: () => clearTimeout(timer),
      restart: () => void timer.refresh(),
      reschedule(next) {
        clearTimeout(timer);
        timer = setTimeout(ring, Math.max(0, next));
      },
    };
  },
  /** Rings again and again, on the grid of all periodic work. */
  every: (span: number, ring: () => void): Timer => Ticker.start(span, ring),
  /** A pause between two steps of periodic work, which ends on the grid of all such work. */
  sleepAligned: (span: number, signal?: AbortSignal): Promise<void> =>
    new Promise((resolve) => {
      if (signal?.aborted) return resolve();
      const finish = () => {
        ticker.stop();
        signal?.removeEventListener('abort', finish);
        resolve();
      };
      const ticker = Ticker.once(span, finish);
      signal?.addEventListener('abort', finish, { once: true });
    }),
  sleep: (span: number, signal?: AbortSignal): Promise<void> =>
    new Promise((resolve) => {
      if (signal?.aborted) return resolve();
      const finish = () => {
        clearTimeout(timer);
        signal?.removeEventListener('abort', finish);
        resolve();
      };
      const timer = setTimeout(finish, Math.max(0, span));
      signal?.addEventListener('abort', finish, { once: true });
    }),
};
