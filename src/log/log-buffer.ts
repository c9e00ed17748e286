/**
 * The log of a process: a ring buffer of the latest entries in memory. Errors flush the new entries to standard error,
 * and the operations port serves all of them.
 */

/** Collects log entries. */
export type LogBuffer = {
  /** Adds an entry that is written out only if an error follows. */
  readonly info: (text: string, facts?: Record<string, unknown>) => void;
  /** Adds an entry and writes all new entries to standard error, within the rate limit. */
  readonly error: (text: string, facts?: Record<string, unknown>) => void;
  readonly entries: () => readonly Record<string, unknown>[];
};

/** How many entries are kept. */
const maxEntries = 512;
/** The minimum time between two writes to standard error, in milliseconds. */
const minFlushIntervalMs = 5000;

/** Creates log buffers. */
export const LogBuffer = {
  of(node: string): LogBuffer {
    const buffered: Record<string, unknown>[] = [];
    let flushedSerial = 0;
    let lastSerial = 0;
    const append = (level: 'info' | 'error', message: string, facts: Record<string, unknown>) => {
      lastSerial += 1;
      const timestamp = new Date().toISOString();
      buffered.push({ node, ...facts, level, message, timestamp, serial: lastSerial });
      if (buffered.length > maxEntries) buffered.shift();
    };
    let lastFlush = -minFlushIntervalMs;
    const flush = () => {
      if (performance.now() - lastFlush < minFlushIntervalMs) return;
      lastFlush = performance.now();
      const fresh = buffered.filter((entry) => (entry.serial as number) > flushedSerial);
      flushedSerial = lastSerial;
      process.stderr.write(fresh.map((entry) => `${JSON.stringify(entry)}\n`).join(''));
    };
    return {
      info: (text, facts = {}) => append('info', text, facts),
      error(text, facts = {}) {
        append('error', text, facts);
        flush();
      },
      entries: () => buffered,
    };
  },
};
