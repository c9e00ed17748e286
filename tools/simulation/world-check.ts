/**
 * A check of the simulated world itself: its judges ask only the machines that it counts, so a program that runs on
 * none of them, or a machine that is never started again, hides faults or invents them.
 */
import type { Machine } from './machine.js';

type Shown = Pick<Machine, 'name' | 'isRunning' | 'isToRun'>;

/** What the check looks at. */
export type WorldCheck = {
  /** Every machine that was ever built. */
  readonly built: readonly Shown[];
  /** The machines that belong to the world now. */
  readonly present: readonly Shown[];
  /** Whether the last fault ended so long ago that each machine must run again. */
  readonly isSettled: boolean;
};

const namesOf = (machines: readonly Shown[]): string => machines.map(({ name }) => name).join(', ');

/** The check of the simulated world. */
export const WorldCheck = {
  /** What is wrong with the world, in words; undefined when it is whole. */
  flawOf({ built, present, isSettled }: WorldCheck): string | undefined {
    const strays = built.filter((machine) => !present.includes(machine) && machine.isRunning());
    if (strays.length > 0) return `runs outside the world: ${namesOf(strays)}`;
    const idle = isSettled ? present.filter((machine) => !machine.isToRun()) : [];
    return idle.length > 0 ? `does not run although its faults are over: ${namesOf(idle)}` : undefined;
  },
};
