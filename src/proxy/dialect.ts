/**
 * The header conventions of the proxy: how a request gives its id, remaining time and prompt, which headers each attempt
 * sends to a server, how a response is matched to its request, and the format of error responses. The product's own
 * conventions are one dialect; another may be supplied at start.
 */
import type { IncomingHttpHeaders } from 'node:http';
import { Id } from '../common/id.js';
import type { Compiled } from '../manifest/compiled.js';
import type { Correlation } from '../upstream/correlation.js';

/** Reads and writes the headers of one set of conventions. */
export type Dialect = {
  readonly parse: (headers: IncomingHttpHeaders) => Dialect.RequestInfo;
  /** The API key of a client request. */
  readonly apiKey: (headers: IncomingHttpHeaders) => string | undefined;
  /** Whether a client header is forwarded to servers. */
  readonly isKept: (name: string) => boolean;
  /** Whether a header is forwarded even if the sender lists it in its Connection header. */
  readonly isNeeded: (name: string) => boolean;
  /** Headers that an attempt adds to the request to the server. */
  readonly requestHeaders: (told: Dialect.AttemptInfo) => Readonly<Record<string, string>>;
  /** The header and value that a server of the group must echo in its response, if any. */
  readonly tie: (asked: Dialect.RequestInfo, group: Compiled.Group) => Correlation | undefined;
  /** Headers added to the response to the client. */
  readonly responseHeaders: (served: Dialect.ResponseInfo) => Readonly<Record<string, string>>;
  /** Builds an error response of the proxy itself. */
  readonly errorResponse: (answer: Dialect.ErrorInfo) => {
    readonly status: number;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: object;
  };
  /** Whether the request deadline also ends a response that has started. */
  readonly deadlineEndsResponses: boolean;
  /** Statuses that guarantee to the client that the request did not run and never will. */
  readonly notRunStatuses: ReadonlySet<number>;
  /** Whether the model and prompt are read from an OpenAI-style body, and its probes and model list are answered. */
  readonly isOpenAi: boolean;
};

/** Arguments and results of a dialect. */
export declare namespace Dialect {
  /** One part of a prompt, identified by a hash key, and its length. */
  type Part = { readonly key: string; readonly tokens: number };
  /** What a client request says about itself. */
  type RequestInfo = {
    readonly id: Id.Request;
    /** The request id supplied by the client, forwarded to servers unchanged. */
    readonly clientRequestId: string | undefined;
    readonly timeLeft: number | undefined;
    readonly model: string | undefined;
    readonly tokens: { readonly input: number; readonly output: number } | undefined;
    readonly parts: readonly Part[];
    readonly lastEventId: string | undefined;
  };
  /** What one attempt tells the server. */
  type AttemptInfo = {
    readonly id: string;
    readonly timeLeft: number;
    readonly hops: number;
    readonly priority: number | undefined;
    /** The team that the API key of the request belongs to; undefined for a request without a key. */
    readonly tenant: string | undefined;
    readonly lastEventId: string | undefined;
  };
  /** What a response tells the client about where it was served. */
  type ResponseInfo = {
    readonly id: string;
    readonly group: string;
    readonly region: string;
    readonly tries: number;
    readonly stamp: string;
  };
  /** An error response of the proxy itself. */
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

const errorTypes: Readonly<Record<number, string>> = {
  401: 'authentication_error',
  403: 'permission_error',
  404: 'not_found_error',
  429: 'rate_limit_error',
};
const lastEventIdHeader = 'last-event-id';
const credentialHeaders = new Set(['host', 'authorization', 'api-key', 'x-api-key']);

const readKey = (headers: IncomingHttpHeaders): string | undefined => {
  const bearer = /^Bearer +(\S+) *$/i.exec(String(headers.authorization ?? ''))?.[1];
  const other = headers['api-key'] ?? headers['x-api-key'];
  return bearer ?? (typeof other === 'string' ? other : undefined);
};

/** The product's own conventions: headers with the prefix bramblebend-, and errors in the OpenAI format. */
export const Dialect: Dialect = {
  isOpenAi: true,
  deadlineEndsResponses: false,
  notRunStatuses: new Set([503]),
  parse: (headers) => ({
    id: Id.request(),
    clientRequestId: undefined,
    timeLeft: undefined,
    model: undefined,
    tokens: undefined,
    parts: [],
    lastEventId: Array.isArray(headers[lastEventIdHeader])
      ? headers[lastEventIdHeader][0]
      : headers[lastEventIdHeader],
  }),
  apiKey: readKey,
  isKept: (name) => !credentialHeaders.has(name),
  isNeeded: () => false,
  requestHeaders: ({ id, timeLeft, hops, lastEventId }) => ({
    'bramblebend-request-id': id,
    'bramblebend-time-left': String(Math.max(0, Math.floor(timeLeft))),
    'bramblebend-hops': String(hops),
    ...(lastEventId === undefined ? {} : { [lastEventIdHeader]: lastEventId }),
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
    const type = errorTypes[status] ?? (status < 500 ? 'invalid_request_error' : 'api_error');
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
              // Random jitter keeps clients from retrying all at the same time.
              'retry-after': String(
                Math.max(1, Math.ceil((Math.max(retryAfter, 1000) * (1 + Math.random())) / 1000)),
              ),
            }),
      },
      body: { error: { message: text, type, code, param: null, ran, request_id: id } },
    };
  },
};
