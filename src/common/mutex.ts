// Turns let one piece of work run at a time, in the order asked for.
export type Mutex = { readonly runExclusive: <T>(work: () => Promise<T>) => Promise<T> };

export const Mutex = {
  of(): Mutex {
    let last: Promise<unknown> = Promise.resolve();
    return {
      runExclusive<T>(work: () => Promise<T>): Promise<T> {
        const mine = last.then(work, work);
        last = mine.catch(() => undefined);
        return mine;
      },
    };
  },
};
