/**
 * Closes a connection with a TCP reset only. The resetAndDestroy method of Node.js first ends the writing side in order,
 * so the peer may see a normal end of stream and take a truncated response for a complete one.
 */
import type { Socket } from 'node:net';

/** Closes connections by reset. */
export const Reset = {
  /** Resets the connection immediately. */
  now: (socket: Socket): void => void Object.assign(socket, { resetAndClosing: true }).destroy(),
};
