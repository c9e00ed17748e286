// A signal that is rung once and waited for within a bound, for tasks that go on when something has moved.
import { Timer } from './timer.js';

export type Latch = {
  readonly ring: () => void;
  readonly within: (span: number) => Promise<void>;
};

export const Latch = {
  of(): Latch {
    const rung = new AbortController();
    return {
      ring: () => rung.abort(),
      within: (span) => Timer.pause(span, rung.signal),
    };
  },
};
