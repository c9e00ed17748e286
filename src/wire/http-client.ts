/** An HTTP client for small requests to other programs, with keep-alive connections and fully buffered bodies. */
import {
  Agent,
  type ClientRequest,
  type IncomingHttpHeaders,
  type IncomingMessage,
  request,
} from 'node:http';
import { Address } from '../common/address.js';
import { BodyEnd } from '../common/body-end.js';
import { Failure } from '../common/failure.js';
import { Timer } from '../common/timer.js';

/** Sends requests to other programs. */
export type HttpClient = {
  /** Rejects when the complete response does not arrive within the timeout, or when the signal aborts. */
  readonly call: (address: string, call: HttpClient.Call) => Promise<HttpClient.Response>;
  /** Closes all connections. */
  readonly close: () => void;
};

/** Requests, responses and the options of a client. */
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
    /** Timeout of a whole call, in milliseconds. */
    readonly timeout: number;
    /** Timeout for opening a connection, in milliseconds. */
    readonly connectTimeout?: number;
    /** The maximum number of connections to each address. */
    readonly maxConnections: number;
    /** How long an idle connection is kept, in milliseconds; must be shorter than the server keeps it. */
    readonly idleTimeout?: number;
  };
}

/** Largest accepted response body, in bytes (16 MiB). */
const maxBodyBytes = 16 * 1024 * 1024;

/** Buffers the response body. */
const collect = (
  method: string,
  response: IncomingMessage,
  done: (body: Buffer) => void,
  fail: (cause: Error) => void,
): void => {
  const chunks: Buffer[] = [];
  let length = 0;
  const { socket } = response;
  const bodyEnd = BodyEnd.of({ method, response, hasEndedCleanly: () => socket.errored === null });
  response.on('data', (chunk: Buffer) => {
    bodyEnd.add(chunk);
    length += chunk.length;
    if (length > maxBodyBytes) response.destroy(Failure.of('reset', 'the response exceeds the size limit'));
    else chunks.push(chunk);
  });
  response.once('error', fail);
  response.once('end', () => {
    const truncation = bodyEnd.truncation();
    if (truncation === undefined) done(Buffer.concat(chunks));
    else fail(Failure.of('reset', `the response was truncated: ${truncation}`));
  });
};

/** Aborts a request whose connection is not established in time. None of it has been sent then, so it can be retried. */
const limitConnectTime = (clientRequest: ClientRequest, timeoutMs: number): void => {
  clientRequest.once('socket', (socket) => {
    if (!socket.connecting) return;
    const timer = Timer.after(timeoutMs, () =>
      clientRequest.destroy(Failure.of('connect', 'connection timed out')),
    );
    socket.once('connect', timer.stop);
    clientRequest.once('close', timer.stop);
  });
};

const run = (
  agent: Agent,
  { timeout: timeoutMs, connectTimeout: connectTimeoutMs }: HttpClient.Options,
  address: string,
  { path, method = 'GET', headers = {}, body, signal }: HttpClient.Call,
): Promise<HttpClient.Response> =>
  new Promise((resolve, reject) => {
    if (signal?.aborted) return reject(signal.reason);
    const { host, port } = Address.checked(address);
    const length = body ? { 'content-length': String(body.length) } : {};
    const clientRequest = request({ agent, host, port, path, method, headers: { ...headers, ...length } });
    const timer = Timer.after(timeoutMs, () =>
      clientRequest.destroy(Failure.of('timeout', 'no complete response in time')),
    );
    const abort = () => clientRequest.destroy(signal?.reason as Error);
    const settle = () => {
      timer.stop();
      signal?.removeEventListener('abort', abort);
    };
    const fail = (cause: Error) => {
      settle();
      reject(cause);
    };
    signal?.addEventListener('abort', abort, { once: true });
    if (connectTimeoutMs !== undefined) limitConnectTime(clientRequest, connectTimeoutMs);
    clientRequest.on('error', fail);
    clientRequest.once('response', (response) => {
      const done = (whole: Buffer) => {
        settle();
        resolve({ status: response.statusCode ?? 0, headers: response.headers, body: whole });
      };
      collect(method, response, done, fail);
    });
    clientRequest.end(body);
  });

/** Creates clients. */
export const HttpClient = {
  of(options: HttpClient.Options): HttpClient {
    const { maxConnections: connections, idleTimeout: idleTimeoutMs } = options;
    const agentTimeout = idleTimeoutMs === undefined ? {} : { timeout: idleTimeoutMs };
    const agent = new Agent({ keepAlive: true, maxSockets: connections, ...agentTimeout });
    return {
      call: (address, call) => run(agent, options, address, call),
      close: () => agent.destroy(),
    };
  },
};
