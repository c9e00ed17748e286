/**
 * The connections of the client port, each with the limits that it took when it was opened: its parser keeps the header size limit,
 * and its timer the idle timeout. When these limits change, connections opened under others are finished.
 */
import type { Server } from 'node:http';
import type { Socket } from 'node:net';
import { ClientConnection } from '../overload/client-connection.js';

/** The open connections. */
export type ClientConnections = {
  /** Announces the close with the next response of each connection, also of those opened later. */
  readonly announceEnd: () => void;
  /** Applies new limits. */
  readonly setLimits: (limits: ClientConnections.Limits) => void;
};

/** Limits that a connection keeps from its opening. */
export declare namespace ClientConnections {
  /** In bytes and milliseconds. */
  type Limits = { readonly headerBytes: number; readonly idleMs: number };
}

const isSame = (a: ClientConnections.Limits, b: ClientConnections.Limits): boolean =>
  a.headerBytes === b.headerBytes && a.idleMs === b.idleMs;

class Register implements ClientConnections {
  private readonly limitsOf = new Map<Socket, ClientConnections.Limits>();
  private isEnding = false;

  constructor(private limits: ClientConnections.Limits) {}

  readonly attach = (server: Server): void => {
    server.prependListener('connection', this.add);
    server.on('timeout', this.finish);
    // The HTTP server has its own idea of rest, and ends what it closes in order.
    server.closeIdleConnections = this.finishUsed;
    server.closeAllConnections = this.abortAll;
  };

  readonly announceEnd = (): void => {
    this.isEnding = true;
    for (const connection of this.connections()) connection.announceEnd();
  };

  readonly setLimits = (next: ClientConnections.Limits): void => {
    if (isSame(this.limits, next)) return;
    this.limits = next;
    for (const [socket, limits] of this.limitsOf) if (!isSame(limits, next)) this.finish(socket);
  };

  private readonly add = (socket: Socket): void => {
    const connection = ClientConnection.of(socket);
    this.limitsOf.set(socket, this.limits);
    socket.once('close', () => this.limitsOf.delete(socket));
    if (this.isEnding) connection.announceEnd();
  };

  /** Without it, the HTTP server closes a connection that has rested for long, whatever has arrived meanwhile. */
  private readonly finish = (socket: Socket): void => ClientConnection.of(socket).finish();

  private connections(): readonly ClientConnection[] {
    return [...this.limitsOf.keys()].map(ClientConnection.of);
  }

  /** One that was never used has a client whose first request may be on its way. */
  private readonly finishUsed = (): void => {
    for (const connection of this.connections()) if (connection.isUsed()) connection.finish();
  };

  private readonly abortAll = (): void => {
    for (const connection of this.connections()) connection.abort();
  };
}

/** Registers connections. */
export const ClientConnections = {
  /** Registers the connections of a server, which closes them as they decide from now on. */
  attach(server: Server, limits: ClientConnections.Limits): ClientConnections {
    const register = new Register(limits);
    register.attach(server);
    return register;
  },
};
