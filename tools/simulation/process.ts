// One run of a program on a simulated machine: all that it is woken by goes through here, so that nothing wakes it once
// it was killed, and what comes while it is frozen waits until it goes on.
import type { Clock, Event } from './clock.js';

export type Process = {
  readonly ip: string;
  readonly isAlive: () => boolean;
  /** Wakes the process; put off while it is frozen, nothing when it has ended. */
  readonly run: (work: () => void) => void;
  readonly after: (milliseconds: number, work: () => void) => Event;
  /** Told once, when the process ends: clean when the host's kernel is left to close its connections. */
  readonly onEnd: (see: (isClean: boolean) => void) => () => void;
  readonly end: (isClean: boolean) => void;
  readonly freeze: () => void;
  readonly thaw: () => void;
};

export const Process = {
  of(clock: Clock, ip: string): Process {
    const watchers = new Set<(isClean: boolean) => void>();
    let isAlive = true;
    let isFrozen = false;
    let waiting: (() => void)[] = [];
    const run = (work: () => void) => {
      if (!isAlive) return;
      if (isFrozen) waiting.push(work);
      else work();
    };
    return {
      ip,
      isAlive: () => isAlive,
      run,
      after: (milliseconds, work) => clock.after(milliseconds, () => run(work)),
      onEnd(see) {
        watchers.add(see);
        return () => void watchers.delete(see);
      },
      end(isClean) {
        if (!isAlive) return;
        isAlive = false;
        waiting = [];
        for (const see of [...watchers]) see(isClean);
        watchers.clear();
      },
      freeze() {
        isFrozen = true;
      },
      thaw() {
        isFrozen = false;
        const late = waiting;
        waiting = [];
        late.forEach((work, index) => {
          clock.after(0.001 * (index + 1), () => run(work));
        });
      },
    };
  },
};
