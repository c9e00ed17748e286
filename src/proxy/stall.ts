/**
 * Detects stalls of the event loop, so that a process that was frozen does not send outdated requests. Right after a
 * stall, events that happened meanwhile (client disconnects, expired timers) are still queued; `settle` lets the event
 * loop process them first, also if the check timer itself was the first event to be processed.
 */
import { Instant } from '../common/instant.js';
import { Timer } from '../common/timer.js';

/** Detects stalls of the event loop. */
export type Stall = { readonly settle: () => Promise<void>; readonly stop: () => void };

/** Interval of the check timer, in milliseconds. */
const checkIntervalMs = 200;
/** Time between two checks that counts as a stall, in milliseconds. */
const stallThresholdMs = 300;

const runEventLoop = async (): Promise<void> => {
  for (let count = 0; count < 3; count += 1) await new Promise<void>((resolve) => setImmediate(resolve));
};

/** Creates stall detectors. */
export const Stall = {
  of(): Stall {
    let lastCheck = Instant.now();
    let isRecovering = false;
    const recover = async () => {
      isRecovering = true;
      await runEventLoop();
      isRecovering = false;
    };
    const checkTimer = Timer.every(checkIntervalMs, () => {
      if (Instant.since(lastCheck) >= stallThresholdMs) void recover();
      lastCheck = Instant.now();
    });
    return {
      stop: () => checkTimer.stop(),
      async settle() {
        if (isRecovering || Instant.since(lastCheck) >= stallThresholdMs) await runEventLoop();
      },
    };
  },
};
