/** Counts what waits to be sent over a link against a memory budget, once that is more than a little. */
import type { Socket } from 'node:net';
import type { MemoryBudget } from '../overload/memory-budget.js';

/** The unsent bytes of one link. */
export type UnsentBytes = {
  /** Counts what was written; false if there is no room for it. */
  readonly isRoom: () => boolean;
  readonly release: () => void;
};

/** Waiting bytes from which on they are counted. */
const countedBytes = 64 * 1024;

/** Creates counts. */
export const UnsentBytes = {
  /** `shed` closes the link, to make room for others. */
  of(socket: Socket, memory: MemoryBudget | undefined, shed: () => void): UnsentBytes {
    let holding: MemoryBudget.Holding | undefined;
    let counted = 0;
    return {
      isRoom() {
        const added = socket.writableLength - counted;
        if (!memory || socket.writableLength < countedBytes || added <= 0) return true;
        holding ??= memory.hold(shed);
        counted += added;
        return holding.grow(added);
      },
      release() {
        holding?.release();
        holding = undefined;
        counted = 0;
      },
    };
  },
};
