/**
 * The roster: the sorted names of the live proxies. Changes are sent as additions and departures with a digest of the
 * whole, so that a copy that missed a change detects it and asks for the whole roster.
 */
import { createHash } from 'node:crypto';

/** The names of the live proxies. */
export type Roster = {
  readonly names: () => readonly string[];
  /** Replaces the names and tells watchers what changed. */
  readonly set: (names: readonly string[]) => void;
  readonly watch: (listener: (change: Roster.Change) => void) => () => void;
};

/** A change of the roster. Field names are those of the protobuf schema. */
export declare namespace Roster {
  type Change = {
    readonly added: readonly string[];
    readonly departed: readonly string[];
    readonly digest: string;
  };
}

const digestOf = (names: readonly string[]): string =>
  createHash('sha256').update(names.join()).digest('base64').slice(0, 24);

/** Creates rosters and applies changes. */
export const Roster = {
  digestOf,
  of(): Roster {
    let names: readonly string[] = [];
    const listeners = new Set<(change: Roster.Change) => void>();
    return {
      names: () => names,
      set(next) {
        const [before, after] = [new Set(names), new Set(next)];
        const added = next.filter((name) => !before.has(name));
        const departed = names.filter((name) => !after.has(name));
        if (added.length === 0 && departed.length === 0) return;
        names = [...after].sort();
        const change = { added, departed, digest: digestOf(names) };
        for (const listener of [...listeners]) listener(change);
      },
      watch(listener) {
        listeners.add(listener);
        return () => void listeners.delete(listener);
      },
    };
  },
  /** The roster after a change; undefined when its digest differs, since an earlier change was missed. */
  after(names: readonly string[], { added, departed, digest }: Roster.Change): readonly string[] | undefined {
    const departedNames = new Set(departed);
    const next = [...new Set([...names.filter((name) => !departedNames.has(name)), ...added])].sort();
    return digestOf(next) === digest ? next : undefined;
  },
};
