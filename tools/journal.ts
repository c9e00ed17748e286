// A journal: one JSON line per entry, written in order. Callers, back ends and operators keep one each,
// and the checkers read nothing else. Times are the machine's monotonic clock, which all processes on
// it share.
import { appendFileSync, existsSync, readFileSync } from 'node:fs';

export type Journal = { readonly write: (entry: Record<string, unknown>) => void };

const now = (): number => Number(process.hrtime.bigint() / 1000n) / 1000;

export const Journal = {
  now,
  open: (path: string): Journal => ({
    write: (entry) => appendFileSync(path, `${JSON.stringify({ at: now(), ...entry })}\n`),
  }),
  read<T>(path: string): T[] {
    if (!existsSync(path)) return [];
    return readFileSync(path, 'utf8')
      .split('\n')
      .filter((line) => line !== '')
      .map((line) => JSON.parse(line) as T);
  },
};
