// Our own answers, OpenAI-style. Each carries the request's id and says whether the request ran: no
// means it did not and never will; unknown means that it may have.
import type { Context } from 'hono';
import { Stamp } from '../kinds/stamp.js';
import type { Call } from './call.js';

export type Responses = {
  readonly status: 400 | 401 | 403 | 404 | 408 | 413 | 429 | 500 | 502 | 503 | 504;
  readonly code: string;
  readonly text: string;
  readonly ran?: 'no' | 'unknown';
  readonly retryAfter?: number;
  readonly tries?: number;
};

export const Responses = {
  refuse(context: Context<Call.Env>, response: Responses): Response {
    const { id, compiled, dialect } = context.var.call;
    const isClosing = !context.env.incoming.complete;
    const { status, headers, body } = dialect.own({
      id,
      ...response,
      ran: response.ran ?? 'no',
      tries: response.tries,
      retryAfter: response.retryAfter,
      stamp: compiled && Stamp.text(compiled.stamp),
      isClosing,
    });
    if (isClosing) context.header('connection', 'close');
    return context.json(body, status as Responses['status'], { ...headers });
  },
};
