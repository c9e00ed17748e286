/**
 * Watches a file by polling. The file is read when its timestamps, size or inode change, and on every tenth poll in any
 * case. The callback runs only when the content differs; a missing file is not a change.
 */
import { readFileSync, statSync } from 'node:fs';
import { Timer } from '../common/timer.js';

/** A watched file; `check` reads it at once. */
export type FileWatcher = { readonly check: () => void; readonly stop: () => void };

/** Interval of polls, in milliseconds. */
const pollIntervalMs = 1000;
/** The file is read on every poll of this number, even if it seems unchanged. */
const readEveryPolls = 10;

/** What identifies a state of the file: its timestamps, size and inode. */
const fingerprintOf = (path: string): string | undefined => {
  const stats = statSync(path, { throwIfNoEntry: false });
  return stats && [stats.mtimeMs, stats.ctimeMs, stats.size, stats.ino].join();
};

const readText = (path: string): string | undefined => {
  try {
    return readFileSync(path, 'utf8');
  } catch {
    return undefined;
  }
};

/** Watches files. */
export const FileWatcher = {
  watch(path: string, onChange: (text: string) => void): FileWatcher {
    let fingerprint = fingerprintOf(path);
    let text = readText(path);
    let polls = 0;
    const read = () => {
      const current = readText(path);
      if (current === undefined || current === text) return;
      text = current;
      onChange(current);
    };
    const timer = Timer.every(pollIntervalMs, () => {
      polls += 1;
      const next = fingerprintOf(path);
      if (next === fingerprint && polls % readEveryPolls !== 0) return;
      fingerprint = next;
      read();
    });
    return { check: read, stop: timer.stop };
  },
};
