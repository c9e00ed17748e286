/**
 * Requests that only the primary may handle. A core that is not the primary forwards the complete request to it, once, and
 * returns its response unchanged. While the link to the primary is down, the request is refused at once, and one that is in
 * flight when the link goes down is answered then. A result that cannot be confirmed is a 503 that says whether the change
 * was taken.
 */
import type { Context } from 'hono';
import { Failure } from '../common/failure.js';
import { Timer } from '../common/timer.js';
import { Term } from '../epoch/term.js';
import type { Frame } from '../wire/frame.js';
import { HttpClient } from '../wire/http-client.js';
import type { Core } from './core.js';
import { RequestGate } from './request-gate.js';
import { Responses } from './responses.js';

/** Runs requests at the primary: here or by forwarding them. */
export type PrimaryForwarder = {
  /** Forwards a request to the primary. */
  readonly forward: (context: Context) => Promise<Response>;
  /** Runs a handler here and answers 503 if its result could not be confirmed. */
  readonly respond: (context: Context, handle: () => Promise<Responses> | Responses) => Promise<Response>;
  /** Closes the connections to the primary. */
  readonly close: () => void;
};

export declare namespace PrimaryForwarder {
  /** The parts of the core that forwarding uses. */
  type Dependencies = {
    readonly node: string;
    readonly core: Core;
    readonly ownHttpAddress: () => string;
    /** Whether the link to a core is up, so that a request forwarded to it is likely to be answered. */
    readonly isConnected: (core: Frame.Core) => boolean;
    readonly note: (text: string, facts?: Record<string, unknown>) => void;
  };
}

/** Header that names the node which forwarded a request. */
const forwardedByHeader = 'bramblebend-passed';
/** HTTP client options, in milliseconds. Servers close idle connections after 5 s by default, so the client closes them earlier. */
const clientOptions = { timeout: 7000, connectTimeout: 1000, maxConnections: 8, idleTimeout: 3000 } as const;
const linkCheckIntervalMs = 100;
/** Request headers that concern a single connection and are not forwarded. */
const hopByHopHeaders = new Set([
  'host',
  'connection',
  'keep-alive',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'expect',
  'content-length',
]);
/** Response headers of the primary that are returned to the client. */
const returnedHeaders = [
  'content-type',
  'etag',
  'retry-after',
  'bramblebend-by',
  'bramblebend-at',
  'bramblebend-node',
];

const toResponse = (context: Context, { status, body, headers = {} }: Responses): Response =>
  body instanceof Uint8Array
    ? context.body(body, status, { 'content-type': 'application/json', ...headers })
    : context.json(body, status, headers);

/** Forwarding of requests to the primary. */
export const PrimaryForwarder = {
  /** Converts a response of a command or query to an HTTP response. */
  toResponse,
  /** Forwarding from one core. */
  of(needs: PrimaryForwarder.Dependencies): PrimaryForwarder {
    const { core } = needs;
    const client = HttpClient.of(clientOptions);
    const answerNoPrimary = (context: Context, text: string, taken: string) =>
      toResponse(context, Responses.unconfirmed('no_primary', text, taken));
    return {
      async forward(context) {
        const term = core.term();
        const primary = term && Term.core(term, term.primary);
        if (
          !primary ||
          primary.http === needs.ownHttpAddress() ||
          context.req.header(forwardedByHeader) !== undefined
        )
          return answerNoPrimary(context, 'no primary is known just now', 'no');
        const headers = Object.fromEntries(
          Object.entries(context.req.header()).filter(([name]) => !hopByHopHeaders.has(name)),
        );
        if (!needs.isConnected(primary)) return answerNoPrimary(context, 'the primary is out of reach', 'no');
        const { method } = context.req;
        const linkDown = new AbortController();
        const watch = Timer.every(linkCheckIntervalMs, () => {
          if (!needs.isConnected(primary)) linkDown.abort(Failure.of('link', 'the primary is out of reach'));
        });
        const { pathname, search } = new URL(context.req.url);
        try {
          const body = method === 'GET' ? undefined : RequestGate.body(context);
          const response = await client.call(primary.http, {
            path: `${pathname}${search}`,
            method,
            headers: { ...headers, [forwardedByHeader]: needs.node },
            body,
            signal: linkDown.signal,
          });
          const headersToReturn = returnedHeaders.flatMap((name) => {
            const value = response.headers[name];
            return value === undefined ? [] : [[name, String(value)] as const];
          });
          return context.body(
            new Uint8Array(response.body),
            response.status as 200,
            Object.fromEntries(headersToReturn),
          );
        } catch (error) {
          const isRefused = (error as NodeJS.ErrnoException).code === 'ECONNREFUSED';
          const isUnsent = isRefused || Failure.is(error, 'connect');
          const taken = isUnsent || method === 'GET' ? 'no' : 'unknown';
          return answerNoPrimary(context, `the primary did not answer: ${Failure.text(error)}`, taken);
        } finally {
          watch.stop();
        }
      },
      async respond(context, handle) {
        try {
          context.header('bramblebend-node', needs.node);
          return toResponse(context, await handle());
        } catch (error) {
          needs.note('response not confirmed', { path: context.req.path, why: Failure.text(error) });
          const taken = String(Failure.info(error).taken ?? 'unknown');
          return toResponse(context, Responses.unconfirmed('unconfirmed', Failure.text(error), taken));
        }
      },
      close: client.close,
    };
  },
};
