/** Timers that can be stopped and rescheduled, and abortable sleeps. All of them run on the monotonic clock. */
import { Ticker } from './ticker.js';

/** A running timer. */
export type Timer = {
  readonly stop: () => void;
  /** Starts over with another span, in milliseconds. */
  readonly reschedule: (span: number) => void;
  /** Starts its span over without allocating a new timer. */
  readonly restart: () => void;
};

/** Creates timers and sleeps. */
export const Timer = {
  /** Calls back once, after `span` milliseconds. */
  after(span: number, callback: () => void): Timer {
    let timer = setTimeout(callback, Math.max(0, span));
    return {
      stop: () => clearTimeout(timer),
      restart: () => void timer.refresh(),
      reschedule(next) {
        clearTimeout(timer);
        timer = setTimeout(callback, Math.max(0, next));
      },
    };
  },
  /** Calls back periodically, aligned with all other periodic work of the process (see `Ticker`). */
  every: (span: number, callback: () => void): Timer => Ticker.start(span, callback),
  /** Sleeps between two steps of periodic work; wakes on the shared time grid, or early when the signal aborts. */
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
  /** Sleeps for `span` milliseconds, or until the signal aborts. */
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
