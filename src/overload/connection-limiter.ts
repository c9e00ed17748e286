/**
 * Bounds the connections that clients keep open at all HTTP ports of a process. When the bound is reached, the connection that
 * has rested for longest is closed in favour of a new one; if none rests, a request whose body does not arrive to its end, or a
 * response that is not read, gives way. A client that sends many requests without waiting for answers is disconnected once those
 * that were read have been answered.
 */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { Timer } from '../common/timer.js';
import { ClientConnection } from './client-connection.js';

/** Bounds connections. */
export type ConnectionLimiter = {
  /** Counts the connections of a server. */
  readonly attach: (server: Server) => void;
  readonly openCount: () => number;
  /** How many connections were closed because of the bounds. */
  readonly closedCount: () => number;
};

export declare namespace ConnectionLimiter {
  type Options = {
    readonly maxConnections: number;
    /** Sheds the oldest body or response that is not complete; false if there is none. */
    readonly shedOldest: () => boolean;
  };
}

type Connection = {
  activeRequests: number;
  /** Bytes handed to the system when they were last looked at, and for how many looks they have stood still. */
  sentBytes: number;
  stalledLooks: number;
};

/** Unanswered requests on one connection above which it is closed. */
const maxPipelined = 32;
/** Requests that wait behind another on their connection, over all of them, above which such a connection is closed. */
const maxWaiting = 1024;
/** How often connections are looked at whose client does not read, in milliseconds. */
const stallCheckMs = 1000;
/** Looks in a row without progress after which such a connection is closed. */
const maxStalledLooks = 30;

/** Connections above the bound that are being closed because their request was shed. */
const maxShedding = 64;

/** The parser of an HTTP connection; `onIncoming` is called for each head and says how to go on. */
type Parser = { onIncoming?: () => number };

/** Tells a parser that what follows is not HTTP. */
const notHttp = 2;

/**
 * Stops the parser of a connection in the middle of what it was given: it would go on making requests of all of that.
 */
const stopParser = (socket: Socket & { readonly parser?: Parser | null }): void => {
  if (socket.parser) socket.parser.onIncoming = () => notHttp;
};

class Limiter implements ConnectionLimiter {
  /** In the order in which they came to rest. */
  private readonly connections = new Map<Socket, Connection>();
  private closed = 0;
  private waiting = 0;
  private readonly servers = new Set<Server>();
  private timer: Timer | undefined;

  constructor(private readonly options: ConnectionLimiter.Options) {}

  readonly openCount = () => this.connections.size;
  readonly closedCount = () => this.closed;

  readonly attach = (server: Server): void => {
    server.prependListener('connection', this.add);
    server.prependListener('request', this.begin);
    this.servers.add(server);
    this.timer ??= Timer.every(stallCheckMs, () => this.closeStalled());
    server.once('close', () => {
      this.servers.delete(server);
      if (this.servers.size > 0) return;
      this.timer?.stop();
      this.timer = undefined;
    });
  };

  private readonly add = (socket: Socket): void => {
    if (this.connections.size >= this.options.maxConnections && !this.makeRoom()) {
      this.close(socket);
      return;
    }
    const connection = { activeRequests: 0, sentBytes: 0, stalledLooks: 0 };
    this.connections.set(socket, connection);
    socket.once('close', () => this.forget(socket, connection));
  };

  private readonly begin = ({ socket }: IncomingMessage, outgoing: ServerResponse): void => {
    const connection = this.connections.get(socket);
    if (!connection) return;
    connection.activeRequests += 1;
    if (connection.activeRequests > 1) this.waiting += 1;
    const isFlood =
      connection.activeRequests > maxPipelined ||
      (connection.activeRequests > 1 && this.waiting > maxWaiting);
    if (isFlood) this.stopReading(socket);
    outgoing.once('close', () => this.rest(socket, connection));
  };

  private forget(socket: Socket, { activeRequests }: Connection): void {
    if (this.connections.delete(socket) && activeRequests > 1) this.waiting -= activeRequests - 1;
  }

  private rest(socket: Socket, connection: Connection): void {
    if (connection.activeRequests > 1 && this.connections.has(socket)) this.waiting -= 1;
    connection.activeRequests -= 1;
    if (connection.activeRequests > 0 || !this.connections.delete(socket)) return;
    this.connections.set(socket, connection);
  }

  private makeRoom(): boolean {
    for (const [socket, connection] of this.connections)
      if (connection.activeRequests === 0) {
        this.evict(socket, connection);
        return true;
      }
    if (this.closeMostStalled()) return true;
    return this.connections.size < this.options.maxConnections + maxShedding && this.options.shedOldest();
  }

  private closeMostStalled(): boolean {
    let most: readonly [Socket, Connection] | undefined;
    for (const entry of this.connections)
      if (entry[1].stalledLooks > (most?.[1].stalledLooks ?? 0)) most = entry;
    if (most) this.evict(...most);
    return most !== undefined;
  }

  private closeStalled(): void {
    for (const [socket, connection] of this.connections) {
      const sentBytes = socket.bytesWritten - socket.writableLength;
      const isStalled = socket.writableLength > 0 && sentBytes === connection.sentBytes;
      connection.stalledLooks = isStalled ? connection.stalledLooks + 1 : 0;
      connection.sentBytes = sentBytes;
      if (connection.stalledLooks >= maxStalledLooks) this.close(socket);
    }
  }

  /** Closes a connection that no longer counts, so that the next newcomer makes room of its own. */
  private evict(socket: Socket, connection: Connection): void {
    this.forget(socket, connection);
    this.close(socket);
  }

  /** Takes no further request of a connection, which ends once those that were read have been answered. */
  private stopReading(socket: Socket): void {
    this.closed += 1;
    stopParser(socket);
    ClientConnection.of(socket).finish();
    socket.pause();
  }

  private close(socket: Socket): void {
    this.closed += 1;
    ClientConnection.of(socket).abort();
  }
}

/** Creates limiters. */
export const ConnectionLimiter = {
  of: (options: ConnectionLimiter.Options): ConnectionLimiter => new Limiter(options),
};
