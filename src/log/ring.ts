// The log: a ring of the last entries in memory. It is written out, whole, when something goes wrong
// enough to say so, and can be read over the operations port at any time.
import winston from 'winston';
import TransportStream from 'winston-transport';

export type Ring = {
  readonly note: (text: string, facts?: Record<string, unknown>) => void;
  readonly alert: (text: string, facts?: Record<string, unknown>) => void;
  readonly entries: () => readonly Record<string, unknown>[];
};

const size = 512;
const quietFor = 5000;

export const Ring = {
  of(node: string): Ring {
    const kept: Record<string, unknown>[] = [];
    let written = 0;
    let counter = 0;
    const memory = new TransportStream({
      log(entry, next) {
        kept.push({ ...entry, serial: ++counter });
        if (kept.length > size) kept.shift();
        next();
      },
    });
    const logger = winston.createLogger({
      level: 'info',
      defaultMeta: { node },
      format: winston.format.combine(winston.format.timestamp(), winston.format.json()),
      transports: [memory],
    });
    let last = -quietFor;
    const writeOut = () => {
      if (performance.now() - last < quietFor) return;
      last = performance.now();
      const fresh = kept.filter((entry) => (entry.serial as number) > written);
      written = counter;
      process.stderr.write(fresh.map((entry) => `${JSON.stringify(entry)}\n`).join(''));
    };
    return {
      note: (text, facts = {}) => void logger.info(text, facts),
      alert(text, facts = {}) {
        logger.error(text, facts);
        writeOut();
      },
      entries: () => kept,
    };
  },
};
