// The roster: the names of the live proxies, in order. It changes by additions and departures; with each comes a
// digest of the whole, so that a copy that missed something shows, and is told the whole again.
import { createHash } from 'node:crypto';

export type Roster = {
  readonly names: () => readonly string[];
  readonly set: (names: readonly string[]) => void;
  readonly watch: (see: (change: Roster.Change) => void) => () => void;
};

export declare namespace Roster {
  type Change = {
    readonly added: readonly string[];
    readonly departed: readonly string[];
    readonly digest: string;
  };
}

const digestOf = (names: readonly string[]): string =>
  createHash('sha256').update(names.join()).digest('base64').slice(0, 24);

export const Roster = {
  digestOf,
  of(): Roster {
    let names: readonly string[] = [];
    const watchers = new Set<(change: Roster.Change) => void>();
    return {
      names: () => names,
      set(next) {
        const [before, after] = [new Set(names), new Set(next)];
        const added = next.filter((name) => !before.has(name));
        const departed = names.filter((name) => !after.has(name));
        if (added.length === 0 && departed.length === 0) return;
        names = [...after].sort();
        const change = { added, departed, digest: digestOf(names) };
        for (const see of [...watchers]) see(change);
      },
      watch(see) {
        watchers.add(see);
        return () => void watchers.delete(see);
      },
    };
  },
  /** The roster after a change, or nothing when it is not the one that was meant. */
  after(names: readonly string[], { added, departed, digest }: Roster.Change): readonly string[] | undefined {
    const gone = new Set(departed);
    const next = [...new Set([...names.filter((name) => !gone.has(name)), ...added])].sort();
    return digestOf(next) === digest ? next : undefined;
  },
};
