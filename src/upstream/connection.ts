/**
 * One connection to one instance: opened, then proved, then used for one exchange at a time. Its socket is opened once,
 * so a connection that has ended can never quietly become a new one to whoever answers at that address now.
 */
import { connect, type Socket } from 'node:net';
import { Address } from '../kinds/address.js';
import { Failure } from '../kinds/failure.js';
import { Phase } from '../kinds/phase.js';
import { Timer } from '../kinds/timer.js';
import type { Compiled } from '../manifest/compiled.js';
import { Exchange } from './exchange.js';
import { Identity } from './identity.js';

/** A connection to a server. */
export type Connection = {
  readonly server: Compiled.Server;
  readonly state: () => Connection.State;
  /** Sends the request; without a tie between it and its answer the connection carries no other after it. */
  readonly run: (
    request: Exchange.Request,
    terms: Pick<Exchange.Terms, 'maySend' | 'signal'> & { readonly isTied: boolean },
  ) => Promise<Exchange>;
  /** Whether it may carry a request that nothing ties to its answer, or else any. */
  readonly mayCarry: (isTied: boolean) => boolean;
  readonly release: () => void;
  readonly destroy: () => Promise<void>;
  readonly onClose: (see: () => void) => void;
};

export declare namespace Connection {
  type State = 'proving' | 'idle' | 'busy' | 'closed';
}

const longestIdentity = 1024 * 1024;
/** How long a connection rests before it is ended, in milliseconds, where its server doesn't say. */
const longestRest = 30_000;
/** A connection is ended this long before its server would end it, in milliseconds. */
const restMargin = 2000;

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

/**
 * Whether the server has ended the connection in order. A reset that comes with the last bytes looks like an orderly
 * end; writing nothing fails then.
 */
const watchEnd = (socket: Socket): (() => boolean) => {
  socket.once('end', () => {
    socket.write(Buffer.alloc(0));
    setImmediate(() => socket.destroy());
  });
  return () => socket.readableEnded && socket.errored === null;
};

/** How long a connection may rest after an answer with these headers, in milliseconds. */
const restOf = ({ 'keep-alive': told }: Exchange.Kept['headers']): number => {
  const seconds = /timeout=\s*(\d+)/i.exec(String(told ?? ''))?.[1];
  return seconds === undefined ? longestRest : Math.min(longestRest, Number(seconds) * 1000 - restMargin);
};

const prove = async (
  line: Exchange.Line,
  server: Compiled.Server,
  group: Compiled.Group,
  signal: AbortSignal,
  onEnd: (kept: Exchange.Kept) => void,
) => {
  const response = await Exchange.run(
    line,
    { method: 'GET', path: group.identity.path, headers: { accept: 'application/json' }, body: null },
    { maySend: () => true, signal, onEnd },
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
  Identity.verify({ headers: response.headers, body }, server, group);
};

type State = Connection.State;

/** How a connection is used: one exchange at a time, and a rest between two. */
class Use {
  readonly phase: Phase<State>;
  readonly watchers: (() => void)[] = [];
  private isWhole: (() => boolean) | undefined;
  private kept: Exchange.Kept | undefined;
  private rest: Timer | undefined;
  private hasCarried = false;
  private mayCarryMore = true;

  constructor(private readonly socket: Socket) {
    this.phase = Phase.of<State>(
      'proving',
      { proving: ['idle', 'closed'], idle: ['busy', 'closed'], busy: ['idle', 'closed'], closed: [] },
      (_from, to) => {
        if (to === 'closed') this.end();
      },
    );
    // Registered before any exchange listens, so that what ends an answer is not taken for more than it.
    socket.on('data', () => {
      if (this.isSurplus()) socket.destroy();
    });
  }

  private isSurplus(): boolean {
    if (this.phase.is('idle')) return true;
    return this.isWhole?.() === true;
  }

  private end(): void {
    this.rest?.stop();
    for (const see of this.watchers) see();
  }

  close(): void {
    if (!this.phase.is('closed')) this.phase.become('closed');
  }

  mayCarry(isTied: boolean): boolean {
    return this.mayCarryMore && (isTied || !this.hasCarried);
  }

  begin(isTied: boolean): void {
    this.phase.become('busy');
    this.isWhole = undefined;
    this.kept = undefined;
    this.hasCarried = true;
    this.mayCarryMore = isTied;
  }

  readonly onHead = (isWhole: () => boolean): void => {
    this.isWhole = isWhole;
  };

  readonly onEnd = (kept: Exchange.Kept): void => {
    this.kept = kept;
  };

  /** Whether another exchange may follow the last one, for the time that the connection rests. */
  settle(): boolean {
    const { kept, socket } = this;
    // After an early answer the server may never read the rest, and whatever came next would wait behind it.
    if (!kept?.isReusable || socket.destroyed || socket.writableLength > 0) return false;
    const span = restOf(kept.headers);
    if (span <= 0) return false;
    this.isWhole = undefined;
    this.rest?.stop();
    this.rest = Timer.after(span, () => {
      if (this.phase.is('idle')) socket.destroy();
    });
    return true;
  }
}

export const Connection = {
  async open(server: Compiled.Server, group: Compiled.Group, signal: AbortSignal): Promise<Connection> {
    const socket = await openSocket(server, signal);
    const line = Exchange.line(socket, Address.text(server.address), watchEnd(socket));
    const use = new Use(socket);
    const { phase } = use;
    const gone = new Promise<void>((resolve) => {
      socket.once('close', () => {
        use.close();
        resolve();
      });
    });
    const destroy = () => {
      use.close();
      socket.destroy();
      return gone;
    };
    try {
      if (!group.proof) await prove(line, server, group, signal, use.onEnd);
    } catch (error) {
      await destroy();
      throw Failure.is(error, 'identity')
        ? error
        : Failure.of('connect', 'identity was not proved', { to: server.instance }, error);
    }
    const isOpen = !phase.is('closed') && (group.proof !== undefined || use.settle());
    if (!isOpen) {
      await destroy();
      throw Failure.of('connect', 'the connection has ended');
    }
    phase.become('idle');
    return {
      server,
      state: () => phase.state,
      mayCarry: (isTied) => use.mayCarry(isTied),
      destroy,
      onClose: (see) => void use.watchers.push(see),
      run(request, { isTied, maySend, signal: cut }) {
        if (!phase.is('idle') || socket.destroyed)
          return Promise.resolve({
            kind: 'failure',
            isSent: false,
            cause: Failure.of('connect', `the connection is ${phase.state}`),
          });
        use.begin(isTied);
        return Exchange.run(line, request, { maySend, signal: cut, onHead: use.onHead, onEnd: use.onEnd });
      },
      release() {
        if (!phase.is('busy')) return;
        if (use.settle()) phase.become('idle');
        else void destroy();
      },
    };
  },
};
