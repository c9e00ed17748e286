/**
 * Periodic work of a process, done on one common grid of time: what is due in the same slot is done in one turn of the
 * loop, and work of one span comes into one phase, whenever each part of it began. So a process at rest wakes a few
 * times a second, however many things it tends.
 */
import { Instant } from './instant.js';

/** One piece of periodic work. */
export type Ticker = {
  readonly stop: () => void;
  /** Goes on with another span, in milliseconds, from now. */
  readonly reschedule: (span: number) => void;
  /** Begins its span anew. */
  readonly restart: () => void;
};

type Task = { span: number; due: number; readonly isPeriodic: boolean; readonly ring: () => void };

/** Width of a slot of the grid, in milliseconds. Work is done up to this much sooner than its span asks, never later. */
const slot = 50;
/** How much of its span periodic work waits at least while it comes into phase. */
const leastPart = 0.4;
/** A timer of the runtime rings up to this much too soon, in milliseconds. */
const early = 2;

const tasks = new Set<Task>();
let armed: { readonly timer: NodeJS.Timeout; readonly due: number } | undefined;

const lastMultiple = (of: number, until: number): number => Math.floor(until / of) * of;

/** The last moment of the grid within the span. */
const endAfter = (now: number, span: number): number => {
  const end = now + early + span;
  return span < slot ? end : Math.max(now + early, lastMultiple(slot, end));
};

/** The last moment within the span that is in phase with all work of this span, or on the way to that. */
const nextInPhase = (now: number, span: number): number => {
  const least = now + span * leastPart;
  if (span % slot !== 0) return endAfter(now, span);
  const inPhase = lastMultiple(span, now + early + span);
  return inPhase >= least ? inPhase : lastMultiple(span / 2, now + early + span);
};

const nextOf = ({ span, isPeriodic }: Pick<Task, 'span' | 'isPeriodic'>, now: number): number =>
  isPeriodic ? nextInPhase(now, span) : endAfter(now, span);

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
  const ringing = [...tasks].filter((task) => task.due <= now + early);
  for (const task of ringing) task.due = nextOf(task, now);
  arm();
  for (const task of ringing) if (tasks.has(task)) task.ring();
};

const begin = (task: Task): Ticker => {
  tasks.add(task);
  arm();
  const again = () => {
    if (!tasks.has(task)) return;
    task.due = endAfter(Instant.now(), task.span);
    arm();
  };
  return {
    restart: again,
    stop() {
      tasks.delete(task);
      if (tasks.size === 0) disarm();
    },
    reschedule(next) {
      task.span = next;
      again();
    },
  };
};

export const Ticker = {
  /** Forgets all work, where one copy of the modules serves one process after another. */
  clear(): void {
    tasks.clear();
    armed = undefined;
  },
  /** Begins work that is done once in each span; its first spans may be as short as two fifths. */
  start: (span: number, ring: () => void): Ticker =>
    begin({ span, due: nextInPhase(Instant.now(), span), isPeriodic: true, ring }),
  /** Begins a wait of one span. */
  once(span: number, ring: () => void): Ticker {
    const finish = () => {
      ticker.stop();
      ring();
    };
    const due = endAfter(Instant.now(), span);
    const ticker = begin({ span, due, isPeriodic: false, ring: finish });
    return ticker;
  },
};
