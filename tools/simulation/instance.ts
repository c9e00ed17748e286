// One copy of the program's modules, run with a clock, a network and a disk of the simulation in place of Node's. A copy
// serves one process after another, in all of which its modules keep nothing of their own between runs.
import * as crypto from 'node:crypto';
import { createRequire } from 'node:module';
import { Script } from 'node:vm';
import * as zlib from 'node:zlib';
import type { HttpClient as ProductClient } from '../../src/wire/http-client.js';
import { Schema } from '../../src/wire/schema.js';
import type { Random } from '../random.js';
import { Bundle } from './bundle.js';
import type { Clock, Event } from './clock.js';
import type { Disk } from './disk.js';
import { Files } from './files.js';
import { Http } from './http.js';
import type { Network } from './network.js';
import type { Process } from './process.js';
import type { Program } from './program.js';
import { Sockets } from './sockets.js';

export type Instance = {
  readonly program: Program;
  readonly bind: (surroundings: Instance.Surroundings) => void;
};

export declare namespace Instance {
  type Surroundings = {
    readonly process: Process;
    readonly disk: Disk;
    readonly random: Random;
    readonly clock: Clock;
    /** Missing for an instance that only reads a disk, for which nothing takes any time. */
    readonly network: Network | undefined;
    readonly onServer?: (fetch: (request: Request) => Response | Promise<Response>) => void;
  };
}

type Stubs = Readonly<Record<string, unknown>>;
type Work = (...given: unknown[]) => void;

const load = createRequire(import.meta.url);
const began = Date.UTC(2025, 0, 1);
const leastSpan = 1;
const packingSpan = 0.3;

const timersOf = (current: () => Instance.Surroundings) => {
  const make = (work: Work, span: number, isRepeated: boolean, given: unknown[]) => {
    const { process, random } = current();
    let event: Event | undefined;
    const wait = Math.max(leastSpan, Math.trunc(span) || 0);
    const arm = () => {
      event?.cancel();
      event = process.after(wait + random.next() * 0.2, () => {
        if (isRepeated) arm();
        work(...given);
      });
    };
    arm();
    const timer = {
      refresh() {
        arm();
        return timer;
      },
      ref: () => timer,
      unref: () => timer,
      stop: () => event?.cancel(),
    };
    return timer;
  };
  const clear = (timer: { stop: () => void } | undefined) => timer?.stop();
  return {
    setTimeout: (work: Work, span = 0, ...given: unknown[]) => make(work, span, false, given),
    setInterval: (work: Work, span = 0, ...given: unknown[]) => make(work, span, true, given),
    setImmediate: (work: Work, ...given: unknown[]) => {
      const event = current().process.after(0, () => work(...given));
      return { stop: () => event.cancel() };
    },
    clearTimeout: clear,
    clearInterval: clear,
    clearImmediate: clear,
  };
};

const clockOf = (current: () => Instance.Surroundings | undefined) => {
  const milliseconds = () => current()?.clock.at() ?? 0;
  const hrtime = (from: readonly [number, number] = [0, 0]): [number, number] => {
    const now = Math.round(milliseconds() * 1e6) - (from[0] * 1e9 + from[1]);
    const seconds = Math.floor(now / 1e9);
    return [seconds, now - seconds * 1e9];
  };
  class SimulatedDate extends Date {
    constructor(...given: [] | [string | number]) {
      if (given.length === 0) super(began + milliseconds());
      else super(given[0]);
    }
    static override now(): number {
      return Math.floor(began + milliseconds());
    }
  }
  const quiet = { write: () => true };
  return {
    Date: SimulatedDate,
    performance: { now: milliseconds },
    process: {
      hrtime: Object.assign(hrtime, { bigint: () => BigInt(Math.round(milliseconds() * 1e6)) }),
      env: {},
      argv: [],
      pid: 1,
      stdout: quiet,
      stderr: quiet,
      on() {},
      off() {},
      nextTick: process.nextTick,
      memoryUsage: () => ({ rss: 0, heapUsed: 0 }),
      cpuUsage: () => ({ user: 0, system: 0 }),
    },
  };
};

type Packing = (bytes: Uint8Array, ...given: unknown[]) => Buffer;

