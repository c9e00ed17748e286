/** An asynchronous mutual-exclusion lock. */

/** Runs one task at a time, in the order of the calls. A task that rejects does not affect the next one. */
export type Mutex = { readonly runExclusive: <T>(task: () => Promise<T>) => Promise<T> };

/** Creates mutexes. */
export const Mutex = {
  of(): Mutex {
    let last: Promise<unknown> = Promise.resolve();
    return {
      runExclusive<T>(task: () => Promise<T>): Promise<T> {
        const result = last.then(task, task);
        last = result.catch(() => undefined);
        return result;
      },
    };
  },
};
