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

const readingTime = ({ service, speed }: Server.Terms, tokens: number, behind: number): number => {
  const { engine } = service;
  if (!engine) return 0;
  const pairs = (tokens * (behind + tokens / 2)) / 1e6;
  const steps = Math.ceil(tokens / engine.piece);
  return (tokens / engine.readPerMs + pairs * engine.pairsPerMillion + steps * engine.step) * speed;
};

const noTrouble: Server.Trouble = { greyRate: 0, slowness: 1 };

class ModelServer implements Server {
  readonly instance: string;
  readonly zone: Workload.Zone;
  readonly service: Workload.Service;
  private trouble = noTrouble;
  private model: EngineModel;
  private isRunning = true;
  private isSilent = false;
  private count = 0;
  private readonly runs = new Map<string, Run>();
  private planned: { readonly at: number; readonly event: TimelineEvent } | undefined;

  constructor(private readonly terms: Server.Terms) {
    this.instance = terms.instance;
    this.zone = terms.zone;
    this.service = terms.service;
    this.model = this.emptyModel();
  }

  isUp = (): boolean => this.isRunning;
  isDark = (): boolean => this.isSilent;
  taken = (): number => this.count;
  report = (): EngineModel.Report => this.model.report();
  readingOf = (tokens: number, behind: number): number => readingTime(this.terms, tokens, behind);

  take(asked: Server.Asked): void {
    const { timeline, random, service } = this.terms;
    if (this.isSilent) return;
    if (!this.isRunning) {
      asked.onBroken();
      return;
    }
    if (random.next() < this.trouble.greyRate) {
      asked.onFailed();
      return;
    }
    this.count += 1;
    if (this.model.offer(timeline.now(), workOf(asked, service.engine?.stride ?? 1)) === 'full') {
      asked.onDeclined();
      return;
    }
    const deadline = timeline.after(asked.left, () => this.expire(asked.id));
    this.runs.set(asked.id, { asked, hasBegun: false, deadline });
    this.plan();
  }

  leave(id: string): void {
    if (!this.runs.has(id)) return;
    this.model.leave(this.terms.timeline.now(), id);
    this.close(id);
    this.plan();
  }

  crash(isDark = false): void {
    this.isRunning = false;
    this.isSilent = isDark;
    this.planned?.event.cancel();
    this.planned = undefined;
    const broken = [...this.runs.values()];
    for (const { asked } of broken) this.close(asked.id);
    this.model = this.emptyModel();
    if (!isDark) for (const { asked } of broken) asked.onBroken();
  }

  start(): void {
    this.isRunning = true;
    this.isSilent = false;
  }

  /** Nothing that runs is lost: a server that works keeps what it has. */
  forget(): void {
    if (this.runs.size === 0) this.model = this.emptyModel();
  }

  become(next: Partial<Server.Trouble>): void {
    this.trouble = { ...this.trouble, ...next };
  }

  private emptyModel(): EngineModel {
    return modelOf(this.terms, () => this.trouble.slowness);
  }

  private close(id: string): void {
    this.runs.get(id)?.deadline.cancel();
    this.runs.delete(id);
  }

  private act(event: EngineModel.Event): void {
    const run = this.runs.get(event.id);
    if (!run) return;
    if (event.kind === 'begun') {
      run.hasBegun = true;
      run.asked.onBegun(event.hit);
    }
    if (event.kind === 'piece') run.asked.onPiece(event.index);
    if (event.kind !== 'done') return;
    this.close(event.id);
    run.asked.onDone();
  }

  private plan(): void {
    const { timeline } = this.terms;
    const next = this.model.next();
    if (next === undefined || this.planned?.at === next) return;
    this.planned?.event.cancel();
    this.planned = { at: next, event: timeline.quietlyAt(next, () => this.turn()) };
  }

  private turn(): void {
    this.planned = undefined;
    for (const event of this.model.advance(this.terms.timeline.now())) this.act(event);
    this.plan();
  }

  private expire(id: string): void {
    const run = this.runs.get(id);
    if (!run) return;
    this.model.leave(this.terms.timeline.now(), id);
    this.close(id);
    if (run.hasBegun) run.asked.onBroken();
    else run.asked.onDeclined();
    this.plan();
  }
}

/** Servers of experiments. */
export const Server = {
  of: (terms: Server.Terms): Server => new ModelServer(terms),
};
