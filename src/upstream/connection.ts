// One connection to one instance: opened, then proved, then used for one exchange at a time. It is
// made over a socket of our own that undici is handed exactly once, so a connection that has ended can
// never quietly become a new one to whoever answers at that address now.
import { connect, type Socket } from 'node:net';
import { Client } from 'undici';
import { Address } from '../kinds/address.js';
import { Failure } from '../kinds/failure.js';
import { Phase } from '../kinds/phase.js';
import type { Compiled } from '../manifest/compiled.js';
import { Exchange } from './exchange.js';
import { Identity } from './identity.js';

export type Connection = {
  readonly server: Compiled.Server;
  readonly state: () => Connection.State;
  /** Sends the request; without a tie between it and its answer the connection carries no other after it. */
  readonly run: (
    request: Exchange.Request,
    terms: Omit<Exchange.Terms, 'ending'> & { readonly isTied: boolean },
  ) => Promise<Exchange>;
  /** Whether it may carry a request that nothing ties to its answer, or else any. */
  readonly mayCarry: (isTied: boolean) => boolean;
  readonly release: () => void;
  readonly destroy: (cause?: Error) => Promise<void>;
  readonly onClose: (see: () => void) => void;
};

export declare namespace Connection {
  type State = 'proving' | 'idle' | 'busy' | 'closed';
}

type Listener = (this: unknown, ...values: unknown[]) => void;

const longestIdentity = 1024 * 1024;

const openSocket = (server: Compiled.Server, signal: AbortSignal): Promise<Socket> =>
  new Promise((resolve, reject) => {
    const socket = connect({ ...server.address, noDelay: true, allowHalfOpen: true });
    const fail = (cause: unknown) => {
      signal.removeEventListener('abort', onAbort);
      socket.destroy();
      reject(
        Failure.of(
          'connect',
          `no connection to ${Address.text(server.address)}`,
          { to: server.instance },
          cause,
        ),
      );
    };
    const onAbort = () => fail(signal.reason);
    if (signal.aborted) return fail(signal.reason);
    signal.addEventListener('abort', onAbort, { once: true });
    socket.once('error', fail);
    socket.once('connect', () => {
      signal.removeEventListener('abort', onAbort);
      socket.removeListener('error', fail);
      socket.on('error', () => {});
      resolve(socket);
    });
  });

const wrap = (server: Compiled.Server, socket: Socket): Client => {
  let isSpent = false;
  return new Client(Address.origin(server.address), {
    pipelining: 1,
    headersTimeout: 0,
    bodyTimeout: 0,
    keepAliveTimeout: 30_000,
    maxHeaderSize: 32 * 1024,
    connect(_options, callback) {
      const isOver = isSpent || socket.destroyed;
      isSpent = true;
      queueMicrotask(() => {
        if (isOver) callback(Failure.of('connect', 'the connection has ended'), null);
        else callback(null, socket);
      });
    },
  });
};

/**
 * Ends the connection where a listener of the server's end fails: undici asserts there that its parser is not held
 * back, and the failure would end the whole process. The answer is then cut visibly, as after a reset.
 */
const guardEnd = (socket: Socket): void => {
  const on = socket.on.bind(socket);
  const guard = (listener: Listener): Listener => {
    const guarded: Listener & { listener?: Listener } = function guarded(this: unknown, ...values) {
      try {
        listener.apply(this, values);
      } catch (error) {
        socket.destroy(error as Error);
      }
    };
    // By this name the listener is found when it is taken off again.
    guarded.listener = listener;
    return guarded;
  };
  socket.on = ((event: string, listener: Listener) =>
    on(event, event === 'end' ? guard(listener) : listener)) as Socket['on'];
};

/**
 * How the server ended the connection. A reset that comes with the last bytes looks like an orderly end; writing
 * nothing fails then. The HTTP client takes a reset that it is told by this code for the end of an answer, so it is
 * told another.
 */
const watchEnd = (socket: Socket): Exchange.Ending => {
  let see: () => void = () => {};
  guardEnd(socket);
  socket.on('error', (error: NodeJS.ErrnoException) => {
    if (error.code === 'ECONNRESET') error.code = 'EPIPE';
  });
  socket.once('end', () => {
    socket.write(Buffer.alloc(0));
    see();
    setImmediate(() => socket.destroy());
  });
  return {
    isOrderly: () => socket.readableEnded && socket.errored === null,
    before(next) {
      see = next;
    },
  };
};

const prove = async (
  client: Client,
  ending: Exchange.Ending,
  server: Compiled.Server,
  group: Compiled.Group,
  signal: AbortSignal,
) => {
  const response = await Exchange.run(
    client,
    { method: 'GET', path: group.identity.path, headers: { accept: 'application/json' }, body: null },
    { maySend: () => true, signal, ending },
  );
  if (response.kind === 'failure') throw response.cause;
  const text = (await response.body.collect(longestIdentity)).toString('utf8');
  if (response.status !== 200)
    throw Failure.of('connect', 'identity was not told', { status: response.status, to: server.instance });
  let body: unknown;
  try {
    body = JSON.parse(text);
  } catch {
    body = undefined;
  }
  Identity.prove({ headers: response.headers, body }, server, group);
};

export const Connection = {
  async open(server: Compiled.Server, group: Compiled.Group, signal: AbortSignal): Promise<Connection> {
    const socket = await openSocket(server, signal);
    const ending = watchEnd(socket);
    const client = wrap(server, socket);
    const watchers: (() => void)[] = [];
    const phase = Phase.of<Connection.State>(
      'proving',
      { proving: ['idle', 'closed'], idle: ['busy', 'closed'], busy: ['idle', 'closed'], closed: [] },
      (_from, to) => {
        if (to === 'closed') for (const see of watchers) see();
      },
    );
    const close = () => {
      if (!phase.is('closed')) phase.become('closed');
    };
    const gone = new Promise<void>((resolve) => {
      socket.once('close', () => {
        close();
        resolve();
      });
    });
    client.on('disconnect', close);
    const destroy = async (cause?: Error) => {
      close();
      socket.destroy(cause ?? Failure.of('connect', 'the connection was ended here'));
      await client.destroy(cause ?? null).catch(() => undefined);
      await gone;
    };
    try {
      if (!group.proof) await prove(client, ending, server, group, signal);
    } catch (error) {
      await destroy();
      throw Failure.is(error, 'identity')
        ? error
        : Failure.of('connect', 'identity was not proved', { to: server.instance }, error);
    }
    if (phase.is('closed')) throw Failure.of('connect', 'the connection has ended');
    phase.become('idle');
    let hasCarried = false;
    let mayCarryMore = true;
    return {
      server,
      state: () => phase.state,
      mayCarry: (isTied) => mayCarryMore && (isTied || !hasCarried),
      destroy,
      onClose: (see) => void watchers.push(see),
      run(request, terms) {
        if (!phase.is('idle'))
          return Promise.resolve({
            kind: 'failure',
            isSent: false,
            cause: Failure.of('connect', `the connection is ${phase.state}`),
          });
        phase.become('busy');
        hasCarried = true;
        mayCarryMore = terms.isTied;
        return Exchange.run(client, request, { ...terms, ending });
      },
      release() {
        // An early answer: the server may never read the rest, and whatever came next would wait behind it.
        if (socket.writableLength > 0) void destroy();
        else if (phase.is('busy')) phase.become('idle');
      },
    };
  },
};
