// Alarms: one that can be moved and stopped, and a pause that ends early when its signal does. All of
// them run on the monotonic clock and none keeps a process alive by itself.
export type Alarm = { readonly stop: () => void; readonly move: (span: number) => void };

export const Alarm = {
  after(span: number, ring: () => void): Alarm {
    let alarm = setTimeout(ring, Math.max(0, span));
    return {
      stop: () => clearTimeout(alarm),
      move(next) {
        clearTimeout(alarm);
        alarm = setTimeout(ring, Math.max(0, next));
      },
    };
  },
  every(span: number, ring: () => void): Alarm {
    let alarm = setInterval(ring, span);
    return {
      stop: () => clearInterval(alarm),
      move(next) {
        clearInterval(alarm);
        alarm = setInterval(ring, next);
      },
    };
  },
  pause: (span: number, signal?: AbortSignal): Promise<void> =>
    new Promise((resolve) => {
      if (signal?.aborted) return resolve();
      const finish = () => {
        clearTimeout(alarm);
        signal?.removeEventListener('abort', finish);
        resolve();
      };
      const alarm = setTimeout(finish, Math.max(0, span));
      signal?.addEventListener('abort', finish, { once: true });
    }),
};
