// The memory of a model server, counted in tokens: parts of prompts that are kept, and what running requests
// hold. A part counts as kept only behind the same parts. Parts that are in use can't give way; of the others
// the longest unused go first. Pure: it knows no clock.
export type PromptCache = {
  /** Takes hold of a chain of parts; undefined when there is no room for what is missing. */
  readonly hold: (model: string, parts: readonly PromptCache.Part[]) => PromptCache.Held | undefined;
  /** Room for tokens that belong to one request alone; false when there is none. */
  readonly grow: (tokens: number) => boolean;
  readonly shrink: (tokens: number) => void;
  /** How many tokens of the chain are kept and need no reading. */
  readonly peek: (model: string, parts: readonly PromptCache.Part[]) => number;
  readonly pinned: () => number;
  readonly used: () => number;
};

export declare namespace PromptCache {
  type Part = { readonly id: string; readonly tokens: number };
  type Held = {
    /** Tokens of the chain that were kept already. */
    readonly hit: number;
    /** The chain has been read: from now on others find it. */
    readonly read: () => void;
    readonly release: () => void;
  };
}

type Entry = { readonly tokens: number; pins: number; isRead: boolean };

const keysOf = (model: string, parts: readonly PromptCache.Part[]): string[] => {
  const keys: string[] = [];
  let path = model;
  for (const part of parts) {
    path = `${path}/${part.id}`;
    keys.push(path);
  }
  return keys;
};

export const PromptCache = {
  of(total: number): PromptCache {
    const entries = new Map<string, Entry>();
    let used = 0;
    let pinned = 0;
    const drop = (key: string, entry: Entry) => {
      entries.delete(key);
      used -= entry.tokens;
    };
    const makeRoom = (tokens: number): boolean => {
      if (pinned + tokens > total) return false;
      for (const [key, entry] of entries) {
        if (used + tokens <= total) break;
        if (entry.pins === 0) drop(key, entry);
      }
      return used + tokens <= total;
    };
    const pin = (entry: Entry) => {
      if (entry.pins === 0) pinned += entry.tokens;
      entry.pins += 1;
    };
    const unpin = (key: string, entry: Entry) => {
      entry.pins -= 1;
      if (entry.pins > 0) return;
      pinned -= entry.tokens;
      if (!entry.isRead) drop(key, entry);
    };
    const countKept = (keys: readonly string[]): number => {
      const missing = keys.findIndex((key) => !entries.get(key)?.isRead);
      return missing < 0 ? keys.length : missing;
    };
    const sum = (parts: readonly PromptCache.Part[]) => parts.reduce((all, part) => all + part.tokens, 0);
    return {
      hold(model, parts) {
        const keys = keysOf(model, parts);
        const kept = countKept(keys);
        const there = keys.map((key) => entries.get(key));
        for (const entry of there) if (entry) pin(entry);
        const missing = parts.filter((_part, index) => there[index] === undefined);
        if (!makeRoom(sum(missing))) {
          keys.forEach((key, index) => {
            const entry = there[index];
            if (entry) unpin(key, entry);
          });
          return undefined;
        }
        const held = keys.map((key, index) => {
          const found = there[index];
          if (found) return found;
          const entry: Entry = { tokens: parts[index]!.tokens, pins: 0, isRead: false };
          entries.set(key, entry);
          used += entry.tokens;
          pin(entry);
          return entry;
        });
        for (let index = keys.length - 1; index >= 0; index -= 1) {
          entries.delete(keys[index]!);
          entries.set(keys[index]!, held[index]!);
        }
        let isHeld = true;
        return {
          hit: sum(parts.slice(0, kept)),
          read() {
            for (const entry of held) entry.isRead = true;
          },
          release() {
            if (isHeld) keys.forEach((key, index) => void unpin(key, held[index]!));
            isHeld = false;
          },
        };
      },
      grow(tokens) {
        if (!makeRoom(tokens)) return false;
        used += tokens;
        pinned += tokens;
        return true;
      },
      shrink(tokens) {
        used -= tokens;
        pinned -= tokens;
      },
      peek: (model, parts) => sum(parts.slice(0, countKept(keysOf(model, parts)))),
      pinned: () => pinned,
      used: () => used,
    };
  },
};
