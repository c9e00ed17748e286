/**
 * One connection to one server instance. It is opened, the identity of the server is verified, and it then carries one
 * exchange at a time. The socket is never reopened, so a closed connection cannot silently reconnect to another server
 * that has taken over the address.
 */
import { connect, type Socket } from 'node:net';
import { Address } from '../common/address.js';
import { Failure } from '../common/failure.js';
import { StateMachine } from '../common/state-machine.js';
import { Timer } from '../common/timer.js';
import type { Compiled } from '../manifest/compiled.js';
import { Exchange } from './exchange.js';
import { Identity } from './identity.js';

/** A verified connection to a server. */
export type Connection = {
  readonly server: Compiled.Server;
  readonly state: () => Connection.State;
  /**
   * Sends the request. If no header correlates the response with it (`isCorrelated` is false), the connection is not
   * reused afterwards.
   */
  readonly run: (
    request: Exchange.Request,
    terms: Pick<Exchange.Options, 'maySend' | 'signal'> & { readonly isCorrelated: boolean },
  ) => Promise<Exchange>;
  /** Whether the connection may carry another request, given whether a header correlates its response with it. */
  readonly mayCarry: (isCorrelated: boolean) => boolean;
  /** Returns the connection to the idle state after an exchange, or closes it if it cannot be reused. */
  readonly release: () => void;
  /** Closes the connection; resolves once the socket is closed. */
  readonly destroy: () => Promise<void>;
  readonly onClose: (listener: () => void) => void;
};

/** Types of a connection. */
export declare namespace Connection {
  /** `proving`: the identity of the server is being verified. */
  type State = 'proving' | 'idle' | 'busy' | 'closed';
}

/** Largest identity response, in bytes. */
const maxIdentityBytes = 1024 * 1024;
/** Idle timeout of a connection, in milliseconds; a shorter one announced by the server takes precedence. */
const maxIdleMs = 30_000;
/** A connection is closed this long before the server would close it, in milliseconds. */
const idleMarginMs = 2000;

