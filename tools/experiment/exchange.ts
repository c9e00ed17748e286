/** One run of a request on a server, over the simulated network: a connection, the way there, pieces on the way back. */
import type { UpstreamTry } from '../../src/upstream/upstream-try.js';
import type { Front } from './front.js';
import type { Connections, Network } from './network.js';
import type { Server } from './server.js';
import type { TallyBook } from './tally.js';
import type { Timeline, TimelineEvent } from './timeline.js';
import type { Workload } from './workload.js';

/** A stream that a server makes for a request. */
export type Stream = {
  /** Takes each piece as it reaches the proxy. */
  readonly pump: (onPiece: (index: number, at: number) => void) => Promise<'done' | 'server' | 'left'>;
};

export declare namespace Exchange {
  type Terms = {
    readonly timeline: Timeline;
    readonly network: Network;
    readonly book: TallyBook;
    readonly connections: Connections;
    readonly from: Workload.Zone;
    readonly server: Server;
    readonly request: Workload.Drawn;
    readonly run: Front.Run;
    readonly id: string;
    readonly onBegun: (hit: number) => void;
  };
}

const answerBytes = 300;

type Piece = { readonly index: number; readonly at: number };

class Pieces implements Stream {
  private readonly early: Piece[] = [];
  private take: ((index: number, at: number) => void) | undefined;
  private end: 'done' | 'server' | 'left' | undefined;
  private settle: ((how: 'done' | 'server' | 'left') => void) | undefined;
  private last: number | undefined;

  constructor(private readonly onSpan: (span: number) => void) {}

  add(index: number, at: number): void {
    if (this.last !== undefined) this.onSpan(at - this.last);
    this.last = at;
    if (this.take) this.take(index, at);
    else this.early.push({ index, at });
  }

  finish(how: 'done' | 'server' | 'left'): void {
    this.end ??= how;
    this.settle?.(this.end);
  }

  pump(onPiece: (index: number, at: number) => void): Promise<'done' | 'server' | 'left'> {
    this.take = onPiece;
    for (const { index, at } of this.early.splice(0)) onPiece(index, at);
    return new Promise((resolve) => {
      if (this.end) resolve(this.end);
      else this.settle = resolve;
    });
  }
}

const streams = new WeakMap<UpstreamTry, Stream>();

class Exchanging {
  private readonly delay: number;
  private readonly pieces: Pieces;
  private readonly late: TimelineEvent;
  private isStream = false;
  private isOver = false;

  constructor(
    private readonly terms: Exchange.Terms,
    private readonly settle: (trial: UpstreamTry) => void,
  ) {
    const { timeline, network, from, server, run } = terms;
    this.delay = network.delay(from, server.zone);
    this.pieces = new Pieces(run.onPiece);
    this.late = timeline.after(run.left, () => this.stop('server', 'total'));
    run.signal.addEventListener('abort', this.onLeave, { once: true });
    run.onEnd((why) => this.stop('server', why));
  }

  start(): void {
    const { timeline, network, book, connections, from, server, run } = this.terms;
    if (connections.take(server.instance)) {
      this.send();
      return;
    }
    book.count('connections');
    const isReached = network.reaches(from, server.zone) && !server.isDark();
    if (!isReached) {
      timeline.after(run.connectWithin, () => this.fail(run.connectWhy));
      return;
    }
    timeline.after(2 * this.delay + server.service.handshake, () =>
      server.isUp() ? this.send() : this.fail('connect'),
    );
  }

  private readonly onLeave = (): void => this.stop('left', 'left');

  /** Ends the run from this side, and lets the server know. */
  private stop(how: 'server' | 'left', why: UpstreamTry.Reason): void {
    const { timeline, server, id, run } = this.terms;
    this.breakOff(how, { kind: 'lost', why, pick: run.pick });
    timeline.after(this.delay, () => server.leave(id));
  }

  private close(): void {
    this.isOver = true;
    this.late.cancel();
    this.terms.run.signal.removeEventListener('abort', this.onLeave);
  }

  private breakOff(how: 'server' | 'left', trial: UpstreamTry): void {
    if (this.isOver) return;
    this.close();
    if (this.isStream) this.pieces.finish(how);
    else this.settle(trial);
  }

  private fail(why: UpstreamTry.Reason): void {
    if (this.isOver) return;
    this.close();
    this.settle({ kind: 'unsent', why, pick: this.terms.run.pick });
  }

  private send(): void {
    const { timeline, network, from, server, request, run } = this.terms;
    if (this.isOver) return;
    run.onSend();
    network.carry(from, server.zone, request.kind.bytes + answerBytes);
    timeline.after(this.delay, () => {
      if (!this.isOver && network.reaches(from, server.zone)) this.offer();
    });
  }

  private offer(): void {
    const { server, id, request, run, onBegun, connections } = this.terms;
    server.take({
      id,
      request,
      left: run.left,
      after: run.after,
      onDeclined: () => this.respond(503, { 'not-run': '1' }),
      onFailed: () => this.respond(500, {}),
      onBegun,
      onPiece: (index) => this.takePiece(index),
      onDone: () =>
        this.back(() => {
          this.close();
          connections.give(server.instance);
          this.pieces.finish('done');
        }),
      onBroken: () =>
        this.back(() => {
          connections.drop(server.instance);
          this.breakOff('server', { kind: 'lost', why: 'reset', pick: run.pick });
        }),
    });
  }

  /** What the server says, when it reaches the proxy. */
  private back(work: () => void): void {
    const { timeline, network, server, from } = this.terms;
    timeline.after(this.delay, () => {
      if (!this.isOver && network.reaches(server.zone, from)) work();
    });
  }

  private respond(status: number, headers: Record<string, string>): void {
    const { connections, server, run } = this.terms;
    this.back(() => {
      this.close();
      connections.give(server.instance);
      this.settle({ kind: 'response', status, headers, body: Buffer.alloc(0), pick: run.pick });
    });
  }

  private begin(): void {
    if (this.isStream) return;
    this.isStream = true;
    const { job, pick } = this.terms.run;
    const trial = { kind: 'stream', status: 200, headers: {}, job, pick } as unknown as UpstreamTry;
    streams.set(trial, this.pieces);
    this.settle(trial);
  }

  private takePiece(index: number): void {
    const { timeline, network, server, from, request } = this.terms;
    if (!network.reaches(server.zone, from)) return;
    network.carry(server.zone, from, request.kind.pieceBytes);
    if (this.isStream) {
      this.pieces.add(index, timeline.now() + this.delay);
      return;
    }
    this.back(() => {
      this.begin();
      this.pieces.add(index, timeline.now());
    });
  }
}

/** Runs of requests on servers. */
export const Exchange = {
  streamOf: (trial: UpstreamTry): Stream => streams.get(trial)!,
  run: (terms: Exchange.Terms): Promise<UpstreamTry> =>
    new Promise((resolve) => {
      new Exchanging(terms, resolve).start();
    }),
};
