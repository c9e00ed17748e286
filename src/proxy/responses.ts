// Our own answers, OpenAI-style. Each carries the request's id and says whether the request ran: no
// means it did not and never will; unknown means that it may have.
import type { Context } from 'hono';
import { Stamp } from '../kinds/stamp.js';
import { RetryAfter } from '../upstream/retry-after.js';
import type { Call } from './call.js';

export type Responses = {
  readonly status: 400 | 401 | 403 | 404 | 408 | 413 | 429 | 500 | 502 | 503 | 504;
  readonly code: string;
  readonly text: string;
  readonly ran?: 'no' | 'unknown';
  readonly retryAfter?: number;
  readonly tries?: number;
};

const types: Partial<Record<Responses['status'], string>> = {
  401: 'authentication_error',
  403: 'permission_error',
  404: 'not_found_error',
  429: 'rate_limit_error',
};

export const Responses = {
  drop(context: Context<Call.Env>, response: Responses): Response {
    const { id } = context.var.call;
    const ran = response.ran ?? 'no';
    context.header('bramblebend-request-id', id);
    context.header('bramblebend-ran', ran);
    const { compiled } = context.var.call;
    if (compiled) context.header('bramblebend-stamp', Stamp.text(compiled.stamp));
    if (response.tries !== undefined) context.header('bramblebend-tries', String(response.tries));
    if (response.retryAfter !== undefined)
      context.header('retry-after', RetryAfter.write(response.retryAfter, Math.random));
    if (!context.env.incoming.complete) context.header('connection', 'close');
    const type = types[response.status] ?? (response.status < 500 ? 'invalid_request_error' : 'api_error');
    return context.json(
      { error: { message: response.text, type, code: response.code, param: null, ran, request_id: id } },
      response.status,
    );
  },
};
