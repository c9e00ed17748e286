/**
 * Answers what is not HTTP, heads that are too long, and heads that do not come in time. Node.js answers these of its own accord
 * and closes at once, so that a client which is still sending may see a reset in place of the answer. Here the connection lingers.
 *
 * While another request of the connection is under way, nothing is answered: its client would take it for that request's answer.
 */
import { type IncomingMessage, type Server, type ServerResponse, STATUS_CODES } from 'node:http';
import type { Socket } from 'node:net';
import type { Duplex } from 'node:stream';
import type { ConnectionLimiter } from './connection-limiter.js';
import { LingeringClose } from './lingering-close.js';

/** Answers malformed requests. */
export type MalformedRequests = {
  readonly attach: (server: Server) => void;
  /** How many were answered or cut off. */
  readonly count: () => number;
};

type Exchange = { readonly incoming: IncomingMessage; readonly outgoing: ServerResponse };

const badRequest = 400;
const statuses: Readonly<Record<string, number>> = {
  ERR_HTTP_REQUEST_TIMEOUT: 408,
  HPE_CHUNK_EXTENSIONS_OVERFLOW: 413,
  HPE_HEADER_OVERFLOW: 431,
};

const answerTo = ({ code = '' }: NodeJS.ErrnoException): string => {
  const status = statuses[code] ?? badRequest;
  return `HTTP/1.1 ${status} ${STATUS_CODES[status]}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`;
};

class Answerer implements MalformedRequests {
  /** The newest exchange of each connection. */
  private readonly newest = new WeakMap<Socket, Exchange>();
  private readonly answered = new WeakSet<Duplex>();
  private total = 0;

  constructor(private readonly connections: Pick<ConnectionLimiter, 'activeRequests'>) {}

  readonly count = () => this.total;

  readonly attach = (server: Server): void => {
    server.prependListener('request', this.begin);
    server.on('clientError', this.handleError);
  };

  private readonly begin = (incoming: IncomingMessage, outgoing: ServerResponse): void => {
    this.newest.set(incoming.socket, { incoming, outgoing });
  };

  private readonly handleError = (error: NodeJS.ErrnoException, socket: Duplex): void => {
    if (this.answered.has(socket)) return;
    if (!socket.writable || error.code === 'ECONNRESET') {
      socket.destroy();
      return;
    }
    this.answered.add(socket);
    this.total += 1;
    this.answer(error, socket as Socket);
  };

  private answer(error: Error, socket: Socket): void {
    const active = this.connections.activeRequests(socket);
    if (active === 0) {
      LingeringClose.end(socket, answerTo(error));
      return;
    }
    if (active === 1 && this.isBodyMalformed(socket)) socket.write(answerTo(error));
    socket.destroy();
  }

  /** Whether the newest request is still being received and has no answer. */
  private isBodyMalformed(socket: Socket): boolean {
    const { incoming, outgoing } = this.newest.get(socket)!;
    return !incoming.complete && !outgoing.headersSent;
  }
}

/** Creates answerers. */
export const MalformedRequests = {
  of: (connections: Pick<ConnectionLimiter, 'activeRequests'>): MalformedRequests =>
    new Answerer(connections),
};
