// A duty's rounds: one step after another, each of which says how long to rest before the next. A step that fails
// is told of and followed by the usual rest; stopping waits for the step under way.
import { Timer } from '../common/timer.js';

export type RepeatingTask = { readonly stop: () => Promise<void> };

export const RepeatingTask = {
  run(step: () => Promise<number>, usualRest: number, onFailure: (error: unknown) => void): RepeatingTask {
    const stop = new AbortController();
    const run = async () => {
      while (!stop.signal.aborted) {
        let rest = usualRest;
        try {
          rest = await step();
        } catch (error) {
          onFailure(error);
        }
        await Timer.sleepAligned(rest, stop.signal);
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