/** What Node packs in a thread of its own is packed at once and told a little later, always after the same time. */
const packingOf = (current: () => Instance.Surroundings): Stubs =>
  Object.fromEntries(
    ['deflate', 'inflate', 'deflateRaw', 'inflateRaw', 'gzip', 'gunzip'].map((name) => {
      const pack = (zlib as unknown as Record<string, Packing>)[`${name}Sync`]!;
      return [
        name,
        (bytes: Uint8Array, ...given: unknown[]) => {
          const tell = given.pop() as (error: unknown, packed?: Buffer) => void;
          const packed = pack(bytes, ...given);
          current().process.after(packingSpan, () => tell(null, packed));
        },
      ];
    }),
  );

const hexOf = (random: Random, length: number): string =>
  Array.from({ length }, () => random.below(16).toString(16)).join('');

const uuidOf = (random: Random): string => {
  const hex = hexOf(random, 32);
  return [hex.slice(0, 8), hex.slice(8, 12), hex.slice(12, 16), hex.slice(16, 20), hex.slice(20)].join('-');
};

const modulesOf = (current: () => Instance.Surroundings): ((name: string) => unknown) => {
  const filesOf = new WeakMap<Process, Files>();
  const files = (): Files => {
    const { process, disk, random, clock, network } = current();
    let found = filesOf.get(process);
    if (!found) {
      found = Files.of({ process, disk, random, clock: network ? clock : undefined });
      filesOf.set(process, found);
    }
    return found;
  };
  const delegate = (part: 'promises' | 'direct', names: readonly string[]): Stubs =>
    Object.fromEntries(
      names.map((name) => [name, (...given: never[]) => files()[part][name]!(...given)] as const),
    );
  const sockets = () => Sockets.of(current().network!, current().process);
  const HttpClient: Pick<typeof ProductClient, 'of'> = {
    of: ({ timeout: within, connectTimeout: connectWithin = within }) => ({
      call: (address, { path, method = 'GET', headers = {}, body }) =>
        Http.call(current().network!, current().process, {
          to: address,
          method,
          path,
          headers,
          body,
          connectWithin,
          answerWithin: within,
        }),
      close: () => undefined,
    }),
  };
  const stubs: Stubs = {
    'node:fs/promises': delegate('promises', [
      ...['mkdir', 'open', 'readFile', 'rename', 'rm', 'unlink', 'readdir', 'stat', 'access'],
    ]),
    'node:fs': {
      ...delegate('direct', ['existsSync', 'statSync']),
      readFileSync: (path: unknown) => {
        if (String(path).endsWith('package.json')) return '{"version":"simulated"}';
        throw Object.assign(new Error(`ENOENT: ${path}`), { code: 'ENOENT' });
      },
    },
    'node:zlib': { ...zlib, ...packingOf(current) },
    'node:net': {
      ...(load('node:net') as object),
      connect: (...given: [never]) => sockets().connect(...given),
      createServer: (...given: [never]) => sockets().createServer(...given),
    },
    'node:crypto': {
      ...crypto,
      randomUUID: () => uuidOf(current().random),
      randomBytes: (length: number) => Buffer.from(hexOf(current().random, 2 * length), 'hex'),
    },
    [Bundle.schema]: { Schema },
    [Bundle.httpClient]: { HttpClient },
    '@hono/node-server': {
      createAdaptorServer({ fetch }: { fetch: Parameters<typeof Http.server>[2] }) {
        const { network, process, onServer } = current();
        onServer?.(fetch);
        return Http.server(network!, process, fetch);
      },
    },
  };
  return (name) => (Object.hasOwn(stubs, name) ? stubs[name] : load(name));
};

const scripts = new Map<string, Script>();

export const Instance = {
  of(code: string): Instance {
    let current: Instance.Surroundings | undefined;
    const mustBind = (): Instance.Surroundings => {
      if (!current) throw new Error('no process runs in this instance');
      return current;
    };
    const globals: Stubs = {
      ...timersOf(mustBind),
      ...clockOf(() => current),
      simulatedRandom: () => mustBind().random.next(),
      require: modulesOf(mustBind),
    };
    const script =
      scripts.get(code) ??
      new Script(`(function (${['module', 'exports', ...Object.keys(globals)].join(',')}) {${code}\n})`, {
        filename: 'control-program.cjs',
      });
    scripts.set(code, script);
    const made = { exports: {} as { Program: Program } };
    const run = script.runInThisContext() as (...given: unknown[]) => void;
    run(made, made.exports, ...Object.values(globals));
    return {
      program: made.exports.Program,
      bind(surroundings) {
        current = surroundings;
      },
    };
  },
};
