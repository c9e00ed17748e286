// The end of a program in bounded steps: each has its time, and one that is not done by then (a disk that hangs, a
// peer that is silent) is named in the log and left behind, for the process is about to be gone anyway.
import { Failure } from '../common/failure.js';
import { Timer } from '../common/timer.js';

/** One step of the end. */
export type ShutdownStep = {
  readonly name: string;
  /** Milliseconds; a short time without it. */
  readonly timeout?: number;
  readonly run: () => Promise<unknown>;
};

const shortly = 250;

export const ShutdownStep = {
  /** Runs the steps one after the other, none longer than its time. */
  async runAll(
    note: (text: string, facts?: Record<string, unknown>) => void,
    steps: readonly ShutdownStep[],
  ): Promise<void> {
    for (const { name: what, timeout: within, run: end } of steps) {
      const late = Timer.sleep(within ?? shortly).then(() => 'took too long');
      const done = end().then(
        () => undefined,
        (error) => Failure.text(error),
      );
      const why = await Promise.race([done, late]);
      if (why !== undefined) note('the end goes on without waiting', { what, why });
    }
  },
};
