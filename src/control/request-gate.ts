/**
 * What every request of the control API passes first: a bound on the requests that are handled at once, and the reading of its
 * body within the memory budget of the process.
 */
import type { HttpBindings } from '@hono/node-server';
import type { Context, MiddlewareHandler } from 'hono';
import { Instant } from '../common/instant.js';
import { ClientConnection } from '../overload/client-connection.js';
import { JsonCost } from '../overload/json-cost.js';
import type { Overload } from '../overload/overload.js';
import { Responses } from './responses.js';

/** Admits requests to the control API. */
export type RequestGate = { readonly handle: MiddlewareHandler; readonly refusedCount: () => number };

/** The longest body, in bytes. */
const maxBodyBytes = 16 * 1024 * 1024;
/** Time for receiving a body, in milliseconds. */
const bodyTimeoutMs = 30_000;
/** Requests that are handled at once; those whose body has not arrived do not count. */
const maxHandled = 32;
/** The name under which a context keeps its body. */
const bodyVariable = 'body-bytes';

/** The connection of a request; undefined where it came from within the process, in one piece. */
const connectionOf = ({ env }: Context): HttpBindings | undefined =>
  (env as Partial<HttpBindings> | undefined)?.incoming ? (env as HttpBindings) : undefined;

const respond = (context: Context, { status, body, headers = {} }: Responses): Response =>
  context.json(body, status, { connection: 'close', ...headers });

const failures = {
  long: Responses.fail(413, 'body_too_long', 'the body is too long'),
  late: Responses.fail(408, 'body_too_slow', 'the body did not come in time'),
  left: Responses.fail(408, 'body_too_slow', 'the client left'),
  shed: Responses.unconfirmed('memory', 'this node holds as much of requests as it may', 'no'),
} as const;
const crowded = Responses.unconfirmed('crowded', 'this node handles as many requests as it may', 'no');
const tooManyValues = Responses.fail(413, 'too_many_values', 'the body holds too many values');

/** Admits requests. */
export const RequestGate = {
  of({ bodies, memory }: Overload): RequestGate {
    let handled = 0;
    let refused = 0;
    const refuse = (context: Context, response: Responses): Response => {
      refused += 1;
      const connection = connectionOf(context);
      if (connection?.incoming.complete === false)
        ClientConnection.of(connection.incoming.socket).lingerAtEnd();
      return respond(context, response);
    };
    /** Reserves what parsing the body takes until its response is closed; returns the refusal if there is no room. */
    const reserveParsing = (bytes: Buffer, { outgoing }: HttpBindings): Responses | undefined => {
      const holding = memory.hold();
      outgoing.once('close', () => holding.release());
      const cost = JsonCost(bytes);
      if (holding.grow(cost)) return undefined;
      return memory.canFit(cost, bytes.length) ? failures.shed : tooManyValues;
    };
    const receive = async (context: Context): Promise<Responses | undefined> => {
      if (context.req.method === 'GET' || context.req.method === 'HEAD') return undefined;
      const connection = connectionOf(context);
      if (!connection) {
        context.set(bodyVariable, Buffer.from(await context.req.arrayBuffer()));
        return undefined;
      }
      const bytes = await bodies.read(connection.incoming, connection.outgoing, {
        maxBytes: maxBodyBytes,
        until: Instant.after(bodyTimeoutMs, Instant.now()),
      });
      if (typeof bytes === 'string') return failures[bytes];
      context.set(bodyVariable, bytes);
      return reserveParsing(bytes, connection);
    };
    return {
      refusedCount: () => refused,
      async handle(context, next) {
        const refusal = await receive(context);
        if (refusal) return refuse(context, refusal);
        if (handled >= maxHandled) return refuse(context, crowded);
        handled += 1;
        try {
          await next();
        } finally {
          handled -= 1;
        }
        return undefined;
      },
    };
  },
  /** The body of a request that was admitted; empty for one without. */
  body: (context: Context): Buffer => (context.get(bodyVariable) as Buffer | undefined) ?? Buffer.alloc(0),
};
