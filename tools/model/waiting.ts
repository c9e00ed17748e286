// States that wait to be explored, as bytes one after the other in large buffers outside the heap.

/** A queue that is filled, then read once from its start. */
export type Waiting = {
  readonly put: (state: number, bytes: Uint8Array) => void;
  readonly drain: (take: (state: number, bytes: Uint8Array) => boolean) => void;
  readonly size: () => number;
};

const chunkLength = 8 * 1024 * 1024;
const head = 6;

export const Waiting = {
  of(): Waiting {
    let chunks: { readonly buffer: Buffer; used: number }[] = [];
    let size = 0;
    const lastFor = (length: number) => {
      const last = chunks.at(-1);
      if (last && last.used + length <= chunkLength) return last;
      const made = { buffer: Buffer.allocUnsafeSlow(chunkLength), used: 0 };
      chunks.push(made);
      return made;
    };
    return {
      size: () => size,
      put(state, bytes) {
        const chunk = lastFor(head + bytes.length);
        chunk.buffer.writeUInt32LE(state, chunk.used);
        chunk.buffer.writeUInt16LE(bytes.length, chunk.used + 4);
        chunk.buffer.set(bytes, chunk.used + head);
        chunk.used += head + bytes.length;
        size += 1;
      },
      drain(take) {
        while (chunks.length > 0) {
          const { buffer, used } = chunks.shift()!;
          for (let at = 0; at < used; ) {
            const start = at + head;
            const length = buffer.readUInt16LE(at + 4);
            if (!take(buffer.readUInt32LE(at), buffer.subarray(start, start + length))) return;
            at = start + length;
          }
        }
        chunks = [];
      },
    };
  },
};
