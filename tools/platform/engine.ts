// A server of the platform over HTTP/1.1: what it says with a status and a header about having run a request,
// streams of events, batches, cold spans and the ways it may go wrong. What a request costs is the model's
// business. It writes down everything that reaches it and what it did with that.
import { createServer as createHttp, type IncomingMessage, type ServerResponse } from 'node:http';
import { createServer, type Socket } from 'node:net';
import type { EngineModel } from './engine-model.js';
import { EngineRun } from './engine-run.js';
import { Recording } from './recording.js';
import { Reset } from './reset.js';
import { Words } from './words.js';

export type Engine = {
  readonly terms: Engine.Terms;
  readonly address: string;
  readonly isUp: () => boolean;
  readonly coldLeft: () => number;
  readonly state: () => 'available' | 'draining';
  readonly report: () => EngineModel.Report;
  readonly connections: () => number;
  /** From now on, until it is told otherwise or the times are used up. */
  readonly fault: (fault: Engine.Fault) => void;
  readonly chill: (span: number) => void;
  readonly drain: () => void;
  /** Ends at once; what it ran is lost. */
  readonly crash: () => Promise<void>;
};

export declare namespace Engine {
  type Terms = {
    readonly instance: string;
    readonly service: string;
    readonly zone: string;
    readonly region: string;
    readonly listen: string;
    readonly model: EngineModel;
    readonly recording: Recording;
    readonly isPlain?: boolean;
    readonly modelName?: string;
    readonly revision?: number;
    readonly maxConnections?: number;
    readonly keepAlive?: number;
    readonly coldFor?: number;
    readonly coldPerSecond?: number;
    /** Requests in one second beyond which a cold server falls over. */
    readonly fallsAt?: number;
    /** One in so many answers says that the connection closes. */
    readonly closesOneIn?: number;
    /** Its answers have neither length nor chunks, and a cut falls inside an event or a value. */
    readonly isUndelimited?: boolean;
    readonly stride?: number;
    /** What a request takes on a server without tokens, in milliseconds. */
    readonly span?: number;
  };
  type Fault = { readonly times?: number } & (
    | { readonly kind: 'none' }
    | { readonly kind: 'dark' }
    | { readonly kind: 'cut'; readonly after: number }
    | { readonly kind: 'garble' }
    | { readonly kind: 'surplus'; readonly when: 'at-once' | 'next' }
    | { readonly kind: 'lost' }
    | { readonly kind: 'grey'; readonly oneIn: number }
    | { readonly kind: 'health'; readonly says: 200 | 503 }
    | { readonly kind: 'answer'; readonly status: number; readonly retryAfter?: number }
    | { readonly kind: 'forget' }
  );
}

const readBody = async (incoming: IncomingMessage): Promise<Buffer> => {
  const chunks: Buffer[] = [];
  for await (const chunk of incoming as AsyncIterable<Buffer>) chunks.push(chunk);
  return Buffer.concat(chunks);
};

const lagOfReport = 100;

