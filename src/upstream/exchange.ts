/**
 * One HTTP/1.1 exchange over one connection. The result is either a response head with a body to read, or a failure
 * that tells whether any byte of the request may have been sent. `maySend` is evaluated immediately before sending; if
 * it returns false, nothing is written.
 */
import {
  Agent,
  type ClientRequest,
  type IncomingHttpHeaders,
  type IncomingMessage,
  request,
} from 'node:http';
import type { Socket } from 'node:net';
import { BodyEnd } from '../common/body-end.js';
import { Failure } from '../common/failure.js';

/** The result of an exchange. */
export type Exchange =
  | {
      readonly kind: 'head';
      readonly status: number;
      readonly headers: IncomingHttpHeaders;
      readonly body: Exchange.Body;
    }
  | { readonly kind: 'failure'; readonly isSent: boolean; readonly cause: Error };

/** Types of an exchange. */
export declare namespace Exchange {
  /** The request to send; `host`, `connection` and `content-length` are added as needed. */
  type Request = {
    readonly method: string;
    readonly path: string;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: Buffer | null;
  };
  /** Receives a response body. `write` returns false to pause the body until `resume` is called. */
  type Sink = {
    readonly write: (chunk: Buffer) => boolean;
    readonly end: () => void;
    readonly fail: (cause: Error) => void;
  };
  /** A response body that has not been read yet. */
  type Body = {
    readonly pump: (sink: Sink) => { readonly resume: () => void };
    /** Reads the whole body into memory; fails if it is longer than `maxBytes`. */
    readonly collect: (maxBytes: number) => Promise<Buffer>;
    readonly abort: (cause: Error) => void;
  };
  /** What an exchange needs of its connection. */
  type Transport = {
    readonly socket: Socket;
    /** Host and port, used as the Host header of a request without one. */
    readonly authority: string;
    /** Whether the server closed the connection with a FIN and did not reset it. */
    readonly hasEndedCleanly: () => boolean;
    readonly agent: Agent;
  };
  /** What a completed response says about the reuse of its connection. */
  type Completion = {
    /** Whether the connection may be used for another exchange. */
    readonly isReusable: boolean;
    readonly headers: IncomingHttpHeaders;
  };
  /** Conditions and callbacks of one exchange. */
  type Options = {
    readonly maySend: () => boolean;
    readonly signal: AbortSignal;
    /** Called when the response head arrives, with a function that tells whether the whole response has arrived. */
    readonly onHead?: (isComplete: () => boolean) => void;
    /** Called when the whole response has been read. */
    readonly onEnd?: (completion: Completion) => void;
  };
}

const maxResponseHeadBytes = 32 * 1024;

const methodsWithBody = new Set(['POST', 'PUT', 'PATCH']);

/** Header names and values alternately, in the order in which they are sent. */
const buildHeaders = ({ method, headers, body }: Exchange.Request, authority: string): string[] => {
  const list: string[] = [];
  if (headers.host === undefined) list.push('host', authority);
  for (const name in headers) list.push(name, headers[name]!);
  list.push('connection', 'keep-alive');
  if (body) list.push('content-length', String(body.length));
  else if (methodsWithBody.has(method)) list.push('content-length', '0');
  return list;
};

/** An agent that runs every request on the same socket and never opens or pools one. */
class SingleSocketAgent extends Agent {
  constructor(private readonly socket: Socket) {
    super({ keepAlive: true });
  }

  addRequest(request: ClientRequest): void {
    request.onSocket(this.socket);
  }
}

const createRequest = ({ agent, authority }: Exchange.Transport, outgoing: Exchange.Request): ClientRequest =>
  request({
    method: outgoing.method,
    path: outgoing.path,
    headers: buildHeaders(outgoing, authority),
    maxHeaderSize: maxResponseHeadBytes,
    agent,
  });

/** Callbacks from a response body to its exchange. */
type BodyCallbacks = {
  readonly onData: (chunk: Buffer) => void;
  readonly onBodyEnd: () => void;
  readonly abort: (cause: Error) => void;
};

/** A response body, read by a single sink. It stays in the stream until a sink is attached. */
class ResponseBody implements Exchange.Body {
  private sink: Exchange.Sink | undefined;
  private cause: Error | undefined;

  constructor(
    private readonly response: IncomingMessage,
    private readonly callbacks: BodyCallbacks,
  ) {}

  pump(sink: Exchange.Sink): { readonly resume: () => void } {
    const { response, callbacks } = this;
    this.sink = sink;
    if (this.cause) sink.fail(this.cause);
    else {
      response.once('end', callbacks.onBodyEnd);
      response.on('data', (chunk: Buffer) => {
        callbacks.onData(chunk);
        if (!this.cause && !sink.write(chunk)) response.pause();
      });
    }
    return { resume: () => void response.resume() };
  }

