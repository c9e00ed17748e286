/**
 * Responses of HTTP servers that their connection knows of: each is registered when its request arrives, and asks when its head is
 * written whether the connection ends with it. These include what Node.js answers of its own accord.
 */
import { type IncomingMessage, ServerResponse } from 'node:http';
import { ClientConnection } from './client-connection.js';

/** What Node.js knows of a response and does not declare. */
type Internals = {
  /** Whether the connection ends with the response. */
  readonly _last: boolean;
  readonly _hasBody: boolean;
  readonly _contentLength: number | null;
};

/** A response to a client, for the options of a server. */
export class ClientResponse<R extends IncomingMessage = IncomingMessage> extends ServerResponse<R> {
  private hasFraming = false;

  constructor(...args: ConstructorParameters<typeof ServerResponse<R>>) {
    super(...args);
    ClientConnection.of(this.req.socket).add(this);
  }

  /** Whether the end of the body is told by more than the end of the connection. */
  get isDelimited(): boolean {
    return this.hasFraming;
  }

  override writeHead(...args: unknown[]): this {
    const connection = ClientConnection.of(this.req.socket);
    if (connection.endsWith(this)) this.shouldKeepAlive = false;
    super.writeHead(...(args as Parameters<ServerResponse['writeHead']>));
    const { _last: isLast, _hasBody: hasBody, _contentLength: length } = this as unknown as Internals;
    this.hasFraming = this.chunkedEncoding || !hasBody || length !== null;
    if (isLast) connection.noteEnd(this);
    return this;
  }
}
