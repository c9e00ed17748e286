/**
 * Error responses of the proxy itself. Each carries the request id and states whether the request ran: "no" means that it
 * did not and never will; "unknown" means that it may have.
 */
import { Stamp } from '../common/stamp.js';
import { ClientConnection } from '../overload/client-connection.js';
import type { Call } from './call.js';

/** An error response of the proxy itself. */
export type Responses = {
  readonly status: 400 | 401 | 403 | 404 | 408 | 413 | 429 | 500 | 502 | 503 | 504;
  readonly code: string;
  readonly text: string;
  readonly ran?: 'no' | 'unknown';
  readonly retryAfter?: number;
  readonly tries?: number;
};

type Headers = Readonly<Record<string, string>>;

const writeJson = ({ outgoing }: Call, status: number, headers: Headers, body: object): 'answered' => {
  const bytes = Buffer.from(JSON.stringify(body));
  outgoing.writeHead(status, {
    ...headers,
    'content-type': 'application/json',
    'content-length': bytes.length,
  });
  outgoing.end(bytes);
  return 'answered';
};

/** Retry-After of temporary refusals, in milliseconds. */
const retryAfterMs = 1000;

/** Writes responses of the proxy itself. */
export const Responses = {
  /** Answers with a JSON body. */
  json: writeJson,
  /** A temporary refusal: a later retry may succeed. */
  unavailable: (code: string, text: string): Responses => ({
    status: 503,
    code,
    text,
    retryAfter: retryAfterMs,
  }),
  /** The refusal of a request whose API key is missing or unknown. */
  invalidKey: {
    status: 401,
    code: 'invalid_api_key',
    text: 'the key is missing or unknown',
  } as Responses,
  /** The refusal of a body above the size limit. */
  bodyTooLong: (maxBytes: number): Responses => ({
    status: 413,
    code: 'body_too_long',
    text: `the body is longer than ${maxBytes} bytes`,
  }),
  /** Answers with an error; if a response has already started, closes the connection instead. */
  refuse(call: Call, response: Responses): 'answered' {
    const { id, compiled, dialect, incoming, outgoing } = call;
    const connection = ClientConnection.of(incoming.socket);
    if (outgoing.headersSent) {
      connection.abort();
      return 'answered';
    }
    // The rest of the request body was not read, so the connection cannot be reused.
    const isClosing = !incoming.complete;
    if (isClosing) connection.lingerAtEnd();
    const { status, headers, body } = dialect.errorResponse({
      id,
      ...response,
      ran: response.ran ?? 'no',
      tries: response.tries,
      retryAfter: response.retryAfter,
      stamp: compiled && Stamp.text(compiled.stamp),
      isClosing,
    });
    return writeJson(call, status, isClosing ? { ...headers, connection: 'close' } : headers, body);
  },
};
