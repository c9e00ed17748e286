// The newest changes that the primary took into its own store, as records in their order: what a member that is
// a little behind is sent instead of a whole state. It is bounded; a member further behind gets a snapshot.
import { Stamp } from '../common/stamp.js';
import type { State } from '../store/state.js';
import { Store } from '../store/store.js';

/** An unbroken chain of changes. */
export type ChangeLog = {
  /** Adds the change that follows the newest one. */
  readonly add: (change: State.Change) => void;
  /** The records that lead from one state to another; undefined where the chain does not hold both. */
  readonly between: (from: Stamp, to: Stamp) => readonly Uint8Array[] | undefined;
};

type Entry = { readonly before: Stamp; readonly after: Stamp; readonly record: Uint8Array };

/** Bytes of records kept, about what a snapshot of a large configuration takes. */
const longest = 4 * 1024 * 1024;
const mostChanges = 4096;

export const ChangeLog = {
  /** A chain that begins at the state with the given stamp. */
  from(first: Stamp): ChangeLog {
    const entries: Entry[] = [];
    let newest = first;
    let length = 0;
    const isWithin = () => entries.length <= mostChanges && length <= longest;
    return {
      add(change) {
        const record = Store.encode(change);
        entries.push({ before: newest, after: change.stamp, record });
        newest = change.stamp;
        length += record.length;
        while (entries.length > 1 && !isWithin()) length -= entries.shift()!.record.length;
      },
      between(from, to) {
        if (Stamp.isSame(from, to)) return [];
        const begin = entries.findIndex(({ before }) => Stamp.isSame(before, from));
        const end = entries.findIndex(({ after }) => Stamp.isSame(after, to));
        if (begin < 0 || end < begin) return undefined;
        return entries.slice(begin, end + 1).map(({ record }) => record);
      },
    };
  },
};
