/**
 * Joins the bytes of a message that arrives in chunks. Small chunks are copied together as they arrive, since each chunk is an
 * object of its own that is far larger than its bytes.
 */

/** The bytes of one message. */
export type ByteAssembler = {
  readonly byteLength: () => number;
  /** Adds a chunk; false if there is no memory for it. */
  readonly add: (chunk: Buffer) => boolean;
  /** All bytes in one buffer. */
  readonly join: () => Buffer;
  /** Gives up all bytes. */
  readonly clear: () => void;
};

/** Chunks below this size, in bytes, are copied together into blocks. */
const smallChunkBytes = 4 * 1024;
/** The size of a block, in bytes. */
const blockBytes = 8 * 1024;

class Assembler implements ByteAssembler {
  private parts: Buffer[] = [];
  private block: Buffer | undefined;
  private filled = 0;
  private length = 0;

  constructor(private readonly reserve: (bytes: number) => boolean) {}

  byteLength(): number {
    return this.length;
  }

  add(chunk: Buffer): boolean {
    this.length += chunk.length;
    if (this.parts.length === 0 && this.block === undefined) return this.keep(chunk);
    return chunk.length < smallChunkBytes ? this.copy(chunk) : this.keep(chunk);
  }

  join(): Buffer {
    this.closeBlock();
    const { parts } = this;
    this.clear();
    return parts.length === 1 ? parts[0]! : Buffer.concat(parts);
  }

  clear(): void {
    this.parts = [];
    this.block = undefined;
    this.filled = 0;
  }

  private keep(chunk: Buffer): boolean {
    if (!this.reserve(chunk.length)) return false;
    this.closeBlock();
    this.parts.push(chunk);
    return true;
  }

  private copy(chunk: Buffer): boolean {
    if (this.block && this.filled + chunk.length > blockBytes) this.closeBlock();
    if (!this.block) {
      if (!this.reserve(blockBytes)) return false;
      this.block = Buffer.allocUnsafeSlow(blockBytes);
    }
    chunk.copy(this.block, this.filled);
    this.filled += chunk.length;
    return true;
  }

  private closeBlock(): void {
    if (this.block) this.parts.push(this.block.subarray(0, this.filled));
    this.block = undefined;
    this.filled = 0;
  }
}

/** Creates assemblers. */
export const ByteAssembler = {
  /** `reserve` is asked before bytes are kept. */
  of: (reserve: (bytes: number) => boolean): ByteAssembler => new Assembler(reserve),
};
