/**
 * Cuts lists into chunks. By name, a chunk ends after an entry whose name hashes to a boundary, so that an entry that
 * is added, removed or changed affects only its own chunk, and the order is kept (content-defined chunking). By
 * position is the cut of programs older than this one, where an added entry shifts all chunks after it.
 */

/** Cuts a list. */
export type Chunks = { readonly of: (list: readonly unknown[], cut: Chunks.Cut) => readonly unknown[][] };

/** How a list is cut. */
export declare namespace Chunks {
  type Cut = 'position' | 'name';
}

const meanChunkLength = 8;
const maxChunkLength = 4 * meanChunkLength;
const positionChunkLength = 32;

/** 32-bit FNV-1a with a finalizer, since the low bits decide about boundaries. */
const hash = (text: string): number => {
  let state = 0x811c9dc5;
  for (let index = 0; index < text.length; index += 1)
    state = Math.imul(state ^ text.charCodeAt(index), 0x01000193);
  state = Math.imul(state ^ (state >>> 15), 0x2c1b3c6d);
  return (state ^ (state >>> 13)) >>> 0;
};

const nameOf = (entry: unknown): string => {
  if (Array.isArray(entry)) return String(entry[0]);
  const { name, instance } = (entry ?? {}) as { name?: unknown; instance?: unknown };
  return String(name ?? instance ?? JSON.stringify(entry));
};

/** Cuts lists into chunks. */
export const Chunks: Chunks = {
  of(list, cut) {
    if (cut === 'position')
      return Array.from({ length: Math.ceil(list.length / positionChunkLength) }, (_none, index) =>
        list.slice(index * positionChunkLength, (index + 1) * positionChunkLength),
      );
    const chunks: unknown[][] = [];
    let current: unknown[] = [];
    for (const entry of list) {
      current.push(entry);
      if (current.length < maxChunkLength && hash(nameOf(entry)) % meanChunkLength !== 0) continue;
      chunks.push(current);
      current = [];
    }
    return current.length > 0 ? [...chunks, current] : chunks;
  },
};
