/** Reads request bodies into memory, within a size limit, a deadline and the memory budget of the process. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { Instant } from '../common/instant.js';
import { Timer } from '../common/timer.js';
import { ByteAssembler } from './byte-assembler.js';
import type { MemoryBudget } from './memory-budget.js';
import { ReadPacer } from './read-pacer.js';

/** Reads request bodies. */
export type BodyReader = {
  /** Reads a whole body, which is counted until its response is closed. */
  readonly read: (
    incoming: IncomingMessage,
    outgoing: ServerResponse,
    options: BodyReader.Options,
  ) => Promise<Buffer | BodyReader.Failure>;
};

export declare namespace BodyReader {
  type Options = { readonly maxBytes: number; readonly until: Instant };
  /** Too long for its limit or for the process, too late, left by its client, or shed to make room for others. */
  type Failure = 'long' | 'late' | 'left' | 'shed';
}

/** Creates body readers. */
export const BodyReader = {
  of(budget: MemoryBudget): BodyReader {
    const pacer = ReadPacer.of();
    return {
      read: (incoming, outgoing, { maxBytes, until }) =>
        new Promise((resolve) => {
          if (Number(incoming.headers['content-length'] ?? 0) > maxBytes) return resolve('long');
          let isFinished = false;
          const finish = (result: Buffer | BodyReader.Failure) => {
            if (isFinished) return;
            isFinished = true;
            late.stop();
            incoming.removeListener('data', onData);
            if (typeof result !== 'string') holding.settle();
            else {
              incoming.pause();
              // The request lives as long as its connection, which may linger.
              assembler.clear();
              holding.release();
            }
            resolve(result);
          };
          const holding = budget.hold(() => finish('shed'));
          const assembler = ByteAssembler.of(holding.grow.bind(holding));
          const onData = (chunk: Buffer) => {
            pacer.note(incoming, chunk.length);
            if (assembler.byteLength() + chunk.length > maxBytes) finish('long');
            else if (!assembler.add(chunk)) finish(budget.canFit(assembler.byteLength()) ? 'shed' : 'long');
          };
          const late = Timer.after(Instant.remaining(until), () => finish('late'));
          outgoing.once('close', () => holding.release());
          incoming.on('data', onData);
          incoming.once('end', () => finish(assembler.join()));
          incoming.once('close', () => finish('left'));
        }),
    };
  },
};
