/**
 * Answers what is not HTTP, heads that are too long, and heads that do not come in time. Node.js answers these of its own accord
 * and closes at once, so that a client which is still sending may see a reset in place of the answer. Here the connection lingers,
 * and earlier requests of the connection are answered before.
 */
import { type IncomingMessage, type Server, STATUS_CODES } from 'node:http';
import type { Socket } from 'node:net';
import type { Duplex } from 'node:stream';
import { ClientConnection } from './client-connection.js';

/** Answers malformed requests. */
export type MalformedRequests = {
  readonly attach: (server: Server) => void;
  /** How many were answered or cut off. */
  readonly count: () => number;
};

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
  private total = 0;

  readonly count = () => this.total;

  readonly attach = (server: Server): void => {
    server.on('clientError', this.handleError);
    // Without a listener, Node.js closes the connection around earlier requests.
    server.on('connect', this.handleTunnel);
  };

  private readonly handleError = (error: NodeJS.ErrnoException, socket: Duplex): void => {
    const connection = ClientConnection.of(socket as Socket);
    if (!socket.writable || error.code === 'ECONNRESET') connection.abort();
    else if (connection.refuse(answerTo(error))) this.total += 1;
  };

  /** Refuses a request for a tunnel. The HTTP server no longer reads the connection then. */
  private readonly handleTunnel = (_request: IncomingMessage, socket: Duplex): void => {
    const connection = ClientConnection.of(socket as Socket);
    const refuse = () => connection.refuse(answerTo(new Error('a tunnel')));
    socket.on('error', () => connection.abort());
    socket.once('end', () => connection.abort());
    socket.on('data', refuse);
    if (refuse()) this.total += 1;
  };
}

/** Creates answerers. */
export const MalformedRequests = {
  of: (): MalformedRequests => new Answerer(),
};
