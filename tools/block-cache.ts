// The prefix cache of a stand-in engine: blocks found by a hash over the salt, all before them, and their own text,
// as published engines do it; the least recently used go first. Each block knows whose request made it. Beside it the
// cache remembers which requests would have matched without salts, so that a judge can tell what the salts kept apart.
import { createHash } from 'node:crypto';

export type BlockCache = { readonly look: (salt: string, text: string, by: string) => BlockCache.Lookup };

export declare namespace BlockCache {
  type Lookup = {
    readonly blocks: number;
    readonly matched: number;
    /** Whose work was matched. */
    readonly of: readonly string[];
    /** Whose first block is the same but for its salt. */
    readonly alike: readonly string[];
  };
}

const size = 64;

const chain = (before: string, block: string): string =>
  createHash('sha1').update(`${before}\0${block}`).digest('base64');

export const BlockCache = {
  size,
  of(capacity: number): BlockCache {
    const held = new Map<string, string>();
    const begun = new Map<string, Set<string>>();
    const touch = (hash: string, by: string) => {
      const owner = held.get(hash);
      held.delete(hash);
      held.set(hash, owner ?? by);
      if (held.size > capacity) held.delete(held.keys().next().value!);
    };
    return {
      look(salt, text, by) {
        const blocks = Math.floor(text.length / size);
        const of = new Set<string>();
        const alike: string[] = [];
        let matched = 0;
        let hash = salt;
        for (let index = 0; index < blocks; index += 1) {
          const block = text.slice(index * size, (index + 1) * size);
          hash = chain(hash, block);
          if (index === 0) {
            const same = begun.get(block) ?? new Set();
            begun.set(block, same);
            for (const other of same) {
              const owner = held.get(other);
              if (owner === undefined) same.delete(other);
              else if (other !== hash) alike.push(owner);
            }
            same.add(hash);
          }
          const owner = held.get(hash);
          if (owner !== undefined && matched === index) {
            matched += 1;
            of.add(owner);
          }
          touch(hash, by);
        }
        return { blocks, matched, of: [...of], alike };
      },
    };
  },
};
