/**
 * One exchange over one connection: the request is handed to the socket, and either a head comes back with a body to
 * read, or a failure that says whether any byte of the request may have left. The check given runs at the very moment
 * of sending: when it says no, nothing is written.
 */
import {
  Agent,
  type ClientRequest,
  type IncomingHttpHeaders,
  type IncomingMessage,
  request,
} from 'node:http';
import type { Socket } from 'node:net';
import { Failure } from '../kinds/failure.js';

/** What came of an exchange. */
export type Exchange =
  | {
      readonly kind: 'head';
      readonly status: number;
      readonly headers: IncomingHttpHeaders;
      readonly body: Exchange.Body;
    }
  | { readonly kind: 'failure'; readonly isSent: boolean; readonly cause: Error };

export declare namespace Exchange {
  type Request = {
    readonly method: string;
    readonly path: string;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: Buffer | null;
  };
  type Sink = {
    readonly write: (chunk: Buffer) => boolean;
    readonly end: () => void;
    readonly fail: (cause: Error) => void;
  };
  type Body = {
    readonly pump: (sink: Sink) => { readonly resume: () => void };
    readonly collect: (longest: number) => Promise<Buffer>;
    readonly abort: (cause: Error) => void;
  };
  /** The connection as an exchange sees it. */
  type Transport = {
    readonly socket: Socket;
    /** Host and port, for a request that names no host. */
    readonly authority: string;
    /** Whether the server has ended the connection in order, and has not reset it. */
    readonly hasEndedCleanly: () => boolean;
    readonly agent: Agent;
  };
  /** What the end of an answer says about its connection. */
  type Completion = {
    /** Whether another exchange may follow. */
    readonly isReusable: boolean;
    readonly headers: IncomingHttpHeaders;
  };
  type Options = {
    readonly maySend: () => boolean;
    readonly signal: AbortSignal;
    /** Called once the answer has begun, with a question that tells whether all of it has arrived. */
    readonly onHead?: (isWhole: () => boolean) => void;
    /** Called when the whole answer has been read. */
    readonly onEnd?: (kept: Completion) => void;
  };
}

const longestHead = 32 * 1024;

const hasNoBody = (method: string, status: number): boolean =>
  method === 'HEAD' || status === 204 || status === 304;

/** Whether an answer is delimited by nothing but the end of its connection. */
const lastsToEnd = (method: string, { statusCode = 0, headers }: IncomingMessage): boolean =>
  !hasNoBody(method, statusCode) &&
  headers['content-length'] === undefined &&
  !/chunked\s*$/i.test(headers['transfer-encoding'] ?? '');

const mayHaveBody = new Set(['POST', 'PUT', 'PATCH']);

/** Names and values in turn, as they go on the wire. */
const headersOf = ({ method, headers, body }: Exchange.Request, authority: string): string[] => {
  const list: string[] = [];
  if (headers.host === undefined) list.push('host', authority);
  for (const name in headers) list.push(name, headers[name]!);
  list.push('connection', 'keep-alive');
  if (body) list.push('content-length', String(body.length));
  else if (mayHaveBody.has(method)) list.push('content-length', '0');
  return list;
};

/** Gives each request the one connection that it was made for, and keeps none. */
class LineAgent extends Agent {
  constructor(private readonly socket: Socket) {
    super({ keepAlive: true });
  }

  addRequest(asked: ClientRequest): void {
    asked.onSocket(this.socket);
  }
}

const open = ({ agent, authority }: Exchange.Transport, asked: Exchange.Request): ClientRequest =>
  request({
    method: asked.method,
    path: asked.path,
    headers: headersOf(asked, authority),
    maxHeaderSize: longestHead,
    agent,
  });

type Ways = { readonly onWhole: () => void; readonly abort: (cause: Error) => void };

/** The body of an answer, read by one sink. It waits in its stream until there is one. */
class AnswerBody implements Exchange.Body {
  private sink: Exchange.Sink | undefined;
  private cause: Error | undefined;

  constructor(
    private readonly answer: IncomingMessage,
    private readonly ways: Ways,
  ) {}

