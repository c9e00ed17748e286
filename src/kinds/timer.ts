// Timers: one that can be moved and stopped, and a pause that ends early when its signal does. All of
// them run on the monotonic clock and none keeps a process alive by itself.
export type Timer = {
  readonly stop: () => void;
  readonly move: (span: number) => void;
  /** Begins its span anew, without the cost of a new timer. */
  readonly again: () => void;
};

export const Timer = {
  after(span: number, ring: () => void): Timer {
    let timer = setTimeout(ring, Math.max(0, span));
    return {
      stop: () => clearTimeout(timer),
      again: () => void timer.refresh(),
      move(next) {
        clearTimeout(timer);
        timer = setTimeout(ring, Math.max(0, next));
      },
    };
  },
  every(span: number, ring: () => void): Timer {
    let timer = setInterval(ring, span);
    return {
      stop: () => clearInterval(timer),
      again: () => void timer.refresh(),
      move(next) {
        clearInterval(timer);
        timer = setInterval(ring, next);
      },
    };
  },
  pause: (span: number, signal?: AbortSignal): Promise<void> =>
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
