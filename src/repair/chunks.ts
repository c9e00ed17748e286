// Lists cut into chunks. By name: a chunk ends after an entry whose name hashes to an end, so that an entry put
// in, taken out or changed touches its own chunk alone, and the order stays (content-defined chunking). By
// position: the cut of programs that know no other, where an entry put in shifts all chunks after it.
export type Chunks = { readonly of: (list: readonly unknown[], cut: Chunks.Cut) => readonly unknown[][] };

export declare namespace Chunks {
  type Cut = 'position' | 'name';
}

const perChunk = 8;
const most = 4 * perChunk;
const perPosition = 32;

const hash = (text: string): number => {
  let sum = 0x811c9dc5;
  for (let at = 0; at < text.length; at += 1) sum = Math.imul(sum ^ text.charCodeAt(at), 0x01000193);
  sum = Math.imul(sum ^ (sum >>> 15), 0x2c1b3c6d);
  return (sum ^ (sum >>> 13)) >>> 0;
};

const nameOf = (entry: unknown): string => {
  if (Array.isArray(entry)) return String(entry[0]);
  const { name, instance } = (entry ?? {}) as { name?: unknown; instance?: unknown };
  return String(name ?? instance ?? JSON.stringify(entry));
};

export const Chunks: Chunks = {
  of(list, cut) {
    if (cut === 'position')
      return Array.from({ length: Math.ceil(list.length / perPosition) }, (_none, index) =>
        list.slice(index * perPosition, (index + 1) * perPosition),
      );
    const chunks: unknown[][] = [];
    let open: unknown[] = [];
    for (const entry of list) {
      open.push(entry);
      if (open.length < most && hash(nameOf(entry)) % perChunk !== 0) continue;
      chunks.push(open);
      open = [];
    }
    return open.length > 0 ? [...chunks, open] : chunks;
  },
};
