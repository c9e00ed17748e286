// A server without tokens, by the same interface as a model server: so many requests at once, a few waiting,
// each takes its span. Time is whatever the caller says it is.
import type { EngineModel } from './engine-model.js';

type Job = { readonly work: EngineModel.Work; ends: number };

export const SlotModel = {
  of(figures: { readonly capacity: number; readonly queue: number; readonly speed?: number }): EngineModel {
    const queue: EngineModel.Work[] = [];
    const running: Job[] = [];
    let events: EngineModel.Event[] = [];
    const begin = (now: number) => {
      while (running.length < figures.capacity && queue.length > 0) {
        const work = queue.shift()!;
        running.push({ work, ends: now + (work.span ?? 1) * (figures.speed ?? 1) });
        events.push({ kind: 'begun', at: now, id: work.id, hit: 0, read: 0 });
      }
    };
    const soonest = (): Job | undefined =>
      running.reduce<Job | undefined>(
        (least, job) => (least && least.ends <= job.ends ? least : job),
        undefined,
      );
    return {
      offer(now, work) {
        if (running.length + queue.length >= figures.capacity + figures.queue) return 'full';
        queue.push(work);
        begin(now);
        return 'taken';
      },
      leave(now, id) {
        const waiting = queue.findIndex((work) => work.id === id);
        if (waiting >= 0) queue.splice(waiting, 1);
        const place = running.findIndex((job) => job.work.id === id);
        if (place >= 0) running.splice(place, 1);
        begin(now);
      },
      next: () => (events.length > 0 ? 0 : soonest()?.ends),
      advance(now) {
        for (let job = soonest(); job && job.ends <= now; job = soonest()) {
          running.splice(running.indexOf(job), 1);
          events.push({ kind: 'piece', at: job.ends, id: job.work.id, index: 1 });
          events.push({ kind: 'done', at: job.ends, id: job.work.id });
          begin(job.ends);
        }
        const taken = events;
        events = [];
        return taken;
      },
      report: () => ({
        queued: queue.length,
        active: running.length,
        used: 0,
        total: 0,
        read: 0,
        putBack: 0,
      }),
      peek: () => 0,
    };
  },
};
