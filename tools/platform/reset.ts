// Ends a connection by a reset. One that is being shut down already is only destroyed: libuv refuses to reset it,
// Node.js then keeps its handle for ever, and the process spins at its end.
import type { Socket } from 'node:net';

export const Reset = {
  of(socket: Socket): void {
    if (socket.writableEnded || socket.destroyed) socket.destroy();
    else socket.resetAndDestroy();
  },
};
