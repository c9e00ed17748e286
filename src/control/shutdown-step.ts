/**
 * Shutdown in steps with a time limit each. A step that does not finish in time (a disk that hangs, a peer that is
 * silent) is logged and abandoned, since the process is about to exit anyway.
 */

import { Failure } from '../common/failure.js';
import { Timer } from '../common/timer.js';

/** One step of a shutdown. */
export type ShutdownStep = {
  readonly name: string;
  /** Time limit in milliseconds; 250 by default. */
  readonly timeout?: number;
  readonly run: () => Promise<unknown>;
};

/** The time limit of a step that sets none, in milliseconds. */
const defaultTimeoutMs = 250;

/** Runs the steps of a shutdown. */
export const ShutdownStep = {
  /** Runs the steps one after the other, none longer than its time limit. */
  async runAll(
    note: (text: string, facts?: Record<string, unknown>) => void,
    steps: readonly ShutdownStep[],
  ): Promise<void> {
    for (const { name, timeout, run } of steps) {
      const expired = Timer.sleep(timeout ?? defaultTimeoutMs).then(() => 'timed out');
      const finished = run().then(
        () => undefined,
        (error) => Failure.text(error),
      );
      const why = await Promise.race([finished, expired]);
      if (why !== undefined) note('shutdown step failed or timed out; continuing', { what: name, why });
    }
  },
};
