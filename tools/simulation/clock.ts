// The clock of a simulated world: a queue of events by time, in whole microseconds. Between two events everything that
// was promised by the first is done, so that the order of all work is the order of this queue and nothing else.

/** An event that was put on the queue and may be taken off again. */
export type Event = { cancel: () => void };

/** Simulated time and what is due at it. */
export type Clock = {
  readonly now: () => number;
  /** Milliseconds since the simulation began. */
  readonly at: () => number;
  readonly after: (milliseconds: number, work: () => void) => Event;
  readonly pause: (milliseconds: number) => Promise<void>;
  /** Plays events until a time in milliseconds, or until told to stop. */
  readonly runUntil: (milliseconds: number, isOver?: () => boolean) => Promise<void>;
  readonly played: () => number;
};

type Entry = { readonly due: number; readonly serial: number; work: (() => void) | undefined };

const isBefore = (a: Entry, b: Entry): boolean => a.due < b.due || (a.due === b.due && a.serial < b.serial);

const heap = () => {
  const entries: Entry[] = [];
  const swap = (a: number, b: number) => {
    const held = entries[a]!;
    entries[a] = entries[b]!;
    entries[b] = held;
  };
  const sink = () => {
    for (let index = 0; ; ) {
      const left = 2 * index + 1;
      const right = left + 1;
      let least = index;
      if (left < entries.length && isBefore(entries[left]!, entries[least]!)) least = left;
      if (right < entries.length && isBefore(entries[right]!, entries[least]!)) least = right;
      if (least === index) return;
      swap(index, least);
      index = least;
    }
  };
  return {
    first: () => entries[0],
    add(entry: Entry) {
      entries.push(entry);
      let index = entries.length - 1;
      while (index > 0) {
        const parent = (index - 1) >> 1;
        if (!isBefore(entries[index]!, entries[parent]!)) return;
        swap(index, parent);
        index = parent;
      }
    },
    shift(): Entry | undefined {
      const first = entries[0];
      const last = entries.pop();
      if (first !== undefined && last !== undefined && entries.length > 0) {
        entries[0] = last;
        sink();
      }
      return first;
    },
  };
};

export const Clock = {
  /** `onError` takes what the work of an event throws; the clock goes on. */
  of(onError: (error: unknown) => void): Clock {
    const queue = heap();
    let now = 0;
    let serial = 0;
    let played = 0;
    const after = (milliseconds: number, work: () => void): Event => {
      const entry: Entry = {
        due: now + Math.max(0, Math.round(milliseconds * 1000)),
        serial: ++serial,
        work,
      };
      queue.add(entry);
      return {
        cancel() {
          entry.work = undefined;
        },
      };
    };
    return {
      now: () => now,
      at: () => now / 1000,
      after,
      pause: (milliseconds) =>
        new Promise((resolve) => {
          after(milliseconds, resolve);
        }),
      played: () => played,
      runUntil: (milliseconds, isOver = () => false) =>
        new Promise((resolve) => {
          const end = Math.round(milliseconds * 1000);
          const next = () => {
            for (;;) {
              const first = queue.first();
              if (first === undefined || first.due > end || isOver()) {
                now = Math.max(now, end);
                resolve();
                return;
              }
              queue.shift();
              if (first.work === undefined) continue;
              now = first.due;
              played += 1;
              try {
                first.work();
              } catch (error) {
                onError(error);
              }
              setImmediate(next);
              return;
            }
          };
          setImmediate(next);
        }),
    };
  },
};
