/**
 * Responses whose bytes count against the memory budget until their client has read them. A response for which there is no room
 * is not sent: its connection is closed.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { ClientConnection } from './client-connection.js';
import { ClientResponse } from './client-response.js';
import type { MemoryBudget } from './memory-budget.js';

/** A class of responses, for the options of a server. */
export type HeldResponse = typeof ClientResponse;

/** Responses up to this size, in bytes, are not counted. */
const uncountedBytes = 1024;

const byteLength = (chunk: unknown): number => {
  if (typeof chunk === 'string') return Buffer.byteLength(chunk);
  return chunk instanceof Uint8Array ? chunk.byteLength : 0;
};

/** Creates classes of responses. */
export const HeldResponse = {
  of: (memory: MemoryBudget): HeldResponse =>
    class<R extends IncomingMessage = IncomingMessage> extends ClientResponse<R> {
      private holding: MemoryBudget.Holding | undefined;
      private readonly abort = () => ClientConnection.of(this.req.socket).abort();

      override write(...args: unknown[]): boolean {
        return this.isRoomFor(args[0]) && super.write(...(args as Parameters<ServerResponse['write']>));
      }

      override end(...args: unknown[]): this {
        return this.isRoomFor(args[0]) ? super.end(...(args as [])) : this;
      }

      private isRoomFor(chunk: unknown): boolean {
        const bytes = byteLength(chunk);
        if (bytes <= uncountedBytes) return true;
        if (!this.holding) {
          const holding = memory.hold(this.abort);
          this.holding = holding;
          this.req.socket.once('close', () => holding.release());
          this.once('close', () => holding.release());
        }
        if (this.holding.grow(bytes)) return true;
        this.abort();
        return false;
      }
    },
};
