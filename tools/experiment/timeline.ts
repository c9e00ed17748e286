/**
 * Simulated time of the experiment: a queue of events in milliseconds. After an event that may have settled a promise
 * all that follows from it is run out before the next event; the many steps of servers are quiet and don't wait for it.
 */
import TinyQueue from 'tinyqueue';

/** An event that may be taken off the queue again. */
export type TimelineEvent = { readonly cancel: () => void };

/** The clock of one experiment. */
export type Timeline = {
  readonly now: () => number;
  readonly after: (span: number, work: () => void) => TimelineEvent;
  /** Like `after`, for work that settles no promise by itself. */
  readonly quietlyAt: (time: number, work: () => void) => TimelineEvent;
  readonly runUntil: (time: number) => Promise<void>;
};

type Entry = {
  readonly due: number;
  readonly serial: number;
  readonly isQuiet: boolean;
  work: (() => void) | undefined;
};

const byTime = (a: Entry, b: Entry): number => a.due - b.due || a.serial - b.serial;

const turn = () => new Promise<void>((resolve) => setImmediate(resolve));

/** Clocks that begin at 0. */
export const Timeline = {
  of(): Timeline {
    const queue = new TinyQueue<Entry>([], byTime);
    let now = 0;
    let serial = 0;
    const add = (due: number, isQuiet: boolean, work: () => void): TimelineEvent => {
      serial += 1;
      const entry: Entry = { due: Math.max(now, due), serial, isQuiet, work };
      queue.push(entry);
      return {
        cancel() {
          entry.work = undefined;
        },
      };
    };
    return {
      now: () => now,
      after: (span, work) => add(now + span, false, work),
      quietlyAt: (time, work) => add(time, true, work),
      async runUntil(time) {
        for (let entry = queue.peek(); entry && entry.due <= time; entry = queue.peek()) {
          queue.pop();
          const { work } = entry;
          if (!work) continue;
          now = entry.due;
          work();
          if (!entry.isQuiet) await turn();
        }
        now = Math.max(now, time);
      },
    };
  },
};
