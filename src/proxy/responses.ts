/**
 * Our own answers, OpenAI-style. Each carries the request's id and says whether the request ran: no means it did not and
 * never will; unknown means that it may have.
 */
import { Stamp } from '../kinds/stamp.js';
import type { Call } from './call.js';

/** An answer of this proxy's own. */
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

/** When a caller may come back to a proxy that can't take its request just now, in milliseconds. */
const comeBackAfter = 1000;

export const Responses = {
  json: writeJson,
  /** A refusal for now of what another moment may serve. */
  unavailable: (code: string, text: string): Responses => ({
    status: 503,
    code,
    text,
    retryAfter: comeBackAfter,
  }),
  bodyTooLong: (longest: number): Responses => ({
    status: 413,
    code: 'body_too_long',
    text: `the body is longer than ${longest} bytes`,
  }),
  refuse(call: Call, response: Responses): 'answered' {
    const { id, compiled, dialect, incoming, outgoing } = call;
    if (outgoing.headersSent) {
      outgoing.destroy();
      return 'answered';
    }
    const isClosing = !incoming.complete;
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
