/** One run of a request on a server, over the simulated network: a connection, the way there, pieces on the way back. */
import type { Trial } from '../../src/upstream/trial.js';
import type { Front } from './front.js';
import type { Connections, Network } from './network.js';
import type { Server } from './server.js';
import type { TallyBook } from './tally.js';
import type { Timeline } from './timeline.js';
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

const streams = new WeakMap<Trial, Stream>();

/** Runs of requests on servers. */
export const Exchange = {
  streamOf: (trial: Trial): Stream => streams.get(trial)!,
  run: (terms: Exchange.Terms): Promise<Trial> =>
    new Promise((resolve) => {
      const { timeline, network, book, connections, from, server, request, run, id } = terms;
      const { pick } = run;
      const { instance } = server;
      const delay = network.delay(from, server.zone);
      const pieces = new Pieces(run.onPiece);
      let isSettled = false;
      let isStream = false;
      let isOver = false;
      const settle = (trial: Trial) => {
        if (isSettled) return;
        isSettled = true;
        resolve(trial);
      };
      const close = () => {
        isOver = true;
        late.cancel();
        run.signal.removeEventListener('abort', onLeave);
      };
      const breakOff = (how: 'server' | 'left', trial: Trial) => {
        if (isOver) return;
        close();
        if (isStream) pieces.finish(how);
        else settle(trial);
      };
      const stopServer = () => timeline.after(delay, () => server.leave(id));
      const onLeave = () => {
        breakOff('left', { kind: 'lost', why: 'left', pick });
        stopServer();
      };
      const late = timeline.after(run.left, () => {
        breakOff('server', { kind: 'lost', why: 'total', pick });
        stopServer();
      });
      run.signal.addEventListener('abort', onLeave, { once: true });
      /** What the server says, when it reaches the proxy. */
      const back = (work: () => void) =>
        timeline.after(delay, () => {
          if (!isOver && network.reaches(server.zone, from)) work();
        });
      const respond = (status: number, headers: Record<string, string>) =>
        back(() => {
          close();
          connections.give(instance);
          settle({ kind: 'response', status, headers, body: Buffer.alloc(0), pick });
        });
      const begin = () => {
        if (isStream) return;
        isStream = true;
        const trial = { kind: 'stream', status: 200, headers: {}, job: run.job, pick } as unknown as Trial;
        streams.set(trial, pieces);
        settle(trial);
      };
      const offer = () =>
        server.take({
          id,
          request,
          left: run.left,
          after: run.after,
          onDeclined: () => respond(503, { 'not-run': '1' }),
          onFailed: () => respond(500, {}),
          onBegun: terms.onBegun,
          onPiece(index) {
            if (!network.reaches(server.zone, from)) return;
            network.carry(server.zone, from, request.kind.pieceBytes);
            const at = timeline.now() + delay;
            if (isStream) pieces.add(index, at);
            else
              back(() => {
                begin();
                pieces.add(index, timeline.now());
              });
          },
          onDone: () =>
            back(() => {
              close();
              connections.give(instance);
              pieces.finish('done');
            }),
          onBroken: () =>
            back(() => {
              connections.drop(instance);
              breakOff('server', { kind: 'lost', why: 'reset', pick });
            }),
        });
      const send = () => {
        if (isOver) return;
        run.onSend();
        network.carry(from, server.zone, request.kind.bytes + answerBytes);
        timeline.after(delay, () => {
          if (!isOver && network.reaches(from, server.zone)) offer();
        });
      };
      const fail = (why: Trial.Why) => {
        if (isOver) return;
        close();
        settle({ kind: 'unsent', why, pick });
      };
      run.onEnd((why) => {
        breakOff('server', { kind: 'lost', why, pick });
        stopServer();
      });
      if (connections.take(instance)) return send();
      book.count('connections');
      const isReached = network.reaches(from, server.zone) && !server.isDark();
      if (!isReached) timeline.after(run.connectWithin, () => fail(run.connectWhy));
      else
        timeline.after(2 * delay + server.service.handshake, () =>
          server.isUp() ? send() : fail('connect'),
        );
    }),
};
