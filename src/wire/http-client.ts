/** Whole calls of other programs by HTTP, over kept connections: a request with its body, and an answer that came whole. */
import {
  Agent,
  type ClientRequest,
  type IncomingHttpHeaders,
  type IncomingMessage,
  request,
} from 'node:http';
import { Address } from '../common/address.js';
import { Failure } from '../common/failure.js';
import { Timer } from '../common/timer.js';

/** Calls other programs. */
export type HttpClient = {
  /** Fails when all of the answer has not come in time, or the signal says so. */
  readonly call: (address: string, call: HttpClient.Call) => Promise<HttpClient.Response>;
  /** Ends all connections. */
  readonly close: () => void;
};

/** Calls, answers and the terms of a client. */
export declare namespace HttpClient {
  type Call = {
    readonly path: string;
    readonly method?: string;
    readonly headers?: Readonly<Record<string, string>>;
    readonly body?: Buffer | undefined;
    readonly signal?: AbortSignal;
  };
  type Response = {
    readonly status: number;
    readonly headers: IncomingHttpHeaders;
    readonly body: Buffer;
  };
  type Options = {
    /** How long a call may take in all, in milliseconds. */
    readonly timeout: number;
    /** How long a new connection may take, in milliseconds. */
    readonly connectTimeout?: number;
    /** How many connections each address is given. */
    readonly maxConnections: number;
    /** How long a connection that rests is kept, in milliseconds: less than the other program keeps it. */
    readonly idleTimeout?: number;
  };
}

/** The longest answer that is read, in bytes. */
const longest = 16 * 1024 * 1024;

const collect = (
  answer: IncomingMessage,
  done: (body: Buffer) => void,
  fail: (cause: Error) => void,
): void => {
  const chunks: Buffer[] = [];
  let length = 0;
  answer.on('data', (chunk: Buffer) => {
    length += chunk.length;
    if (length > longest) answer.destroy(Failure.of('reset', 'the answer is too long'));
    else chunks.push(chunk);
  });
  answer.once('error', fail);
  answer.once('end', () => {
    if (answer.complete) done(Buffer.concat(chunks));
    else fail(Failure.of('reset', 'the answer was cut'));
  });
};

/** Ends a request whose new connection is not there in time; nothing of it was sent then. */
const boundConnecting = (asked: ClientRequest, within: number): void => {
  asked.once('socket', (socket) => {
    if (!socket.connecting) return;
    const late = Timer.after(within, () => asked.destroy(Failure.of('connect', 'no connection in time')));
    socket.once('connect', late.stop);
    asked.once('close', late.stop);
  });
};

const run = (
  agent: Agent,
  { timeout: within, connectTimeout: connectWithin }: HttpClient.Options,
  address: string,
  { path, method = 'GET', headers = {}, body, signal }: HttpClient.Call,
): Promise<HttpClient.Response> =>
  new Promise((resolve, reject) => {
    if (signal?.aborted) return reject(signal.reason);
    const { host, port } = Address.checked(address);
    const length = body ? { 'content-length': String(body.length) } : {};
    const asked = request({ agent, host, port, path, method, headers: { ...headers, ...length } });
    const late = Timer.after(within, () => asked.destroy(Failure.of('timeout', 'no whole answer in time')));
    const leave = () => asked.destroy(signal?.reason as Error);
    const settle = () => {
      late.stop();
      signal?.removeEventListener('abort', leave);
    };
    const fail = (cause: Error) => {
      settle();
      reject(cause);
    };
    signal?.addEventListener('abort', leave, { once: true });
    if (connectWithin !== undefined) boundConnecting(asked, connectWithin);
    asked.on('error', fail);
    asked.once('response', (answer) => {
      const done = (whole: Buffer) => {
        settle();
        resolve({ status: answer.statusCode ?? 0, headers: answer.headers, body: whole });
      };
      collect(answer, done, fail);
    });
    asked.end(body);
  });

/** Makes clients. */
export const HttpClient = {
  of(terms: HttpClient.Options): HttpClient {
    const { maxConnections: connections, idleTimeout: keepFor } = terms;
    const idle = keepFor === undefined ? {} : { timeout: keepFor };
    const agent = new Agent({ keepAlive: true, maxSockets: connections, ...idle });
    return {
      call: (address, call) => run(agent, terms, address, call),
      close: () => agent.destroy(),
    };
  },
};
