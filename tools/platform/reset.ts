/**
 * Ends a connection by a TCP reset. A connection that is already being shut down is only destroyed: libuv refuses to reset
 * it, Node.js then keeps its handle forever, and the process spins when it ends.
 */
import type { Socket } from 'node:net';

/** Resets connections. */
export const Reset = {
  of(socket: Socket): void {
    if (socket.writableEnded || socket.destroyed) socket.destroy();
    else socket.resetAndDestroy();
  },
};
