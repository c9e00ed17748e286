// A model server without its sockets: requests go in by urgency, prompts are read in pieces between the tokens
// of others, each token comes slower as more run, memory is shared, and what doesn't fit is put back. Time is
// whatever the caller says it is, in milliseconds, so the same model serves sockets and simulations.
import { PromptCache } from './prompt-cache.js';

export type EngineModel = {
  readonly offer: (now: number, work: EngineModel.Work) => 'taken' | 'full';
  readonly leave: (now: number, id: string) => void;
  /** When something may happen next; undefined while there is nothing to do. */
  readonly next: () => number | undefined;
  readonly advance: (now: number) => readonly EngineModel.Event[];
  readonly report: () => EngineModel.Report;
  /** Tokens of the prompt that would need no reading. */
  readonly peek: (work: EngineModel.Work) => number;
};

export declare namespace EngineModel {
  type Work = {
    readonly id: string;
    readonly model: string;
    readonly priority: number;
    readonly parts: readonly PromptCache.Part[];
    /** Tokens of the prompt that no part names. */
    readonly rest: number;
    /** Tokens that an earlier run has made already. */
    readonly made: number;
    readonly out: number;
    /** What the work takes on a server without tokens. */
    readonly span?: number;
  };
  type Event = { readonly at: number; readonly id: string } & (
    | { readonly kind: 'begun'; readonly hit: number; readonly read: number }
    | { readonly kind: 'piece'; readonly index: number }
    | { readonly kind: 'done' }
    | { readonly kind: 'put-back' }
  );
  type Figures = {
    readonly capacity: number;
    readonly queue: number;
    readonly memory: number;
    readonly step: number;
    readonly stepPerRequest: number;
    readonly contextPerThousand: number;
    readonly readPerMs: number;
    readonly pairsPerMillion: number;
    readonly first: number;
    readonly stride: number;
    readonly piece: number;
    readonly speed: number;
  };
  type Report = {
    readonly queued: number;
    readonly active: number;
    readonly used: number;
    readonly total: number;
    readonly read: number;
    readonly putBack: number;
    /** Tokens that the requests which run or wait have still to be read. */
    readonly unread?: number;
  };
}

type Job = {
  readonly work: EngineModel.Work;
  readonly order: number;
  readonly from: number;
  made: number;
  toRead: number;
  context: number;
  own: number;
  hit: number;
  hasBegun: boolean;
  held: PromptCache.Held | undefined;
};

const ordinary: EngineModel.Figures = {
  capacity: 64,
  queue: 192,
  memory: 256_325,
  step: 3.09,
  stepPerRequest: 0.102,
  contextPerThousand: 0.00183,
  readPerMs: 56.9,
  pairsPerMillion: 0.165,
  first: 13,
  stride: 8,
  piece: 2048,
  speed: 1,
};

const promptOf = (work: EngineModel.Work): number =>
  work.parts.reduce((sum, part) => sum + part.tokens, 0) + work.rest;

const byUrgency = (a: Job, b: Job): number => a.work.priority - b.work.priority || a.order - b.order;

