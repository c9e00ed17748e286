// A process that was frozen must not send old work. When the event loop has just resumed after a gap,
// what happened meanwhile (a client that left, timers that rang) is still waiting to be handled, so
// sending first lets the loop turn until it has been; also when the beat was the first to be handled.

import { Instant } from '../common/instant.js';
import { Timer } from '../common/timer.js';

export type Stall = { readonly settle: () => Promise<void>; readonly stop: () => void };

const beat = 200;
const gap = 300;

const turns = async (): Promise<void> => {
  for (let count = 0; count < 3; count += 1) await new Promise<void>((resolve) => setImmediate(resolve));
};

export const Stall = {
  of(): Stall {
    let last = Instant.now();
    let hasJustWoken = false;
    const wake = async () => {
      hasJustWoken = true;
      await turns();
      hasJustWoken = false;
    };
    const beats = Timer.every(beat, () => {
      if (Instant.since(last) >= gap) void wake();
      last = Instant.now();
    });
    return {
      stop: () => beats.stop(),
      async settle() {
        if (hasJustWoken || Instant.since(last) >= gap) await turns();
      },
    };
  },
};