  pump(sink: Exchange.Sink): { readonly resume: () => void } {
    const { answer, ways } = this;
    this.sink = sink;
    if (this.cause) sink.fail(this.cause);
    else {
      answer.once('end', ways.onWhole);
      answer.on('data', (chunk: Buffer) => {
        if (!this.cause && !sink.write(chunk)) answer.pause();
      });
    }
    return { resume: () => void answer.resume() };
  }

  collect(longest: number): Promise<Buffer> {
    return new Promise((resolve, reject) => {
      const chunks: Buffer[] = [];
      let length = 0;
      this.pump({
        write: (chunk) => {
          length += chunk.length;
          if (length > longest) this.abort(Failure.of('reset', 'body too long'));
          else chunks.push(chunk);
          return true;
        },
        end: () => resolve(Buffer.concat(chunks)),
        fail: reject,
      });
    });
  }

  abort(cause: Error): void {
    this.ways.abort(cause);
  }

  end(): void {
    this.sink?.end();
  }

  fail(cause: Error): void {
    this.cause = cause;
    this.sink?.fail(cause);
  }
}

class Running {
  private isSent = false;
  private isOver = false;
  private answer: IncomingMessage | undefined;
  private body: AnswerBody | undefined;
  private sent: ClientRequest | undefined;

  constructor(
    private readonly line: Exchange.Transport,
    private readonly asked: Exchange.Request,
    private readonly terms: Exchange.Options,
    private readonly resolve: (exchange: Exchange) => void,
  ) {}

  start(): void {
    const { signal, maySend } = this.terms;
    if (signal.aborted) {
      this.fail(signal.reason as Error);
      return;
    }
    if (!maySend()) {
      this.fail(Failure.of('left', 'not sent: its time or its client was gone'));
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
    const sent = open(this.line, this.asked);
    this.isSent = true;
    this.sent = sent;
    sent.on('error', this.onError);
    sent.once('close', this.onClose);
    sent.once('response', this.onResponse);
    sent.end(this.asked.body ?? undefined);
  }

  private readonly onAbort = (): void => this.fail(this.terms.signal.reason as Error);

  /** What happens to the connection does not matter to an answer that is here whole. */
  private readonly onError = (cause: Error): void => {
    if (!this.answer?.complete) this.fail(cause);
  };

  private readonly onClose = (): void => {
    if (!this.answer?.complete) this.fail(Failure.of('reset', 'the connection has ended'));
  };

  private readonly onResponse = (answer: IncomingMessage): void => {
    this.answer = answer;
    answer.on('error', this.onError);
    this.body = new AnswerBody(answer, {
      onWhole: this.onWhole,
      abort: (cause) => this.fail(cause),
    });
    this.terms.onHead?.(() => answer.complete);
    this.resolve({
      kind: 'head',
      status: answer.statusCode ?? 0,
      headers: answer.headers,
      body: this.body,
    });
  };

  private readonly onWhole = (): void => {
    const { answer, asked, line } = this;
    const isWhole = answer?.complete && (!lastsToEnd(asked.method, answer) || line.hasEndedCleanly());
    if (isWhole) this.end();
    else this.fail(Failure.of('reset', 'an answer was cut'));
  };

  private end(): void {
    if (this.isOver) return;
    this.finish();
    const { sent, answer } = this;
    this.terms.onEnd?.({
      isReusable: sent?.shouldKeepAlive === true && sent.writableFinished,
      headers: answer?.headers ?? {},
    });
    this.body?.end();
  }

  private finish(): void {
    this.isOver = true;
    this.terms.signal.removeEventListener('abort', this.onAbort);
  }

  private fail(cause: Error): void {
    if (this.isOver) return;
    this.finish();
    this.line.socket.destroy();
    if (this.body) this.body.fail(cause);
    else this.resolve({ kind: 'failure', isSent: this.isSent, cause });
  }
}

export const Exchange = {
  /** A connection made ready for exchanges. */
  transport: (socket: Socket, authority: string, isOrderly: () => boolean): Exchange.Transport => ({
    socket,
    authority,
    hasEndedCleanly: isOrderly,
    agent: new LineAgent(socket),
  }),
  run: (line: Exchange.Transport, asked: Exchange.Request, terms: Exchange.Options): Promise<Exchange> =>
    new Promise((resolve) => new Running(line, asked, terms, resolve).start()),
};