export const EngineModel = {
  ordinary,
  promptOf,
  of(given: Partial<EngineModel.Figures> = {}, slowness: (now: number) => number = () => 1): EngineModel {
    const figures = { ...ordinary, ...given };
    const cache = PromptCache.of(figures.memory);
    const queue: Job[] = [];
    let running: Job[] = [];
    let events: EngineModel.Event[] = [];
    let serial = 0;
    let stepEnds: number | undefined;
    let read = 0;
    let putBack = 0;

    const free = (job: Job) => {
      job.held?.release();
      cache.shrink(job.own);
      job.held = undefined;
      job.own = 0;
    };
    const enqueue = (job: Job) => {
      queue.push(job);
      queue.sort(byUrgency);
    };
    const sendBack = (now: number, job: Job) => {
      free(job);
      running = running.filter((one) => one !== job);
      putBack += 1;
      events.push({ kind: 'put-back', at: now, id: job.work.id });
      enqueue(job);
    };
    const leastUrgent = (): Job | undefined =>
      running.reduce<Job | undefined>(
        (worst, job) => (worst && byUrgency(worst, job) > 0 ? worst : job),
        undefined,
      );
    const admit = (job: Job): boolean => {
      const held = cache.hold(job.work.model, job.work.parts);
      if (!held) return false;
      const own = job.work.rest + job.made;
      if (!cache.grow(own + 1)) {
        held.release();
        return false;
      }
      job.held = held;
      job.own = own + 1;
      job.context = promptOf(job.work) + job.made;
      job.toRead = Math.max(1, job.context - held.hit);
      if (!job.hasBegun) job.hit = held.hit;
      running.push(job);
      return true;
    };
    const takeIn = (now: number) => {
      for (;;) {
        const job = queue.find((one) => one.from <= now);
        if (!job) return;
        if (running.length >= figures.capacity) {
          const worst = leastUrgent();
          if (!worst || worst.work.priority <= job.work.priority) return;
          sendBack(now, worst);
        }
        queue.splice(queue.indexOf(job), 1);
        while (!admit(job)) {
          const worst = leastUrgent();
          if (!worst || worst.work.priority <= job.work.priority) return enqueue(job);
          sendBack(now, worst);
        }
      }
    };
    const begin = (now: number) => {
      takeIn(now);
      if (running.length === 0) {
        const first = queue.reduce((least, job) => Math.min(least, job.from), Number.POSITIVE_INFINITY);
        stepEnds = Number.isFinite(first) ? Math.max(first, now + 0.01) : undefined;
        return;
      }
      let room = figures.piece;
      let span = figures.step;
      for (const job of running) {
        if (job.toRead === 0) {
          span += figures.stepPerRequest + (job.context / 1000) * figures.contextPerThousand;
          continue;
        }
        const piece = Math.min(room, job.toRead);
        const done = job.context - job.toRead;
        span += piece / figures.readPerMs + ((piece * (done + piece / 2)) / 1e6) * figures.pairsPerMillion;
        job.toRead -= piece;
        room -= piece;
        read += piece;
        if (job.toRead === 0) job.toRead = -1;
      }
      stepEnds = now + span * figures.speed * slowness(now);
    };
    const makeToken = (now: number, job: Job) => {
      const { work } = job;
      if (job.made >= work.out) return finish(now, job);
      job.made += 1;
      job.context += 1;
      if (job.made % figures.stride === 0 || job.made === work.out)
        events.push({
          kind: 'piece',
          at: now,
          id: work.id,
          index: Math.ceil(job.made / figures.stride),
        });
      if (job.made >= work.out) return finish(now, job);
      while (!cache.grow(1)) {
        const worst = leastUrgent()!;
        sendBack(now, worst);
        if (worst === job) return;
      }
      job.own += 1;
    };
    const finish = (now: number, job: Job) => {
      free(job);
      running = running.filter((one) => one !== job);
      events.push({ kind: 'done', at: now, id: job.work.id });
    };
    const end = (now: number) => {
      for (const job of [...running]) {
        if (!running.includes(job) || job.toRead > 0) continue;
        if (job.toRead === -1) {
          job.toRead = 0;
          job.held?.read();
        }
        if (!job.hasBegun) {
          job.hasBegun = true;
          const toRead = promptOf(job.work) + job.work.made - job.hit;
          events.push({ kind: 'begun', at: now, id: job.work.id, hit: job.hit, read: toRead });
        }
        makeToken(now, job);
      }
    };
    return {
      offer(now, work) {
        if (running.length + queue.length >= figures.capacity + figures.queue) return 'full';
        if (promptOf(work) + work.out > figures.memory) return 'full';
        serial += 1;
        enqueue({
          work,
          order: serial,
          from: now + figures.first,
          made: work.made,
          toRead: 0,
          context: 0,
          own: 0,
          hit: 0,
          hasBegun: false,
          held: undefined,
        });
        if (running.length === 0)
          stepEnds = Math.min(stepEnds ?? Number.POSITIVE_INFINITY, now + figures.first);
        return 'taken';
      },
      leave(_now, id) {
        const waiting = queue.findIndex((job) => job.work.id === id);
        if (waiting >= 0) queue.splice(waiting, 1);
        const job = running.find((one) => one.work.id === id);
        if (!job) return;
        free(job);
        running = running.filter((one) => one !== job);
      },
      next: () => stepEnds,
      advance(now) {
        events = [];
        while (stepEnds !== undefined && stepEnds <= now) {
          const at = stepEnds;
          end(at);
          begin(at);
        }
        return events;
      },
      report: () => ({
        queued: queue.length,
        active: running.length,
        used: cache.pinned(),
        total: figures.memory,
        read,
        putBack,
        unread:
          running.reduce((sum, job) => sum + Math.max(0, job.toRead), 0) +
          queue.reduce((sum, { work }) => sum + promptOf(work) - cache.peek(work.model, work.parts), 0),
      }),
      peek: (work) => cache.peek(work.model, work.parts),
    };
  },
};