  collect(maxBytes: number): Promise<Buffer> {
    return new Promise((resolve, reject) => {
      const chunks: Buffer[] = [];
      let length = 0;
      this.pump({
        write: (chunk) => {
          length += chunk.length;
          if (length > maxBytes) this.abort(Failure.of('reset', 'response body too long'));
          else chunks.push(chunk);
          return true;
        },
        end: () => resolve(Buffer.concat(chunks)),
        fail: reject,
      });
    });
  }

  abort(cause: Error): void {
    this.callbacks.abort(cause);
  }

  end(): void {
    this.sink?.end();
  }

  fail(cause: Error): void {
    this.cause = cause;
    this.sink?.fail(cause);
  }
}

/** The state of one exchange. */
class RunningExchange {
  private isSent = false;
  private isFinished = false;
  private response: IncomingMessage | undefined;
  private body: ResponseBody | undefined;
  private sentRequest: ClientRequest | undefined;

  constructor(
    private readonly transport: Exchange.Transport,
    private readonly outgoing: Exchange.Request,
    private readonly options: Exchange.Options,
    private readonly resolve: (exchange: Exchange) => void,
  ) {}

  start(): void {
    const { signal, maySend } = this.options;
    if (signal.aborted) {
      this.fail(signal.reason as Error);
      return;
    }
    if (!maySend()) {
      this.fail(
        Failure.of(
          'left',
          'request not sent: deadline passed, client disconnected or server no longer eligible',
        ),
      );
      return;
    }
    signal.addEventListener('abort', this.onAbort, { once: true });
    try {
      this.send();
    } catch (error) {
      this.fail(error as Error);
    }
  }

  private send(): void {
    const clientRequest = createRequest(this.transport, this.outgoing);
    this.isSent = true;
    this.sentRequest = clientRequest;
    clientRequest.on('error', this.onError);
    clientRequest.once('close', this.onClose);
    clientRequest.once('response', this.onResponse);
    clientRequest.end(this.outgoing.body ?? undefined);
  }

  private readonly onAbort = (): void => this.fail(this.options.signal.reason as Error);

  /** A connection error does not affect a response that has already arrived completely. */
  private readonly onError = (cause: Error): void => {
    if (!this.response?.complete) this.fail(cause);
  };

  private readonly onClose = (): void => {
    if (!this.response?.complete)
      this.fail(Failure.of('reset', 'connection closed before the response was complete'));
  };

  private readonly onResponse = (response: IncomingMessage): void => {
    this.response = response;
    response.on('error', this.onError);
    const { hasEndedCleanly } = this.transport;
    const bodyEnd = BodyEnd.of({ method: this.outgoing.method, response, hasEndedCleanly });
    this.body = new ResponseBody(response, {
      onData: bodyEnd.add,
      onBodyEnd: () => this.onBodyEnd(bodyEnd),
      abort: (cause) => this.fail(cause),
    });
    this.options.onHead?.(() => response.complete);
    this.resolve({
      kind: 'head',
      status: response.statusCode ?? 0,
      headers: response.headers,
      body: this.body,
    });
  };

  private onBodyEnd(bodyEnd: BodyEnd): void {
    const truncation = bodyEnd.truncation();
    if (truncation === undefined) this.end();
    else this.fail(Failure.of('reset', `response truncated: ${truncation}`));
  }

  private end(): void {
    if (this.isFinished) return;
    this.finish();
    const { sentRequest, response } = this;
    this.options.onEnd?.({
      isReusable: sentRequest?.shouldKeepAlive === true && sentRequest.writableFinished,
      headers: response?.headers ?? {},
    });
    this.body?.end();
  }

  private finish(): void {
    this.isFinished = true;
    this.options.signal.removeEventListener('abort', this.onAbort);
  }

  private fail(cause: Error): void {
    if (this.isFinished) return;
    this.finish();
    this.transport.socket.destroy();
    if (this.body) this.body.fail(cause);
    else this.resolve({ kind: 'failure', isSent: this.isSent, cause });
  }
}

/** Runs exchanges on an open socket. */
export const Exchange = {
  /** Prepares an open socket for exchanges. */
  transport: (socket: Socket, authority: string, isOrderly: () => boolean): Exchange.Transport => ({
    socket,
    authority,
    hasEndedCleanly: isOrderly,
    agent: new SingleSocketAgent(socket),
  }),
  /** Runs one exchange. It never rejects: errors before the head are a `failure`, later ones fail the body. */
  run: (
    transport: Exchange.Transport,
    outgoing: Exchange.Request,
    options: Exchange.Options,
  ): Promise<Exchange> =>
    new Promise((resolve) => new RunningExchange(transport, outgoing, options, resolve).start()),
};
