// The log: a ring of the last entries in memory. It is written out, whole, when something goes wrong
// enough to say so, and can be read over the operations port at any time.
export type LogBuffer = {
  readonly info: (text: string, facts?: Record<string, unknown>) => void;
  readonly error: (text: string, facts?: Record<string, unknown>) => void;
  readonly entries: () => readonly Record<string, unknown>[];
};

const size = 512;
const quietFor = 5000;

export const LogBuffer = {
  of(node: string): LogBuffer {
    const kept: Record<string, unknown>[] = [];
    let written = 0;
    let counter = 0;
    const keep = (level: 'info' | 'error', message: string, facts: Record<string, unknown>) => {
      counter += 1;
      const timestamp = new Date().toISOString();
      kept.push({ node, ...facts, level, message, timestamp, serial: counter });
      if (kept.length > size) kept.shift();
    };
    let last = -quietFor;
    const writeOut = () => {
      if (performance.now() - last < quietFor) return;
      last = performance.now();
      const fresh = kept.filter((entry) => (entry.serial as number) > written);
      written = counter;
      process.stderr.write(fresh.map((entry) => `${JSON.stringify(entry)}\n`).join(''));
    };
    return {
      info: (text, facts = {}) => keep('info', text, facts),
      error(text, facts = {}) {
        keep('error', text, facts);
        writeOut();
      },
      entries: () => kept,
    };
  },
};
