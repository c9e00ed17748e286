/**
 * A small fleet in the layout of the platform: whole programs over loopback, each configured by a settings file, with
 * operator calls as the platform makes them.
 */
import { mkdirSync, mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { request } from 'undici';
import { stringify } from 'yaml';
import { Id } from '../src/common/id.js';
import type { View } from '../src/manifest/view.js';
import { MemberTable } from '../src/membership/member-table.js';
import { Uplink } from '../src/membership/uplink.js';
import { Feed } from '../src/news/feed.js';
import { FleetKit } from '../tools/fleet-kit.js';
import { Process } from '../tools/process.js';
import { ListServer } from './list-server.js';

/** A running fleet. */
export type PlatformKit = {
  readonly cores: PlatformKit.Core[];
  readonly fronts: PlatformKit.Front[];
  readonly list: ListServer;
  readonly folder: string;
  readonly startCore: (core: PlatformKit.Core) => Promise<void>;
  readonly startFront: (front: PlatformKit.Front) => Promise<void>;
  /** Sends one request to one core. */
  readonly call: (
    core: PlatformKit.Core,
    method: string,
    path: string,
    body?: string | Uint8Array,
    headers?: Record<string, string>,
  ) => Promise<PlatformKit.Response>;
  /** Sends a command as the operator does: after a 5xx or no response, the same request goes to the next core. */
  readonly sendCommand: (
    path: string,
    body?: string | Uint8Array,
    headers?: Record<string, string>,
  ) => Promise<PlatformKit.Response>;
  /** Reads the configuration back from the first core that returns it. */
  readonly readConfiguration: () => Promise<string>;
  /** Waits for a core that leads. */
  readonly findPrimary: () => Promise<PlatformKit.Core>;
  /** Waits for a view that matches; the views come from the cores as to any other node. */
  readonly waitForView: (matches: (view: View) => boolean) => Promise<View>;
  readonly stop: () => Promise<void>;
};

export declare namespace PlatformKit {
  type Machine = { readonly node: string; readonly zone: string; readonly ip: string; process?: Process };
  type Core = Machine & { readonly http: string; readonly directory: string; readonly data: string };
  type Front = Machine & { readonly listen: string; readonly ready: string };
  type Response = {
    readonly status: number;
    readonly text: string;
    readonly body: Record<string, unknown>;
    readonly headers: Record<string, string | string[] | undefined>;
  };
}

const zones = { 'sto-a': 'sto', 'sto-b': 'sto', 'got-a': 'got' };
const ports = { wire: 7720, control: 8166, directory: 8167, front: 8161, ready: 8168 };
/** The longest wait, in milliseconds. */
const within = 20_000;
const main = new URL('../platform/main.js', import.meta.url);
const pause = (durationMs: number) => new Promise<void>((resolve) => setTimeout(resolve, durationMs));

const readJson = (text: string): Record<string, unknown> => {
  try {
    return JSON.parse(text) as Record<string, unknown>;
  } catch {
    return {};
  }
};

const call: PlatformKit['call'] = async (core, method, path, body, headers = {}) => {
  const response = await request(`http://${core.http}${path}`, {
    method: method as 'GET',
    headers: body === undefined ? headers : { 'content-type': 'application/json', ...headers },
    body: body ?? null,
    headersTimeout: 8000,
  });
  const text = await response.body.text();
  return { status: response.statusCode, text, body: readJson(text), headers: response.headers };
};

/** Starts fleets. */
export const PlatformKit = {
  zones,
  within,
  settings(machine: PlatformKit.Machine, bindings: Record<string, string>, more: object): object {
    return {
      'node-name': machine.node,
      role: 'a-role',
      'ip-address': machine.ip,
      zone: machine.zone,
      region: zones[machine.zone as keyof typeof zones],
      zones,
      bindings,
      'internal-ports': [ports.wire, ports.wire + 15],
      'initial-start': true,
      'data-directory': null,
      bounds: { 'grace-s': 3 },
      'a-new-field': { that: 'nobody knows' },
      ...more,
    };
  },
  /** Polls until the result is defined; fails after 20 seconds, or as long as is said. */
  async waitUntil<T>(
    poll: () => Promise<T | undefined> | T | undefined,
    what: string,
    withinMs = within,
  ): Promise<T> {
    const startedAt = performance.now();
    for (;;) {
      const found = await poll();
      if (found !== undefined) return found;
      if (performance.now() - startedAt > withinMs) throw new Error(`timed out waiting for: ${what}`);
      await pause(20);
    }
  },
  async start(
    options: {
      readonly fronts?: readonly string[];
      readonly bounds?: object;
      /** What the settings say of each machine's memory and descriptors. */
      readonly limits?: object;
      /** Flags of the runtime. */
      readonly flags?: readonly string[];
    } = {},
  ): Promise<PlatformKit> {
    const folder = mkdtempSync(join(tmpdir(), 'bramblebend-platform-'));
    const list = await ListServer.start();
    const addresses = FleetKit.lay({
      folder,
      deployment: {
        name: 'platform',
        zones: [{ zone: 'z', region: 'r', fronts: options.fronts?.length ?? 0 }],
        backEnds: [],
        manifest: {} as never,
        mix: [],
      },
    });
    const ipOf = (address: string) => address.split(':')[0]!;
    const cores: PlatformKit.Core[] = addresses.cores.map((core, index) => {
      const ip = ipOf(core.wire);
      const zone = Object.keys(zones)[index]!;
      return {
        node: `core-${zone}`,
        zone,
        ip,
        http: `${ip}:${ports.control}`,
        directory: `${ip}:${ports.directory}`,
        data: join(folder, `core-${index}`),
      };
    });
    const fronts: PlatformKit.Front[] = addresses.fronts.map((front, index) => {
      const ip = ipOf(front.wire);
      return {
        node: `edge-${index}`,
        zone: options.fronts![index]!,
        ip,
        listen: `${ip}:${ports.front}`,
        ready: `${ip}:${ports.ready}`,
      };
    });
    const common = {
      ...(options.bounds ? { bounds: options.bounds } : {}),
      ...(options.limits ? { limits: options.limits } : {}),
      'seed-nodes': cores.map((core) => core.http),
      'platform-api': { address: list.address, 'rate-per-s': 50, 'max-lag-ms': 800 },
    };
    const launch = (machine: PlatformKit.Machine, role: string, settings: object): Promise<Process> => {
      const file = join(folder, `${machine.node}.yaml`);
      writeFileSync(file, stringify(settings));
      return Process.start(machine.node, main, [role], {
        log: join(folder, `${machine.node}.log`),
        env: { BRAMBLEBEND_SETTINGS: file },
        ...(options.flags ? { nodeArgs: options.flags } : {}),
      });
    };
    const startCore = async (core: PlatformKit.Core) => {
      mkdirSync(core.data, { recursive: true });
      const bindings = { 'control-plane': core.http, directory: core.directory };
      const settings = PlatformKit.settings(core, bindings, { ...common, 'data-directory': core.data });
      core.process = await launch(core, 'control', settings);
    };
    const startFront = async (front: PlatformKit.Front) => {
      const bindings = { front: front.listen, readiness: front.ready };
      front.process = await launch(front, 'front', PlatformKit.settings(front, bindings, common));
    };
    await Promise.all([...cores.map(startCore), ...fronts.map(startFront)]);
    const feed = Feed.of();
    const roll = MemberTable.of(() => ({
      node: 'observer',
      program: 'observer',
      zone: 'got-a',
      boot: boot,
      stamp: feed.stamp(),
      http: '',
      wire: '',
      ops: '',
      depth: 9,
      ready: false,
      vouched: false,
    }));
    const boot = Id.boot();
    const uplink = Uplink.run({
      feed,
      members: roll,
      seeds: cores.map((core) => `${core.ip}:${ports.wire}`),
      version: 'of the tests',
      hasFixedCandidates: true,
      reportsMembers: true,
      onRoster() {},
      onCold() {},
      note() {},
    });
    const order: PlatformKit['sendCommand'] = (path, body, headers) => {
      let turn = 0;
      return PlatformKit.waitUntil(async () => {
        const core = cores[turn++ % cores.length]!;
        const response = await call(core, 'POST', path, body, headers).catch(() => undefined);
        return response && response.status < 500 ? response : undefined;
      }, path);
    };
    return {
      cores,
      fronts,
      list,
      folder,
      startCore,
      startFront,
      call,
      sendCommand: order,
      readConfiguration() {
        let turn = 0;
        return PlatformKit.waitUntil(async () => {
          const core = cores[turn++ % cores.length]!;
          const response = await call(core, 'GET', '/configuration/read').catch(() => undefined);
          return response?.status === 200 ? response.text : undefined;
        }, 'the configuration is read back');
      },
      findPrimary: () =>
        PlatformKit.waitUntil(async () => {
          for (const core of cores) {
            const health = await call(core, 'GET', '/health').catch(() => undefined);
            if (health?.body.state === 'leading') return core;
          }
          return undefined;
        }, 'a core leads'),
      waitForView: (matches) =>
        new Promise((resolve, reject) => {
          const timer = setTimeout(() => {
            unwatch();
            reject(new Error(`no matching view was received; last view: ${JSON.stringify(feed.view())}`));
          }, within);
          const check = (view: View): boolean => {
            if (!matches(view)) return false;
            clearTimeout(timer);
            unwatch();
            resolve(view);
            return true;
          };
          const unwatch = feed.watch((view) => void check(view));
          check(feed.view());
        }),
      async stop() {
        uplink.stop();
        await Promise.all([...cores, ...fronts].map((one) => one.process?.end('SIGKILL')));
        await list.stop();
        rmSync(folder, { recursive: true, force: true });
      },
    };
  },
};
