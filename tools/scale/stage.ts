// The real processes of a scale run: three cores, and in the first zone one machine whose agent relays and one
// whose agent is a leaf, each program with the counter loaded before it.
import { readFileSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { request } from 'undici';
import { Stamp } from '../../src/kinds/stamp.js';
import { FleetKit } from '../fleet-kit.js';
import { Process } from '../process.js';
import { Counts } from './counts.js';

export type Stage = {
  readonly seeds: readonly string[];
  readonly host: string;
  readonly processes: () => ReadonlyMap<string, Process>;
  readonly sample: (name: string) => Counts.Sample | undefined;
  readonly startCore: (index: number) => Promise<void>;
  readonly startMachine: (node: string, zone: string) => Promise<void>;
  readonly operate: (
    method: string,
    path: string,
    body?: unknown,
    headers?: Record<string, string>,
  ) => Promise<FleetKit.Answer>;
  readonly primary: () => Promise<string>;
  readonly reach: (stamp: Stamp) => Promise<number>;
  readonly end: () => Promise<void>;
};

const cores = 3;
const lookEvery = 5;

const network = `127.${60 + (process.pid % 150)}.${Math.floor(process.pid / 150) % 250}`;
const pause = (span: number) => new Promise<void>((resolve) => setTimeout(resolve, span));
const script = (path: string) => new URL(`../../${path}`, import.meta.url);

export const Stage = {
  pause,
  of(folder: string): Stage {
    const processes = new Map<string, Process>();
    const proxies = new Map<string, string>();
    const wire = (index: number) => `${network}.${index + 1}:7000`;
    const http = (index: number) => `${network}.${index + 1}:7080`;
    const seeds = Array.from({ length: cores }, (_none, index) => wire(index));
    const counts = (name: string) => join(folder, `${name}.counts`);
    const launch = async (name: string, program: string, startup: object) => {
      const file = join(folder, `${name}.json`);
      writeFileSync(file, JSON.stringify(startup));
      const terms = {
        log: join(folder, `${name}.log`),
        nodeArgs: ['--import', script('tools/scale/counter.js').pathname],
        env: { BRAMBLEBEND_COUNTS: counts(name) },
      };
      processes.set(name, await Process.start(name, script(program), ['--startup', file], terms));
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
    const reached = async (address: string, stamp: Stamp): Promise<boolean> => {
      const response = await request(`http://${address}/health`).catch(() => undefined);
      const told = (await response?.body.json()) as { stamp: Stamp } | undefined;
      return told !== undefined && Stamp.compare(told.stamp, stamp) >= 0;
    };
    return {
      seeds,
      host: `${network}.250`,
      processes: () => processes,
      operate,
      sample(name) {
        try {
          return JSON.parse(readFileSync(counts(name), 'utf8')) as Counts.Sample;
        } catch {
          return undefined;
        }
      },
      startCore: (index) =>
        launch(`core-${index + 1}`, 'src/bin/control.js', {
          node: `core-${index + 1}`,
          zone: 'zone-0000',
          wire: wire(index),
          http: http(index),
          data: join(folder, `core-${index + 1}`),
          seeds,
          operators: [{ name: 'operator', token: FleetKit.operatorToken }],
          platform: [{ name: 'platform', token: FleetKit.platformToken }],
        }),
      async startMachine(node, zone) {
        const ip = `${network}.${10 + proxies.size}`;
        const feed = `${ip}:7001`;
        const agent = { node: `${node}-agent`, zone, wire: `${ip}:7000`, feed, ops: `${ip}:8082`, seeds };
        const proxy = { node, zone, listen: `${ip}:8080`, ops: `${ip}:8081`, agent: feed };
        await launch(`${node}-agent`, 'src/bin/agent.js', agent);
        await launch(node, 'src/bin/proxy.js', proxy);
        proxies.set(node, proxy.ops);
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
      async reach(stamp) {
        const ats = await Promise.all(
          [...proxies.values()].map(async (address) => {
            while (!(await reached(address, stamp))) await pause(lookEvery);
            return Counts.now();
          }),
        );
        return Math.max(0, ...ats);
      },
      end: async () => {
        await Promise.all([...processes.values()].map((one) => one.end('SIGKILL')));
      },
    };
  },
};
