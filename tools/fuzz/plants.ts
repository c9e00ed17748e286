// Known defects of the request path, each of which the fuzzer must find: a part of it is replaced by one that does
// what an older version did, or what a careless one might.
import type { Connection } from '../../src/upstream/connection.js';
import type { Exchange } from '../../src/upstream/exchange.js';
import type { Pool } from '../../src/upstream/pool.js';
import type { Player } from './player.js';

export type Plants = Readonly<
  Record<string, { readonly judges: readonly string[]; readonly alter: Player.Alter }>
>;

type Run = (
  request: Exchange.Request,
  run: (changed: Exchange.Request) => Promise<Exchange>,
) => Promise<Exchange>;

const withTake =
  (alter: (take: Pool['take']) => Pool['take']): Player.Alter =>
  (needs) => ({
    ...needs,
    pool: { ...needs.pool, take: alter(needs.pool.take) },
  });
const originals = new WeakMap<Connection, Connection>();

/** Replaces what a connection does with one request. */
const withRun =
  (change: Run): Player.Alter =>
  (needs) => ({
    ...needs,
    pool: {
      ...needs.pool,
      async take(...given) {
        const connection = await needs.pool.take(...given);
        const altered: Connection = {
          ...connection,
          run: (request, terms) => change(request, (changed) => connection.run(changed, terms)),
        };
        originals.set(altered, connection);
        return altered;
      },
      give: (connection) => needs.pool.give(originals.get(connection) ?? connection),
    },
  });
const withRequest = (change: (request: Exchange.Request) => Exchange.Request): Player.Alter =>
  withRun((request, run) => run(change(request)));
/** The same sink, as an object whose parts can be replaced. */
const openSink = (sink: Exchange.Sink): Exchange.Sink => ({
  write: (chunk) => sink.write(chunk),
  end: () => sink.end(),
  fail: (cause) => sink.fail(cause),
});
const withPump = (change: (sink: Exchange.Sink) => Exchange.Sink): Player.Alter =>
  withRun(async (request, run) => {
    const told = await run(request);
    if (told.kind === 'failure') return told;
    const { body } = told;
    return {
      ...told,
      body: {
        pump: (sink) => body.pump(change(openSink(sink))),
        collect: (longest) => body.collect(longest),
        abort: (cause) => body.abort(cause),
      },
    };
  });

const upper = (body: Buffer | null) => body && Buffer.from(body.toString('latin1').toUpperCase(), 'latin1');

export const Plants: Plants = {
  'any answer is taken, whatever its id': {
    judges: ['mixed'],
    alter: (needs) => ({
      ...needs,
      dialect: { ...needs.dialect, tie: () => ({ header: 'x-none', value: undefined as unknown as string }) },
    }),
  },
  'a connection that carried a request without a tie is used again': {
    judges: ['mixed'],
    alter: withTake((take) => (server, group, signal) => take(server, group, signal, () => true)),
  },
  'a once request is tried again after it was lost': {
    judges: ['twice'],
    alter: (needs) => {
      const compiled = needs.compiled();
      const changed = compiled && {
        ...compiled,
        rules: compiled.rules.map((one) => ({ ...one, isOnce: false })),
      };
      return { ...needs, compiled: () => changed };
    },
  },
  'a lost try counts as not sent': {
    judges: ['refused', 'twice'],
    alter: withRun(async (request, run) => {
      const told = await run(request);
      return told.kind === 'failure' ? { ...told, isSent: false } : told;
    }),
  },
  'a server’s 429 is passed on as a promise': {
    judges: ['refused'],
    alter: (needs) => ({ ...needs, dialect: { ...needs.dialect, notRunStatuses: new Set<number>() } }),
  },
  'every 500 counts as not run': {
    judges: ['refused', 'twice'],
    alter: (needs) => {
      const compiled = needs.compiled();
      if (!compiled) return needs;
      const groups = new Map(
        [...compiled.groups].map(([name, one]) => [
          name,
          { ...one, isNotRun: (status: number) => status >= 429 },
        ]),
      );
      return { ...needs, compiled: () => ({ ...compiled, groups }) };
    },
  },
  'an answer that breaks off is ended as whole': {
    judges: ['mixed'],
    alter: withPump((sink) => ({ ...sink, fail: () => sink.end() })),
  },
  'a body is changed on its way': {
    judges: ['changed'],
    alter: withRequest((request) => ({ ...request, body: upper(request.body) })),
  },
  'a query is lost on its way': {
    judges: ['changed'],
    alter: withRequest((request) => ({ ...request, path: request.path.split('?')[0]! })),
  },
  'a method is changed on its way': {
    judges: ['changed'],
    alter: withRequest((request) => ({
      ...request,
      method: request.method === 'PUT' ? 'POST' : request.method,
    })),
  },
  'the mark of a request is lost': {
    judges: ['unasked'],
    alter: withRequest((request) => ({ ...request, headers: { ...request.headers, 'x-mark': 'another' } })),
  },
  'the first byte of each piece is lost': {
    judges: ['mixed'],
    alter: withPump((sink) => ({ ...sink, write: (chunk) => sink.write(chunk.subarray(1)) })),
  },
  'jobs are never counted off': {
    judges: ['left'],
    alter: (needs) => ({
      ...needs,
      inFlight: Object.assign(needs.inFlight, {
        begin: ((begin) => (instance: string, prompt: number) => ({ ...begin(instance, prompt), end() {} }))(
          needs.inFlight.begin,
        ),
      }),
    }),
  },
};
