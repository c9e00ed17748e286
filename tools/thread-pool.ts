/** Worker threads that do jobs of one kind, as many at a time as asked for. */
import { Worker } from 'node:worker_threads';

/** A pool whose worker answers each message that it is sent with exactly one. */
export type ThreadPool<Asked, Told> = {
  readonly run: (asked: Asked) => Promise<Told>;
  readonly stop: () => Promise<void>;
};

export declare namespace ThreadPool {
  /** What the threads run, and how many there are. */
  type Terms = { readonly script: URL; readonly data: unknown; readonly count: number };
}

type Job<Asked, Told> = {
  readonly asked: Asked;
  readonly done: (told: Told) => void;
  readonly fail: (error: Error) => void;
};

const youngGenerationMegabytes = 64;

/** Pools of worker threads. */
export const ThreadPool = {
  start<Asked, Told>({ script, data, count }: ThreadPool.Terms): ThreadPool<Asked, Told> {
    const waiting: Job<Asked, Told>[] = [];
    const free: Worker[] = [];
    const running = new Map<Worker, Job<Asked, Told>>();
    const next = () => {
      while (free.length > 0 && waiting.length > 0) {
        const worker = free.pop()!;
        const job = waiting.shift()!;
        running.set(worker, job);
        worker.postMessage(job.asked);
      }
    };
    const all = Array.from({ length: count }, () => {
      const worker = new Worker(script, {
        workerData: data,
        resourceLimits: { maxYoungGenerationSizeMb: youngGenerationMegabytes },
      });
      worker.on('message', (told: Told) => {
        const job = running.get(worker);
        running.delete(worker);
        free.push(worker);
        job?.done(told);
        next();
      });
      worker.on('error', (error: Error) => running.get(worker)?.fail(error));
      free.push(worker);
      return worker;
    });
    return {
      run: (asked) =>
        new Promise((done, fail) => {
          waiting.push({ asked, done, fail });
          next();
        }),
      async stop() {
        await Promise.all(all.map((worker) => worker.terminate()));
      },
    };
  },
};
