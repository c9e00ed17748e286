/**
 * Schedules the periodic tasks of a process on a shared time grid. Tasks that are due in the same slot run in one
 * iteration of the event loop, and tasks with the same period converge to the same phase whenever each was started. An
 * idle process therefore wakes only a few times a second, however many tasks it has.
 */
import { Instant } from './instant.js';

/** A scheduled task. */
export type Ticker = {
  readonly stop: () => void;
  /** Continues with another span, in milliseconds, counted from now. */
  readonly reschedule: (span: number) => void;
  /** Starts its span over. */
  readonly restart: () => void;
};

type Task = { span: number; due: number; readonly isPeriodic: boolean; readonly callback: () => void };

/** Width of a grid slot, in milliseconds. A task runs up to this much before the end of its span, never after it. */
const slotMs = 50;
/** The smallest part of its span that a periodic task waits while it converges to the common phase. */
const minPhaseFraction = 0.4;
/** Node's timers fire up to this many milliseconds early. */
const timerSlackMs = 2;

const tasks = new Set<Task>();
let armed: { readonly timer: NodeJS.Timeout; readonly due: number } | undefined;

const lastMultiple = (of: number, until: number): number => Math.floor(until / of) * of;

/** The last slot boundary within the span. */
const lastSlotWithin = (now: number, span: number): number => {
  const end = now + timerSlackMs + span;
  return span < slotMs ? end : Math.max(now + timerSlackMs, lastMultiple(slotMs, end));
};

/** The last time within the span that is in phase with all tasks of this span; half a span off if that is too soon. */
const nextInPhase = (now: number, span: number): number => {
  const earliest = now + span * minPhaseFraction;
  if (span % slotMs !== 0) return lastSlotWithin(now, span);
  const inPhase = lastMultiple(span, now + timerSlackMs + span);
  return inPhase >= earliest ? inPhase : lastMultiple(span / 2, now + timerSlackMs + span);
};

const nextDue = ({ span, isPeriodic }: Pick<Task, 'span' | 'isPeriodic'>, now: number): number =>
  isPeriodic ? nextInPhase(now, span) : lastSlotWithin(now, span);

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
  armed = { timer: setTimeout(fire, Math.max(0, due - Instant.now())), due };
};

const fire = (): void => {
  armed = undefined;
  const now = Instant.now();
  const dueTasks = [...tasks].filter((task) => task.due <= now + timerSlackMs);
  for (const task of dueTasks) task.due = nextDue(task, now);
  arm();
  for (const task of dueTasks) if (tasks.has(task)) task.callback();
};

const schedule = (task: Task): Ticker => {
  tasks.add(task);
  arm();
  const restart = () => {
    if (!tasks.has(task)) return;
    task.due = lastSlotWithin(Instant.now(), task.span);
    arm();
  };
  return {
    restart,
    stop() {
      tasks.delete(task);
      if (tasks.size === 0) disarm();
    },
    reschedule(next) {
      task.span = next;
      restart();
    },
  };
};

/** Starts tasks. */
export const Ticker = {
  /** Discards all tasks, for simulations that run several processes on one copy of the modules. */
  clear(): void {
    tasks.clear();
    armed = undefined;
  },
  /** Starts a task that runs once per span; while it converges, a span can be as short as two fifths of that. */
  start: (span: number, callback: () => void): Ticker =>
    schedule({ span, due: nextInPhase(Instant.now(), span), isPeriodic: true, callback }),
  /** Runs a callback once, after one span. */
  once(span: number, callback: () => void): Ticker {
    const finish = () => {
      ticker.stop();
      callback();
    };
    const due = lastSlotWithin(Instant.now(), span);
    const ticker = schedule({ span, due, isPeriodic: false, callback: finish });
    return ticker;
  },
};
