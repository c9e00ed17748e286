// A file that may change without a signal: looked at once a second, read when its dates or size differ and now and
// then all the same, and told on when its text is another one. A file that is not there just now is no change.
import { readFileSync, statSync } from 'node:fs';
import { Timer } from '../common/timer.js';

export type FileWatcher = { readonly check: () => void; readonly stop: () => void };

const lookEvery = 1000;
const readEvery = 10;

const markOf = (path: string): string | undefined => {
  const stats = statSync(path, { throwIfNoEntry: false });
  return stats && [stats.mtimeMs, stats.ctimeMs, stats.size, stats.ino].join();
};

const textOf = (path: string): string | undefined => {
  try {
    return readFileSync(path, 'utf8');
  } catch {
    return undefined;
  }
};

export const FileWatcher = {
  watch(path: string, onChange: (text: string) => void): FileWatcher {
    let mark = markOf(path);
    let text = textOf(path);
    let looks = 0;
    const read = () => {
      const now = textOf(path);
      if (now === undefined || now === text) return;
      text = now;
      onChange(now);
    };
    const looking = Timer.every(lookEvery, () => {
      looks += 1;
      const next = markOf(path);
      if (next === mark && looks % readEvery !== 0) return;
      mark = next;
      read();
    });
    return { check: read, stop: looking.stop };
  },
};
