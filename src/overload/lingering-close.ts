/**
 * Ends a connection whose client may still be sending. Closing it would reset it at the next byte that comes, and the client might
 * never read the response. So only the sending side is closed at first; what still comes is discarded, within a bound of bytes,
 * and of time once all responses are handed to the system (RFC 9112, section 9.6).
 */
import type { Socket } from 'node:net';
import { Timer } from '../common/timer.js';

/** Ends connections in order. */
export type LingeringClose = {
  /** Replaces the way in which the HTTP server ends a connection after its last response. */
  readonly prepare: (socket: Socket) => void;
  /** Sends the last bytes, if there are any, and ends the connection. */
  readonly end: (socket: Socket, lastBytes?: string) => void;
  /** How many connections were ended so, and how many bytes of them were discarded. */
  readonly count: () => number;
  readonly discardedBytes: () => number;
};

/** How long a client may go on sending after its last response, in milliseconds. */
const maxLingerMs = 2000;
/** How many bytes of it are discarded before the connection is closed. */
const maxDiscardedBytes = 16 * 1024 * 1024;

let connectionTotal = 0;
let discardedTotal = 0;

const linger = (socket: Socket, lastBytes = ''): void => {
  connectionTotal += 1;
  let discarded = 0;
  const limitTime = () => {
    const timer = Timer.after(maxLingerMs, () => socket.destroy());
    socket.once('close', timer.stop);
  };
  socket.once('finish', limitTime);
  socket.once('end', () => socket.destroy());
  // The bytes no longer pass through the parser of HTTP.
  socket.removeAllListeners('data');
  socket.on('data', (bytes: Buffer) => {
    discarded += bytes.length;
    discardedTotal += bytes.length;
    if (discarded > maxDiscardedBytes) socket.destroy();
  });
  socket.resume();
  socket.end(lastBytes);
};

/** Ends connections in order. */
export const LingeringClose: LingeringClose = {
  prepare(socket) {
    socket.destroySoon = () => {
      if (!socket.destroyed) linger(socket);
    };
  },
  end: (socket, lastBytes) => linger(socket, lastBytes),
  count: () => connectionTotal,
  discardedBytes: () => discardedTotal,
};
