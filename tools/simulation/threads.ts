// Threads that play seeds of one bundle, as many at a time as asked for.
import { ThreadPool } from '../thread-pool.js';
import type { Fault } from './faults.js';
import type { World } from './world.js';

export type Threads = {
  readonly play: (seed: number, faults?: readonly Fault[]) => Promise<World>;
  readonly stop: () => Promise<void>;
};

type Asked = { readonly seed: number; readonly faults?: readonly Fault[] };

export const Threads = {
  start(code: string, count: number): Threads {
    const script = new URL('./worker.js', import.meta.url);
    const pool = ThreadPool.start<Asked, World>({ script, data: { code }, count });
    return {
      play: (seed, faults) => pool.run({ seed, ...(faults ? { faults } : {}) }),
      stop: pool.stop,
    };
  },
};
