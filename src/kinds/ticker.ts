/**
 * Periodic work of a process, done on one common grid of time: what is due in the same slot is done in one turn of the
 * loop, so that a process at rest wakes a few times a second, however many things it tends.
 */
import { Moment } from './moment.js';

/** One piece of periodic work. */
export type Ticker = {
  readonly stop: () => void;
  /** Goes on with another span, in milliseconds, from now. */
  readonly move: (span: number) => void;
  /** Begins its span anew. */
  readonly again: () => void;
};

type Task = { span: number; due: number; readonly ring: () => void };

/** Width of a slot of the grid, in milliseconds. Work is done up to this much sooner than its span asks, never later. */
const slot = 50;
/** A timer of the runtime rings up to this much too soon, in milliseconds. */
const early = 2;

const tasks = new Set<Task>();
let armed: { readonly timer: NodeJS.Timeout; readonly due: number } | undefined;

const nextAfter = (now: number, span: number): number => {
  const end = now + early + span;
  return span < slot ? end : Math.max(now + early, Math.floor(end / slot) * slot);
};

const disarm = (): void => {
  if (armed) clearTimeout(armed.timer);
  armed = undefined;
};

const arm = (): void => {
  let due = Number.POSITIVE_INFINITY;
  for (const task of tasks) due = Math.min(due, task.due);
  if (armed && armed.due <= due) return;
  disarm();
  if (tasks.size === 0) return;
  armed = { timer: setTimeout(fire, Math.max(0, due - Moment.now())), due };
};

const fire = (): void => {
  armed = undefined;
  const now = Moment.now();
  const ringing = [...tasks].filter((task) => task.due <= now + early);
  for (const task of ringing) task.due = nextAfter(now, task.span);
  arm();
  for (const task of ringing) if (tasks.has(task)) task.ring();
};

export const Ticker = {
  /** Forgets all work, where one copy of the modules serves one process after another. */
  clear(): void {
    tasks.clear();
    armed = undefined;
  },
  start(span: number, ring: () => void): Ticker {
    const task: Task = { span, due: nextAfter(Moment.now(), span), ring };
    tasks.add(task);
    arm();
    const again = () => {
      if (!tasks.has(task)) return;
      task.due = nextAfter(Moment.now(), task.span);
      arm();
    };
    return {
      again,
      stop() {
        tasks.delete(task);
        if (tasks.size === 0) disarm();
      },
      move(next) {
        task.span = next;
        again();
      },
    };
  },
};
