/**
 * One connection of a client at an HTTP port, and the only place that decides how it ends. It knows the responses that it owes, in
 * the order of their requests. A connection is closed once they are all complete; a request that arrives after the response that
 * announces the close, or on a connection that is being closed for what its client sent, is ignored and never handled. Where a
 * connection must end at once, a response that would look complete by it ends with a reset.
 */
import type { ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { LingeringClose } from './lingering-close.js';
import { Reset } from './reset.js';

/** A connection of a client. */
export type ClientConnection = {
  /** Registers a response when its request has arrived. */
  readonly add: (response: ClientConnection.Response) => void;
  /** Handles the request of a response once all earlier responses are complete, unless it was ignored. */
  readonly takeTurn: (response: ClientConnection.Response, handle: () => void) => void;
  /** Whether the response is to announce the close, asked when its head is written. */
  readonly endsWith: (response: ClientConnection.Response) => boolean;
  /** Registers that the response has announced the close; what was sent behind its request is ignored. */
  readonly noteEnd: (response: ClientConnection.Response) => void;
  /** Announces the close with the next response that can be the last. */
  readonly announceEnd: () => void;
  /** Closes the connection as soon as it owes nothing, and announces this where it can. */
  readonly finish: () => void;
  /** Answers bytes that are no request, after the responses owed; returns whether these are the first such bytes. */
  readonly refuse: (answer: string) => boolean;
  /** Discards what the client still sends, once the response is complete. */
  readonly lingerAtEnd: () => void;
  /** Closes the connection at once. */
  readonly abort: () => void;
  /** Whether a request has arrived on it. */
  readonly isUsed: () => boolean;
};

export declare namespace ClientConnection {
  /** A response that tells whether its client can see that it is truncated when the connection ends. */
  type Response = ServerResponse & { readonly isDelimited: boolean };
}

type Response = ClientConnection.Response;

/** How many bytes may follow those that are no request, while responses are owed. */
const maxBytesAfterRefusal = 16 * 1024 * 1024;

/** Waits for a whole turn of the event loop, in which requests that have arrived are read. */
const afterNextTurn = (callback: () => void): void => {
  setImmediate(() => setImmediate(callback));
};

class Connection implements ClientConnection {
  /** The responses owed, in the order of their requests. */
  private readonly owed: Response[] = [];
  /** Requests that wait for the responses before theirs. */
  private readonly waiting = new Map<Response, () => void>();
  private hasBeenUsed = false;
  private announcesEnd = false;
  private isFinishing = false;
  /** Whether a response has announced the close. */
  private isEndAnnounced = false;
  private refusal: { readonly answer: string; readonly bytesRead: number } | undefined;
  /** Bytes received when the last response was complete; more than that are part of a next request. */
  private bytesAtRest: number;

  constructor(private readonly socket: Socket) {
    this.bytesAtRest = socket.bytesRead;
    socket.once('close', () => setImmediate(this.closeOwed));
  }

  readonly isUsed = (): boolean => this.hasBeenUsed;

  readonly add = (response: Response): void => {
    this.hasBeenUsed = true;
    if (this.isEndAnnounced || this.refusal) return;
    this.owed.push(response);
    response.once('close', () => this.complete(response));
  };

  readonly takeTurn = (response: Response, handle: () => void): void => {
    const position = this.owed.indexOf(response);
    if (position === 0) handle();
    else if (position > 0) this.waiting.set(response, handle);
  };

  readonly endsWith = (response: Response): boolean =>
    this.announcesEnd && !this.refusal && this.owed.at(-1) === response;

  readonly noteEnd = (response: Response): void => {
    this.isEndAnnounced = true;
    this.lingerAtEnd();
    for (const ignored of this.owed.splice(this.owed.indexOf(response) + 1)) this.waiting.delete(ignored);
  };

  readonly announceEnd = (): void => {
    this.announcesEnd = true;
  };

  readonly finish = (): void => {
    this.announcesEnd = true;
    if (this.isFinishing) return;
    this.isFinishing = true;
    afterNextTurn(this.closeIfAtRest);
  };

  readonly refuse = (answer: string): boolean => {
    const { socket, refusal } = this;
    if (refusal && socket.bytesRead - refusal.bytesRead > maxBytesAfterRefusal) this.abort();
    if (refusal || this.isEndAnnounced) return false;
    const newest = this.owed.at(-1);
    if (newest && !newest.req.complete) this.refuseBody(newest, answer);
    else this.refusal = { answer, bytesRead: socket.bytesRead };
    if (this.owed.length === 0) this.rest();
    return true;
  };

  readonly lingerAtEnd = (): void => LingeringClose.prepare(this.socket);

  readonly abort = (): void => {
    const [sending] = this.owed;
    const looksComplete = sending?.headersSent && !sending.writableFinished && !sending.isDelimited;
    if (looksComplete) Reset.now(this.socket);
    else this.socket.destroy();
  };

  /** The body of the newest request turned out to be malformed: its own answer says so, if it has none yet. */
  private refuseBody(newest: Response, answer: string): void {
    if (newest !== this.owed[0]) {
      this.owed.pop();
      this.waiting.delete(newest);
      this.refusal = { answer, bytesRead: this.socket.bytesRead };
      return;
    }
    if (!newest.headersSent) this.socket.write(answer);
    this.abort();
  }

  private complete(response: Response): void {
    const position = this.owed.indexOf(response);
    if (position >= 0) this.owed.splice(position, 1);
    this.waiting.delete(response);
    const [next] = this.owed;
    if (next) this.begin(next);
    else this.rest();
  }

  private begin(response: Response): void {
    const handle = this.waiting.get(response);
    this.waiting.delete(response);
    if (!this.socket.destroyed) handle?.();
  }

  /** Node.js closes only the response that is being sent when its connection closes, and tells nothing to those behind it. */
  private readonly closeOwed = (): void => {
    for (const response of [...this.owed]) {
      response.destroy();
      response.emit('close');
    }
  };

  /** Nothing is owed any more. */
  private rest(): void {
    this.bytesAtRest = this.socket.bytesRead;
    if (this.socket.destroyed || this.isEndAnnounced) return;
    if (this.refusal) LingeringClose.end(this.socket, this.refusal.answer);
    else if (this.isFinishing) this.closeIfAtRest();
  }

  /** Closes the connection without passing on what is read from now on, so that no request can begin. */
  private readonly closeIfAtRest = (): void => {
    const isAtRest = this.owed.length === 0 && this.socket.bytesRead === this.bytesAtRest;
    if (isAtRest && !this.refusal && !this.isEndAnnounced) LingeringClose.end(this.socket);
  };
}

const connections = new WeakMap<Socket, ClientConnection>();

/** Finds connections. */
export const ClientConnection = {
  /** The connection of a socket that an HTTP server has accepted. */
  of(socket: Socket): ClientConnection {
    const known = connections.get(socket);
    if (known) return known;
    const connection = new Connection(socket);
    connections.set(socket, connection);
    return connection;
  },
};
