// What a proxy must know of the words on its wire: how a request says who it is, how long its caller waits and
// what its prompt is made of; what each try tells the server; what ties an answer to the try; and how our
// own answers look. The product's own words are one dialect; another may be handed in at start.
import type { IncomingHttpHeaders } from 'node:http';
import { Ident } from '../kinds/ident.js';
import type { Compiled } from '../manifest/compiled.js';
import type { Tie } from '../upstream/tie.js';

export type Dialect = {
  readonly parse: (headers: IncomingHttpHeaders) => Dialect.RequestInfo;
  readonly isKept: (name: string) => boolean;
  /** Headers that go on though the sender lists them among those of one connection. */
  readonly isNeeded: (name: string) => boolean;
  readonly requestHeaders: (told: Dialect.AttemptInfo) => Readonly<Record<string, string>>;
  /** What a server of the group sends back with its answer to the request, if anything. */
  readonly tie: (asked: Dialect.RequestInfo, group: Compiled.Group) => Tie | undefined;
  readonly responseHeaders: (served: Dialect.ResponseInfo) => Readonly<Record<string, string>>;
  readonly errorResponse: (answer: Dialect.ErrorInfo) => {
    readonly status: number;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: object;
  };
  /** Whether the time of a request also ends an answer that has begun. */
  readonly deadlineEndsResponses: boolean;
  /** Statuses by which a caller is promised that its request did not run and never will. */
  readonly notRunStatuses: ReadonlySet<number>;
  /** Whether model and prompt are read from an OpenAI-style body, and the key from the usual headers. */
  readonly isOpenAi: boolean;
};

export declare namespace Dialect {
  type Part = { readonly key: string; readonly tokens: number };
  type RequestInfo = {
    readonly id: Ident.Request;
    /** The id in the caller's own words, as servers get it. */
    readonly clientRequestId: string | undefined;
    readonly timeLeft: number | undefined;
    readonly model: string | undefined;
    readonly tokens: { readonly input: number; readonly output: number } | undefined;
    readonly parts: readonly Part[];
    readonly lastEventId: string | undefined;
  };
  type AttemptInfo = {
    readonly id: string;
    readonly timeLeft: number;
    readonly hops: number;
    readonly priority: number | undefined;
    readonly lastEventId: string | undefined;
  };
  type ResponseInfo = {
    readonly id: string;
    readonly group: string;
    readonly region: string;
    readonly tries: number;
    readonly stamp: string;
  };
  type ErrorInfo = {
    readonly id: string;
    readonly status: number;
    readonly code: string;
    readonly text: string;
    readonly ran: 'no' | 'unknown';
    readonly tries: number | undefined;
    readonly stamp: string | undefined;
    readonly retryAfter: number | undefined;
    readonly isClosing: boolean;
  };
}

const types: Readonly<Record<number, string>> = {
  401: 'authentication_error',
  403: 'permission_error',
  404: 'not_found_error',
  429: 'rate_limit_error',
};
const lastEventId = 'last-event-id';
const notUp = new Set(['host', 'authorization', 'api-key', 'x-api-key']);

/** The product's own words: headers that begin with bramblebend-, errors as OpenAI writes them. */
export const Dialect: Dialect = {
  isOpenAi: true,
  deadlineEndsResponses: false,
  notRunStatuses: new Set([503]),
  parse: (headers) => ({
    id: Ident.request(),
    clientRequestId: undefined,
    timeLeft: undefined,
    model: undefined,
    tokens: undefined,
    parts: [],
    lastEventId: Array.isArray(headers[lastEventId]) ? headers[lastEventId][0] : headers[lastEventId],
  }),
  isKept: (name) => !notUp.has(name),
  isNeeded: () => false,
  requestHeaders: ({ id, timeLeft: left, hops, lastEventId: after }) => ({
    'bramblebend-request-id': id,
    'bramblebend-time-left': String(Math.max(0, Math.floor(left))),
    'bramblebend-hops': String(hops),
    ...(after === undefined ? {} : { [lastEventId]: after }),
  }),
  tie: ({ id }, { echo }) => (echo === undefined ? undefined : { header: echo, value: id }),
  responseHeaders: ({ id, group, region, tries, stamp }) => ({
    'bramblebend-request-id': id,
    'bramblebend-group': group,
    'bramblebend-region': region,
    'bramblebend-tries': String(tries),
    'bramblebend-stamp': stamp,
  }),
  errorResponse({ id, status, code, text, ran, tries, stamp, retryAfter }) {
    const type = types[status] ?? (status < 500 ? 'invalid_request_error' : 'api_error');
    return {
      status,
      headers: {
        'bramblebend-request-id': id,
        'bramblebend-ran': ran,
        ...(stamp === undefined ? {} : { 'bramblebend-stamp': stamp }),
        ...(tries === undefined ? {} : { 'bramblebend-tries': String(tries) }),
        ...(retryAfter === undefined
          ? {}
          : {
              'retry-after': String(
                Math.max(1, Math.ceil((Math.max(retryAfter, 1000) * (1 + Math.random())) / 1000)),
              ),
            }),
      },
      body: { error: { message: text, type, code, param: null, ran, request_id: id } },
    };
  },
};
