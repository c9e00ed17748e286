/**
 * The product's own modules of decision as one script, run with the timers, the clock and the chance of an experiment in
 * place of Node's. A policy is a replacement in the sources that only its own script gets.
 */
import { createRequire } from 'node:module';
import { Script as Compiled } from 'node:vm';
import type { Random } from '../random.js';
import { Bundle } from '../simulation/bundle.js';
import type { Front } from './front.js';
import type { Timeline } from './timeline.js';

/** The modules that a script hands over. */
export type Script = { readonly Front: typeof Front };

type Work = (...given: unknown[]) => void;

const load = createRequire(import.meta.url);
const nanosecondsOf = 1e6;

const timersOf = (timeline: Timeline) => {
  const arm = (work: Work, span: number, isRepeated: boolean, given: unknown[]) => {
    let event = timeline.after(span, () => {});
    const start = () => {
      event.cancel();
      event = timeline.after(Math.max(1, span || 0), () => {
        if (isRepeated) start();
        work(...given);
      });
    };
    start();
    const timer = {
      refresh() {
        start();
        return timer;
      },
      ref: () => timer,
      unref: () => timer,
      stop: () => event.cancel(),
    };
    return timer;
  };
  const clear = (timer: { stop: () => void } | undefined) => timer?.stop();
  return {
    setTimeout: (work: Work, span = 0, ...given: unknown[]) => arm(work, span, false, given),
    setInterval: (work: Work, span = 0, ...given: unknown[]) => arm(work, span, true, given),
    clearTimeout: clear,
    clearInterval: clear,
  };
};

const processOf = (timeline: Timeline) => {
  const hrtime = (from: readonly [number, number] = [0, 0]): [number, number] => {
    const now = Math.round(timeline.now() * nanosecondsOf) - (from[0] * 1e9 + from[1]);
    const seconds = Math.floor(now / 1e9);
    return [seconds, now - seconds * 1e9];
  };
  return { hrtime, env: {}, nextTick: process.nextTick };
};

const compiled = new Map<string, Compiled>();

/** Scripts of the decisions, as they are or with a policy's changes. */
export const Script = {
  build: (changes: readonly Bundle.Change[]): Promise<Bundle> =>
    Bundle.build(changes, 'tools/experiment/front.ts'),
  load(code: string, timeline: Timeline, random: Random): Script {
    const globals = {
      ...timersOf(timeline),
      process: processOf(timeline),
      simulatedRandom: random.next,
      AbortSignal: {
        any: AbortSignal.any,
        timeout(span: number) {
          const ended = new AbortController();
          timeline.after(span, () => ended.abort());
          return ended.signal;
        },
      },
      require: load,
    };
    const names = ['module', 'exports', ...Object.keys(globals)].join(',');
    const script = compiled.get(code) ?? new Compiled(`(function (${names}) {${code}\n})`);
    compiled.set(code, script);
    const made = { exports: {} as Script };
    const run = script.runInThisContext() as (...given: unknown[]) => void;
    run(made, made.exports, ...Object.values(globals));
    return made.exports;
  },
};
