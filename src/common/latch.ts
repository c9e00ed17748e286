/** A one-shot latch that tasks wait for with a timeout. */
import { Timer } from './timer.js';

/** Is released once and stays released. */
export type Latch = {
  readonly release: () => void;
  /** Resolves when the latch is released, or after `span` milliseconds at the latest. */
  readonly wait: (span: number) => Promise<void>;
};

/** Creates latches. */
export const Latch = {
  of(): Latch {
    const released = new AbortController();
    return {
      release: () => released.abort(),
      wait: (span) => Timer.sleep(span, released.signal),
    };
  },
};
