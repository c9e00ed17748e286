/**
 * Runs a step repeatedly. Each step returns the pause before the next one. A step that fails is reported and followed by the
 * default pause. Stopping waits for the step in progress.
 */
import { Timer } from '../common/timer.js';

/** A task that repeats until it is stopped. */
export type RepeatingTask = { readonly stop: () => Promise<void> };

/** Starts repeating tasks. */
export const RepeatingTask = {
  run(
    step: () => Promise<number>,
    defaultPauseMs: number,
    onFailure: (error: unknown) => void,
  ): RepeatingTask {
    const stop = new AbortController();
    const run = async () => {
      while (!stop.signal.aborted) {
        let pauseMs = defaultPauseMs;
        try {
          pauseMs = await step();
        } catch (error) {
          onFailure(error);
        }
        await Timer.sleepAligned(pauseMs, stop.signal);
      }
    };
    const done = run();
    return {
      async stop() {
        stop.abort();
        await done;
      },
    };
  },
};
