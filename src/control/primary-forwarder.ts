/**
 * What only the primary may do: a core that does not lead passes the call to the primary, once and whole, and gives its
 * response back as it came. While the link to the primary is down it says so at once, and a call that is under way when
 * it goes down is answered then. What can't be confirmed is a 503 that says whether it was taken.
 */
import type { Context } from 'hono';
import { Failure } from '../common/failure.js';
import { Timer } from '../common/timer.js';
import { Term } from '../epoch/term.js';
import type { Frame } from '../wire/frame.js';
import { HttpClient } from '../wire/http-client.js';
import type { Core } from './core.js';
import { Responses } from './responses.js';

export type AtPrimary = {
  readonly pass: (context: Context) => Promise<Response>;
  readonly confirmed: (context: Context, handle: () => Promise<Responses> | Responses) => Promise<Response>;
  readonly close: () => void;
};

export declare namespace AtPrimary {
  type Needs = {
    readonly node: string;
    readonly core: Core;
    readonly ownHttp: () => string;
    /** Whether the link to a core stands, so that a call passed on to it is likely to be answered. */
    readonly isReached: (core: Frame.Core) => boolean;
    readonly note: (text: string, facts?: Record<string, unknown>) => void;
  };
}

const passedBy = 'bramblebend-passed';
/** The calls of one core to the primary. Each side keeps resting connections for 5 s by default. */
const passing = { timeout: 7000, connectTimeout: 1000, maxConnections: 8, idleTimeout: 3000 } as const;
const lookEvery = 100;
const ofOneConnection = new Set([
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
const given = ['content-type', 'etag', 'retry-after', 'bramblebend-by', 'bramblebend-at', 'bramblebend-node'];

const give = (context: Context, { status, body, headers = {} }: Responses): Response =>
  body instanceof Uint8Array
    ? context.body(body, status, { 'content-type': 'application/json', ...headers })
    : context.json(body, status, headers);

export const AtPrimary = {
  give,
  of(needs: AtPrimary.Needs): AtPrimary {
    const { core } = needs;
    const client = HttpClient.of(passing);
    const noPrimary = (context: Context, text: string, taken: string) =>
      give(context, Responses.unconfirmed('no_primary', text, taken));
    return {
      async pass(context) {
        const term = core.term();
        const primary = term && Term.core(term, term.primary);
        if (!primary || primary.http === needs.ownHttp() || context.req.header(passedBy) !== undefined)
          return noPrimary(context, 'no primary is known just now', 'no');
        const headers = Object.fromEntries(
          Object.entries(context.req.header()).filter(([name]) => !ofOneConnection.has(name)),
        );
        if (!needs.isReached(primary)) return noPrimary(context, 'the primary is out of reach', 'no');
        const { method } = context.req;
        const lost = new AbortController();
        const watch = Timer.every(lookEvery, () => {
          if (!needs.isReached(primary)) lost.abort(Failure.of('link', 'the primary is out of reach'));
        });
        const { pathname, search } = new URL(context.req.url);
        try {
          const body = method === 'GET' ? undefined : Buffer.from(await context.req.arrayBuffer());
          const response = await client.call(primary.http, {
            path: `${pathname}${search}`,
            method,
            headers: { ...headers, [passedBy]: needs.node },
            body,
            signal: lost.signal,
          });
          const kept = given.flatMap((name) => {
            const value = response.headers[name];
            return value === undefined ? [] : [[name, String(value)] as const];
          });
          return context.body(
            new Uint8Array(response.body),
            response.status as 200,
            Object.fromEntries(kept),
          );
        } catch (error) {
          const isRefused = (error as NodeJS.ErrnoException).code === 'ECONNREFUSED';
          const isUnsent = isRefused || Failure.is(error, 'connect');
          const taken = isUnsent || method === 'GET' ? 'no' : 'unknown';
          return noPrimary(context, `the primary did not answer: ${Failure.text(error)}`, taken);
        } finally {
          watch.stop();
        }
      },
      async confirmed(context, handle) {
        try {
          context.header('bramblebend-node', needs.node);
          return give(context, await handle());
        } catch (error) {
          needs.note('unconfirmed answer', { path: context.req.path, why: Failure.text(error) });
          const taken = String(Failure.info(error).taken ?? 'unknown');
          return give(context, Responses.unconfirmed('unconfirmed', Failure.text(error), taken));
        }
      },
      close: client.close,
    };
  },
};
