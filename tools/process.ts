// A child process of the test fleet, known to be up by its readiness line. Only the fleet runner and
// the tests start processes; the programs themselves never do.
import { type ChildProcess, spawn } from 'node:child_process';
import { createWriteStream } from 'node:fs';
import { createInterface } from 'node:readline';

export type Process = {
  readonly name: string;
  readonly ready: Readonly<Record<string, string>>;
  readonly pid: number;
  readonly signal: (signal: NodeJS.Signals) => void;
  readonly ended: Promise<number | null>;
  readonly isUp: () => boolean;
  readonly end: (signal?: NodeJS.Signals) => Promise<number | null>;
};

const started = new Set<ChildProcess>();

process.on('exit', () => {
  for (const child of started) child.kill('SIGKILL');
});

for (const signal of ['SIGTERM', 'SIGINT'] as const)
  process.on(signal, () => {
    if (process.listenerCount(signal) === 1) process.exit(1);
  });

export const Process = {
  async start(
    name: string,
    script: URL,
    args: readonly string[],
    terms: { readonly log: string; readonly nodeArgs?: readonly string[]; readonly env?: NodeJS.ProcessEnv },
  ): Promise<Process> {
    const child = spawn(process.execPath, [...(terms.nodeArgs ?? []), script.pathname, ...args], {
      stdio: ['ignore', 'pipe', 'pipe'],
      env: { ...process.env, ...terms.env },
    });
    started.add(child);
    const log = createWriteStream(terms.log, { flags: 'a' });
    child.stderr.pipe(log);
    let isUp = true;
    const ended = new Promise<number | null>((resolve) => {
      child.once('exit', (code) => {
        isUp = false;
        started.delete(child);
        resolve(code);
      });
    });
    const ready = await new Promise<Record<string, string>>((resolve, reject) => {
      const lines = createInterface({ input: child.stdout });
      lines.once('line', (line) => resolve(JSON.parse(line) as Record<string, string>));
      void ended.then((code) =>
        reject(new Error(`${name} ended with ${code} before it was ready; see ${terms.log}`)),
      );
    });
    return {
      name,
      ready,
      pid: child.pid!,
      ended,
      isUp: () => isUp,
      signal: (signal) => void child.kill(signal),
      end(signal = 'SIGTERM') {
        child.kill(signal);
        if (signal !== 'SIGKILL') child.kill('SIGCONT');
        return ended;
      },
    };
  },
};
