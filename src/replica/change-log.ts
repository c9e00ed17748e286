/**
 * An in-memory log of the newest changes that the primary wrote to its own store, as encoded records in order. A
 * member that lags a little is sent these instead of a full state. The log is bounded; a member further behind gets a
 * snapshot.
 */
import { Stamp } from '../common/stamp.js';
import type { State } from '../store/state.js';
import { Store } from '../store/store.js';

/** A contiguous sequence of changes. */
export type ChangeLog = {
  /** Appends the change that follows the newest one. */
  readonly add: (change: State.Change) => void;
  /** The records that lead from one state to another; undefined if the log does not cover that range. */
  readonly between: (from: Stamp, to: Stamp) => readonly Uint8Array[] | undefined;
};

type Entry = { readonly before: Stamp; readonly after: Stamp; readonly record: Uint8Array };

/** About the size of a snapshot of a large configuration. */
const maxLogBytes = 4 * 1024 * 1024;
const maxLogChanges = 4096;

/** Creates change logs. */
export const ChangeLog = {
  /** An empty log that starts after the state with the given stamp. */
  from(first: Stamp): ChangeLog {
    const entries: Entry[] = [];
    let newest = first;
    let byteLength = 0;
    const isWithinLimits = () => entries.length <= maxLogChanges && byteLength <= maxLogBytes;
    return {
      add(change) {
        const record = Store.encode(change);
        entries.push({ before: newest, after: change.stamp, record });
        newest = change.stamp;
        byteLength += record.length;
        while (entries.length > 1 && !isWithinLimits()) byteLength -= entries.shift()!.record.length;
      },
      between(from, to) {
        if (Stamp.isSame(from, to)) return [];
        const start = entries.findIndex(({ before }) => Stamp.isSame(before, from));
        const end = entries.findIndex(({ after }) => Stamp.isSame(after, to));
        if (start < 0 || end < start) return undefined;
        return entries.slice(start, end + 1).map(({ record }) => record);
      },
    };
  },
};