const openSocket = (server: Compiled.Server, signal: AbortSignal): Promise<Socket> =>
  new Promise((resolve, reject) => {
    const socket = connect({ ...server.address, noDelay: true, allowHalfOpen: true });
    const fail = (cause: unknown) => {
      signal.removeEventListener('abort', onAbort);
      socket.destroy();
      reject(
        Failure.of(
          'connect',
          `cannot connect to ${Address.text(server.address)}`,
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

/**
 * Returns a function that tells whether the server closed the connection without a reset. A reset that arrives together
 * with the last bytes looks like a normal end of the stream; an empty write then fails and reveals it.
 */
const watchCleanEnd = (socket: Socket): (() => boolean) => {
  socket.once('end', () => {
    socket.write(Buffer.alloc(0));
    setImmediate(() => socket.destroy());
  });
  return () => socket.readableEnded && socket.errored === null;
};

/** How long a connection may stay idle after a response with these headers, in milliseconds. */
const idleTimeoutOf = ({ 'keep-alive': keepAlive }: Exchange.Completion['headers']): number => {
  const seconds = /timeout=\s*(\d+)/i.exec(String(keepAlive ?? ''))?.[1];
  return seconds === undefined ? maxIdleMs : Math.min(maxIdleMs, Number(seconds) * 1000 - idleMarginMs);
};

/** Requests the identity of the server and verifies it. */
const verifyIdentity = async (
  transport: Exchange.Transport,
  server: Compiled.Server,
  group: Compiled.Group,
  signal: AbortSignal,
  onEnd: (completion: Exchange.Completion) => void,
) => {
  const response = await Exchange.run(
    transport,
    { method: 'GET', path: group.identity.path, headers: { accept: 'application/json' }, body: null },
    { maySend: () => true, signal, onEnd },
  );
  if (response.kind === 'failure') throw response.cause;
  const text = (await response.body.collect(maxIdentityBytes)).toString('utf8');
  if (response.status !== 200)
    throw Failure.of('connect', 'identity request failed', { status: response.status, to: server.instance });
  let body: unknown;
  try {
    body = JSON.parse(text);
  } catch {
    body = undefined;
  }
  Identity.verify({ headers: response.headers, body }, server, group);
};

type State = Connection.State;

/** Tracks the use of a connection: one exchange at a time, and an idle period between two. */
class ConnectionUse {
  readonly phase: StateMachine<State>;
  readonly closeListeners: (() => void)[] = [];
  private isComplete: (() => boolean) | undefined;
  private completion: Exchange.Completion | undefined;
  private idleTimer: Timer | undefined;
  private hasBeenUsed = false;
  private acceptsMore = true;

  constructor(private readonly socket: Socket) {
    this.phase = StateMachine.of<State>(
      'proving',
      { proving: ['idle', 'closed'], idle: ['busy', 'closed'], busy: ['idle', 'closed'], closed: [] },
      (_from, to) => {
        if (to === 'closed') this.end();
      },
    );
    // Registered before the listeners of any exchange, so that the last bytes of a response are not counted as surplus.
    socket.on('data', () => {
      if (this.isUnsolicitedData()) socket.destroy();
    });
  }

  /** Whether bytes received now belong to no response. */
  private isUnsolicitedData(): boolean {
    if (this.phase.is('idle')) return true;
    return this.isComplete?.() === true;
  }

  private end(): void {
    this.idleTimer?.stop();
    for (const listener of this.closeListeners) listener();
  }

  close(): void {
    if (!this.phase.is('closed')) this.phase.transitionTo('closed');
  }

  mayCarry(isCorrelated: boolean): boolean {
    return this.acceptsMore && (isCorrelated || !this.hasBeenUsed);
  }

  begin(isCorrelated: boolean): void {
    this.phase.transitionTo('busy');
    this.isComplete = undefined;
    this.completion = undefined;
    this.hasBeenUsed = true;
    this.acceptsMore = isCorrelated;
  }

  readonly onHead = (isComplete: () => boolean): void => {
    this.isComplete = isComplete;
  };

  readonly onEnd = (completion: Exchange.Completion): void => {
    this.completion = completion;
  };

  /** Starts the idle timer; returns false if the connection cannot be reused. */
  startIdle(): boolean {
    const { completion, socket } = this;
    // After a response that arrived before the request was fully written, the server may never read the remaining
    // bytes, and the next request would wait behind them.
    if (!completion?.isReusable || socket.destroyed || socket.writableLength > 0) return false;
    const span = idleTimeoutOf(completion.headers);
    if (span <= 0) return false;
    this.isComplete = undefined;
    this.idleTimer?.stop();
    this.idleTimer = Timer.after(span, () => {
      if (this.phase.is('idle')) socket.destroy();
    });
    return true;
  }
}

/** Opens connections. */
export const Connection = {
  /**
   * Connects and verifies the identity of the server, unless each request of the group names its instance (`proof`).
   */
  async open(server: Compiled.Server, group: Compiled.Group, signal: AbortSignal): Promise<Connection> {
    const socket = await openSocket(server, signal);
    const transport = Exchange.transport(socket, Address.text(server.address), watchCleanEnd(socket));
    const use = new ConnectionUse(socket);
    const { phase } = use;
    const closed = new Promise<void>((resolve) => {
      socket.once('close', () => {
        use.close();
        resolve();
      });
    });
    const destroy = () => {
      use.close();
      socket.destroy();
      return closed;
    };
    try {
      if (!group.proof) await verifyIdentity(transport, server, group, signal, use.onEnd);
    } catch (error) {
      await destroy();
      throw Failure.is(error, 'identity')
        ? error
        : Failure.of('connect', 'server identity could not be verified', { to: server.instance }, error);
    }
    const isOpen = !phase.is('closed') && (group.proof !== undefined || use.startIdle());
    if (!isOpen) {
      await destroy();
      throw Failure.of('connect', 'connection not reusable after identity verification');
    }
    phase.transitionTo('idle');
    return {
      server,
      state: () => phase.state,
      mayCarry: (isCorrelated) => use.mayCarry(isCorrelated),
      destroy,
      onClose: (listener) => void use.closeListeners.push(listener),
      run(request, { isCorrelated, maySend, signal: exchangeSignal }) {
        if (!phase.is('idle') || socket.destroyed)
          return Promise.resolve({
            kind: 'failure',
            isSent: false,
            cause: Failure.of('connect', `connection is ${phase.state}`),
          });
        use.begin(isCorrelated);
        return Exchange.run(transport, request, {
          maySend,
          signal: exchangeSignal,
          onHead: use.onHead,
          onEnd: use.onEnd,
        });
      },
      release() {
        if (!phase.is('busy')) return;
        if (use.startIdle()) phase.transitionTo('idle');
        else void destroy();
      },
    };
  },
};
