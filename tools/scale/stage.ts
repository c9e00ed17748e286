/** The processes of a scale run: three cores and all machines, each program with the counter loaded before it. */
import { readFileSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { setTimeout as pause } from 'node:timers/promises';
import { FleetKit } from '../fleet-kit.js';
import { Process } from '../process.js';
import type { Counts } from './counts.js';
import { Machines } from './machines.js';

/** The fleet of a run. */
export type Stage = {
  readonly machines: Machines;
  readonly processes: () => ReadonlyMap<string, Process>;
  readonly sample: (name: string) => Counts.Sample | undefined;
  readonly startCore: (index: number) => Promise<void>;
  readonly operate: (
    method: string,
    path: string,
    body?: unknown,
    headers?: Record<string, string>,
  ) => Promise<FleetKit.Answer>;
  readonly primary: () => Promise<string>;
  readonly end: () => Promise<void>;
};

const cores = 3;

const network = `127.${60 + (process.pid % 150)}.${Math.floor(process.pid / 150) % 250}`;
const script = (path: string) => new URL(`../../${path}`, import.meta.url);

/** Starts fleets on loopback, each on a network of its own. */
export const Stage = {
  cores,
  of(folder: string): Stage {
    const processes = new Map<string, Process>();
    const wire = (index: number) => `${network}.${index + 1}:7000`;
    const http = (index: number) => `${network}.${index + 1}:7080`;
    const seeds = Array.from({ length: cores }, (_none, index) => wire(index));
    const counts = (name: string) => join(folder, `${name}.counts`);
    const launch = async (name: string, program: string, startup: object): Promise<Process> => {
      const file = join(folder, `${name}.json`);
      writeFileSync(file, JSON.stringify(startup));
      const terms = {
        log: join(folder, `${name}.log`),
        nodeArgs: ['--import', script('tools/scale/counter.js').pathname],
        env: { BRAMBLEBEND_COUNTS: counts(name) },
      };
      const started = await Process.start(name, script(program), ['--startup', file], terms);
      processes.set(name, started);
      return started;
    };
    const operate: Stage['operate'] = async (method, path, body, headers = {}) => {
      const authorization = `Bearer ${path === '/v1/servers' ? FleetKit.platformToken : FleetKit.operatorToken}`;
      let mishap: unknown;
      for (let index = 0; index < cores; index += 1)
        try {
          return await FleetKit.call(http(index), method, path, body, { authorization, ...headers });
        } catch (error) {
          mishap = error;
        }
      throw mishap;
    };
    const machines = Machines.of({ network, seeds, launch, countsFile: counts });
    return {
      machines,
      processes: () => processes,
      operate,
      sample(name) {
        try {
          return JSON.parse(readFileSync(counts(name), 'utf8')) as Counts.Sample;
        } catch {
          return undefined;
        }
      },
      async startCore(index) {
        await launch(`core-${index + 1}`, 'src/bin/control.js', {
          node: `core-${index + 1}`,
          zone: 'zone-0000',
          wire: wire(index),
          http: http(index),
          data: join(folder, `core-${index + 1}`),
          seeds,
          operators: [{ name: 'operator', token: FleetKit.operatorToken }],
          platform: [{ name: 'platform', token: FleetKit.platformToken }],
        });
      },
      async primary() {
        for (;;) {
          const status = await operate('GET', '/v1/status').catch(() => undefined);
          const tenure = status?.body.tenure as
            | { primary: string; cores: { disk: string; node: string }[] }
            | undefined;
          const core = tenure?.cores.find((one) => one.disk === tenure.primary);
          if (core) return core.node;
          await pause(20);
        }
      },
      end: async () => {
        await Promise.all([...processes.values()].map((one) => one.end('SIGKILL')));
      },
    };
  },
};
