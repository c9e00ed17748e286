/** One server of an experiment: its model of work, the runs on it, and what is wrong with it. */
import { EngineModel } from '../platform/engine-model.js';
import { SlotModel } from '../platform/slot-model.js';
import type { Random } from '../random.js';
import type { Timeline, TimelineEvent } from './timeline.js';
import type { Workload } from './workload.js';

/** A server without its sockets. */
export type Server = {
  readonly instance: string;
  readonly zone: Workload.Zone;
  readonly service: Workload.Service;
  readonly isUp: () => boolean;
  /** How long it reads so many tokens behind others that it keeps, with nothing else to do. */
  readonly readingOf: (tokens: number, behind: number) => number;
  readonly take: (asked: Server.Asked) => void;
  readonly leave: (id: string) => void;
  readonly report: () => EngineModel.Report;
  /** Everything that runs breaks off, and nothing is kept. */
  readonly crash: (isDark?: boolean) => void;
  /** Whether it answers nothing at all, not even that nobody is there. */
  readonly isDark: () => boolean;
  readonly start: () => void;
  readonly forget: () => void;
  readonly become: (trouble: Partial<Server.Trouble>) => void;
  readonly taken: () => number;
};

export declare namespace Server {
  type Trouble = { readonly greyRate: number; readonly slowness: number };
  type Asked = {
    readonly id: string;
    readonly request: Workload.Drawn;
    readonly left: number;
    readonly after: number;
    readonly onDeclined: () => void;
    readonly onFailed: () => void;
    readonly onBegun: (hit: number) => void;
    readonly onPiece: (index: number) => void;
    readonly onDone: () => void;
    readonly onBroken: () => void;
  };
  type Terms = {
    readonly instance: string;
    readonly zone: Workload.Zone;
    readonly service: Workload.Service;
    readonly speed: number;
    readonly timeline: Timeline;
    readonly random: Random;
  };
}

type Run = { readonly asked: Server.Asked; hasBegun: boolean; deadline: TimelineEvent };

const modelOf = ({ service, speed }: Server.Terms, slowness: () => number): EngineModel => {
  const { engine, slots, queue } = service;
  if (!engine) return SlotModel.of({ capacity: slots, queue, speed });
  return EngineModel.of({ ...engine, capacity: slots, queue, first: 0, speed }, slowness);
};

const workOf = ({ id, request, after }: Server.Asked, stride: number): EngineModel.Work => ({
  id,
  model: 'm',
  priority: request.kind.priority,
  parts: request.parts.map(({ key, tokens }) => ({ id: key, tokens })),
  rest: 0,
  made: after * stride,
  out: request.out,
  span: request.span,
});

/** Servers of experiments. */
export const Server = {
  of(terms: Server.Terms): Server {
    const { timeline, random, service } = terms;
    let trouble: Server.Trouble = { greyRate: 0, slowness: 1 };
    let model = modelOf(terms, () => trouble.slowness);
    let isUp = true;
    let isDark = false;
    let taken = 0;
    const runs = new Map<string, Run>();
    let planned: { readonly at: number; readonly event: TimelineEvent } | undefined;
    const close = (id: string) => {
      runs.get(id)?.deadline.cancel();
      runs.delete(id);
    };
    const act = (event: EngineModel.Event) => {
      const run = runs.get(event.id);
      if (!run) return;
      if (event.kind === 'begun') {
        run.hasBegun = true;
        run.asked.onBegun(event.hit);
      }
      if (event.kind === 'piece') run.asked.onPiece(event.index);
      if (event.kind !== 'done') return;
      close(event.id);
      run.asked.onDone();
    };
    const turn = () => {
      planned = undefined;
      for (const event of model.advance(timeline.now())) act(event);
      plan();
    };
    const plan = () => {
      const next = model.next();
      if (next === undefined || planned?.at === next) return;
      planned?.event.cancel();
      planned = { at: next, event: timeline.quietlyAt(next, turn) };
    };
    const expire = (id: string) => {
      const run = runs.get(id);
      if (!run) return;
      model.leave(timeline.now(), id);
      close(id);
      if (run.hasBegun) run.asked.onBroken();
      else run.asked.onDeclined();
      plan();
    };
    return {
      instance: terms.instance,
      zone: terms.zone,
      service,
      isUp: () => isUp,
      readingOf(tokens, behind) {
        const { engine } = service;
        if (!engine) return 0;
        const pairs = (tokens * (behind + tokens / 2)) / 1e6;
        const steps = Math.ceil(tokens / engine.piece);
        const alone = tokens / engine.readPerMs + pairs * engine.pairsPerMillion + steps * engine.step;
        return alone * terms.speed;
      },
      taken: () => taken,
      take(asked) {
        if (isDark) return;
        if (!isUp) return asked.onBroken();
        if (random.next() < trouble.greyRate) return asked.onFailed();
        taken += 1;
        if (model.offer(timeline.now(), workOf(asked, service.engine?.stride ?? 1)) === 'full')
          return asked.onDeclined();
        const deadline = timeline.after(asked.left, () => expire(asked.id));
        runs.set(asked.id, { asked, hasBegun: false, deadline });
        plan();
      },
      leave(id) {
        if (!runs.has(id)) return;
        model.leave(timeline.now(), id);
        close(id);
        plan();
      },
      report: () => model.report(),
      isDark: () => isDark,
      crash(isSilent = false) {
        isUp = false;
        isDark = isSilent;
        planned?.event.cancel();
        planned = undefined;
        const broken = [...runs.values()];
        for (const { asked } of broken) close(asked.id);
        model = modelOf(terms, () => trouble.slowness);
        if (!isDark) for (const { asked } of broken) asked.onBroken();
      },
      start() {
        isUp = true;
        isDark = false;
      },
      forget() {
        const waiting = [...runs.values()];
        if (waiting.length === 0) model = modelOf(terms, () => trouble.slowness);
      },
      become(next) {
        trouble = { ...trouble, ...next };
      },
    };
  },
};
