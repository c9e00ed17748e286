// A small cache of prefixes, the least recently used leaves first.
export type KvCache = { readonly use: (key: string) => boolean };

export const KvCache = {
  of(size: number): KvCache {
    const held = new Set<string>();
    return {
      use(key) {
        const isWarm = held.delete(key);
        held.add(key);
        if (held.size > size) held.delete([...held][0]!);
        return isWarm;
      },
    };
  },
};
