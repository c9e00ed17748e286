/**
 * Splits a byte stream into frames, each with a length prefix of four bytes. The bytes of a frame that has not arrived completely
 * count against a memory budget.
 */
import { Failure } from '../common/failure.js';
import { ByteAssembler } from '../overload/byte-assembler.js';
import type { MemoryBudget } from '../overload/memory-budget.js';
import { Frame } from './frame.js';

/** Splits one byte stream. */
export type FrameReader = {
  /** The frames that the chunk completes, without their length prefix. */
  readonly push: (chunk: Buffer) => Generator<Buffer, void, void>;
  /** Bytes of a frame that has not arrived completely. */
  readonly partialLength: () => number;
  readonly release: () => void;
};

const lengthBytes = 4;

class Reader implements FrameReader {
  /** Bytes that belong to a frame which has not arrived completely. */
  private partial: ByteAssembler | undefined;
  /** The length of the partial frame with its prefix; until that is known, of the prefix. */
  private neededBytes = 0;
  private holding: MemoryBudget.Holding | undefined;

  constructor(
    private readonly memory: MemoryBudget | undefined,
    private readonly shed: () => void,
  ) {}

  *push(chunk: Buffer): Generator<Buffer, void, void> {
    let bytes = this.takeUp(chunk);
    while (bytes !== undefined && bytes.length >= lengthBytes) {
      const length = bytes.readUInt32BE(0);
      if (length > Frame.maxBytes) throw Failure.of('frame', 'frame exceeds the size limit', { length });
      if (bytes.length < lengthBytes + length) break;
      yield bytes.subarray(lengthBytes, lengthBytes + length);
      bytes = bytes.subarray(lengthBytes + length);
    }
    if (bytes !== undefined && bytes.length > 0) this.keep(bytes);
  }

  partialLength(): number {
    return this.partial?.byteLength() ?? 0;
  }

  release(): void {
    this.holding?.release();
  }

  /** The bytes from the start of a frame on, or undefined while that frame is not complete. */
  private takeUp(chunk: Buffer): Buffer | undefined {
    if (!this.partial) return chunk;
    this.keep(chunk);
    if (this.partial.byteLength() < this.neededBytes) return undefined;
    const bytes = this.partial.join();
    this.partial = undefined;
    this.neededBytes = 0;
    this.release();
    return bytes;
  }

  private keep(bytes: Buffer): void {
    if (!this.partial) {
      this.holding = this.memory?.hold(this.shed);
      this.partial = ByteAssembler.of((count) => this.holding?.grow(count) ?? true);
      this.neededBytes = bytes.length < lengthBytes ? lengthBytes : lengthBytes + bytes.readUInt32BE(0);
    }
    const isFirst = this.partial.byteLength() === 0;
    // The rest of a chunk is copied, since it would keep all of that chunk.
    if (!this.partial.add(isFirst ? Buffer.from(bytes) : bytes))
      throw Failure.of('frame', 'no memory for a frame');
  }
}

/** Creates readers. */
export const FrameReader = {
  /** `shed` is called when the memory of a partial frame is wanted for another. */
  of: (memory: MemoryBudget | undefined, shed: () => void): FrameReader => new Reader(memory, shed),
};
