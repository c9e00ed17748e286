/**
 * Takes turns among connections whose bodies arrive in very small chunks. Each chunk costs a call of the parser, so one read
 * from such a connection may take as long as thousands of requests. A connection whose last read held many small chunks is
 * paused, and only one of those is read in each turn of the event loop.
 */
import type { IncomingMessage } from 'node:http';

/** Paces the reading of bodies. */
export type ReadPacer = {
  /** Registers a chunk; the connection is paused until its turn once it sends many small ones. */
  readonly note: (incoming: IncomingMessage, chunkBytes: number) => void;
};

/** A chunk below this size, in bytes, counts as small. */
const smallChunkBytes = 256;
/** Small chunks in one turn after which a connection is paused. */
const smallChunksPerTurn = 64;

/** Creates pacers. */
export const ReadPacer = {
  of(): ReadPacer {
    const waiting: IncomingMessage[] = [];
    const smallChunks = new Map<IncomingMessage, number>();
    let isScheduled = false;
    const turn = () => {
      isScheduled = false;
      smallChunks.clear();
      const next = waiting.shift();
      if (next && !next.socket.destroyed) next.socket.resume();
      if (waiting.length > 0) schedule();
    };
    const schedule = () => {
      if (isScheduled) return;
      isScheduled = true;
      setImmediate(turn);
    };
    const pause = (incoming: IncomingMessage) => {
      // Otherwise the stream would resume the connection by itself as soon as its data was taken.
      incoming._read = () => {};
      incoming.socket.pause();
      waiting.push(incoming);
      schedule();
    };
    return {
      note(incoming, chunkBytes) {
        if (chunkBytes >= smallChunkBytes) return;
        const count = (smallChunks.get(incoming) ?? 0) + 1;
        smallChunks.set(incoming, count);
        if (count === smallChunksPerTurn) pause(incoming);
        else if (count === 1) schedule();
      },
    };
  },
};