export const Engine = {
  async start(terms: Engine.Terms): Promise<Engine> {
    const { recording, model, instance } = terms;
    const now = Recording.now;
    const sockets = new Set<Socket>();
    const forgotten = new WeakSet<Socket>();
    const owed = new WeakMap<Socket, string>();
    let fault: Engine.Fault = { kind: 'none' };
    let isDraining = false;
    let isUp = true;
    let coldUntil = now() + (terms.coldFor ?? 0);
    let arrivals: number[] = [];
    let answers = 0;
    let failable = 0;
    let reported = { at: Number.NEGATIVE_INFINITY, report: model.report() };
    const runs = EngineRun.of(terms);

    const coldLeft = () => Math.max(0, Math.ceil(coldUntil - now()));
    const useFault = (kind: Engine.Fault['kind']): boolean => {
      if (fault.kind !== kind) return false;
      if (fault.times !== undefined)
        fault = fault.times <= 1 ? { kind: 'none' } : { ...fault, times: fault.times - 1 };
      return true;
    };
    const baseHead = (attempt: string): Record<string, string> => {
      answers += 1;
      const isLast = isDraining || (terms.closesOneIn !== undefined && answers % terms.closesOneIn === 0);
      return {
        ...(attempt === '' ? {} : { [Words.attempt]: attempt }),
        ...(isLast ? { Connection: 'close' } : {}),
      };
    };
    const tell = (response: ServerResponse, status: number, head: Record<string, string>, body: object) => {
      const bytes = Buffer.from(JSON.stringify(body));
      response.writeHead(status, {
        'Content-Type': 'application/json',
        'Content-Length': String(bytes.length),
        ...head,
      });
      response.end(bytes);
    };
    const decline = (
      response: ServerResponse,
      attempt: string,
      status: number,
      more: Record<string, string> = {},
    ) => {
      recording.served.push({ kind: 'not-run', at: now(), instance, attempt, status });
      tell(
        response,
        status,
        { ...baseHead(attempt), [Words.notExecuted]: 'true', [Words.instance]: instance, ...more },
        {},
      );
    };
    const fallsOver = (): boolean => {
      if (coldLeft() === 0) return false;
      const at = now();
      arrivals = arrivals.filter((one) => one > at - 1000);
      arrivals.push(at);
      return arrivals.length > (terms.fallsAt ?? Number.POSITIVE_INFINITY);
    };
    const health = (response: ServerResponse) => {
      const lie = fault.kind === 'health' ? fault.says : undefined;
      const head = {
        [Words.instance]: instance,
        ...(coldLeft() > 0 ? { [Words.warmup]: String(coldLeft()) } : {}),
      };
      if (lie !== undefined) return tell(response, lie, head, {});
      if (isDraining) return tell(response, 503, head, {});
      return runs.check(response, (isFull) =>
        isFull ? decline(response, '', 503) : tell(response, 200, head, {}),
      );
    };
    const report = (response: ServerResponse) => {
      if (now() - reported.at > lagOfReport) reported = { at: now(), report: model.report() };
      const figures = reported.report;
      const models = [{ name: terms.modelName ?? 'm', revision: terms.revision ?? 1, adapters: [] }];
      tell(
        response,
        200,
        {},
        {
          phase: 'combined',
          models: terms.isPlain ? [] : models,
          occupied: false,
          sequence: 0,
          queued: figures.queued,
          active: figures.active,
          'cache-used': figures.used,
          'cache-total': figures.total,
          sessions: 0,
        },
      );
    };
    const spoil = (response: ServerResponse, attempt: string): boolean => {
      const { socket } = response;
      const run = `${instance}-spoilt-${recording.served.length}`;
      const noteRun = (why: string) => {
        recording.served.push({ kind: 'run', at: now(), instance, attempt, run, seal: '', from: 0, read: 0 });
        recording.served.push({ kind: 'ended', at: now(), instance, attempt, run, why, last: 0 });
      };
      if (useFault('garble')) {
        noteRun('garbled');
        socket?.end('\u0001\u0002 this is no answer\r\n\r\n');
        return true;
      }
      if (useFault('lost')) {
        noteRun('lost');
        if (socket) Reset.of(socket);
        return true;
      }
      if (fault.kind === 'answer') {
        const { status, retryAfter } = fault;
        useFault('answer');
        if ([429, 503].includes(status))
          decline(
            response,
            attempt,
            status,
            retryAfter === undefined ? {} : { [Words.retryAfter]: String(retryAfter) },
          );
        else {
          noteRun(`answered ${status}`);
          tell(response, status, baseHead(attempt), {});
        }
        return true;
      }
      if (fault.kind !== 'grey') return false;
      failable += 1;
      if (failable % fault.oneIn !== 0) return false;
      noteRun('grey');
      tell(response, 500, baseHead(attempt), {});
      return true;
    };
    const attend = async (incoming: IncomingMessage, response: ServerResponse): Promise<void> => {
      const { socket } = incoming;
      const path = incoming.url ?? '/';
      if (forgotten.has(socket)) return void Reset.of(socket);
      const surplus = owed.get(socket);
      if (surplus !== undefined) {
        owed.delete(socket);
        socket.write(surplus);
      }
      if (incoming.method === 'GET' && path === Words.paths.report) return report(response);
      if (incoming.method === 'GET' && path === Words.paths.health) return health(response);
      const body = await readBody(incoming);
      const read = (name: string): string => String(incoming.headers[name.toLowerCase()] ?? '');
      const attempt = read(Words.attempt);
      const target = read(Words.target);
      const expected = read(Words.expected);
      const lastEvent = read(Words.lastEvent);
      const from = lastEvent === '' ? 0 : Number(lastEvent);
      const isMeant =
        (target === '' || target === instance) &&
        (expected === '' || Number(expected) === (terms.revision ?? 1));
      const isCold = coldLeft() > 0;
      const remaining = incoming.headers[Words.remaining.toLowerCase()];
      recording.served.push({
        kind: 'arrived',
        at: now(),
        instance,
        attempt,
        service: terms.service,
        zone: terms.zone,
        region: terms.region,
        host: incoming.headers.host ?? '',
        method: incoming.method ?? '',
        path,
        digest: Recording.digest(body),
        isCold,
        isMeant,
        from,
        labels: Recording.labels(incoming.headers),
        ...(remaining === undefined ? {} : { remaining: Number(remaining) }),
        ...(read(Words.subscriber) === '' ? {} : { subscriber: read(Words.subscriber) }),
        hasKey: read(Words.key) !== '',
      });
      if (!isMeant) return decline(response, attempt, 421);
      if (attempt === '') return decline(response, attempt, 400);
      if (fallsOver()) return crash();
      if (spoil(response, attempt)) return;
      const cut = fault.kind === 'cut' ? fault.after : undefined;
      if (cut !== undefined) useFault('cut');
      const when = fault.kind === 'surplus' ? fault.when : undefined;
      if (when !== undefined) useFault('surplus');
      runs.take({ incoming, response, attempt, from, cut, head: () => baseHead(attempt), decline });
      if (when === undefined) return;
      const text = '{"late":true}';
      const bytes = `HTTP/1.1 200 OK\r\n${Words.attempt}: ${attempt}-late\r\n${Words.seal}: late\r\nContent-Length: ${text.length}\r\n\r\n${text}`;
      response.once('finish', () => {
        if (when === 'at-once') socket.write(bytes);
        else owed.set(socket, bytes);
      });
    };
    const http = createHttp({ keepAliveTimeout: terms.keepAlive ?? 5000 }, (incoming, response) => {
      response.sendDate = false;
      attend(incoming, response).catch(() => response.destroy());
    });
    const server = createServer((socket) => {
      sockets.add(socket);
      socket.setNoDelay(true);
      socket.on('error', () => {});
      socket.once('close', () => sockets.delete(socket));
      if (sockets.size > (terms.maxConnections ?? Number.POSITIVE_INFINITY)) return void Reset.of(socket);
      if (fault.kind === 'dark') return void socket.pause();
      http.emit('connection', socket);
    });
    const crash = async (): Promise<void> => {
      if (!isUp) return;
      isUp = false;
      runs.stop();
      const closed = new Promise<void>((resolve) => server.close(() => resolve()));
      for (const socket of sockets) Reset.of(socket);
      http.close();
      await closed;
    };
    const cut = terms.listen.lastIndexOf(':');
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(Number(terms.listen.slice(cut + 1)), terms.listen.slice(0, cut), resolve);
    });
    const bound = server.address();
    const port = typeof bound === 'object' && bound ? bound.port : 0;
    return {
      terms,
      address: `${terms.listen.slice(0, cut)}:${port}`,
      isUp: () => isUp,
      coldLeft,
      state: () => (isDraining ? 'draining' : 'available'),
      report: model.report,
      connections: () => sockets.size,
      fault(wanted) {
        const wasDark = fault.kind === 'dark';
        fault = wanted;
        if (wanted.kind === 'forget') for (const socket of sockets) forgotten.add(socket);
        if (wanted.kind === 'dark') {
          runs.mute();
          for (const socket of sockets) socket.pause();
        } else if (wasDark) for (const socket of sockets) Reset.of(socket);
      },
      chill(span) {
        coldUntil = now() + span;
        arrivals = [];
      },
      drain() {
        isDraining = true;
      },
      crash,
    };
  },
};
