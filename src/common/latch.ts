// A signal that is rung once and waited for within a bound, for tasks that go on when something has moved.
import { Timer } from './timer.js';

export type Latch = {
  readonly release: () => void;
  readonly wait: (span: number) => Promise<void>;
};

export const Latch = {
  of(): Latch {
    const rung = new AbortController();
    return {
      release: () => rung.abort(),
      wait: (span) => Timer.sleep(span, rung.signal),
    };
  },
};
