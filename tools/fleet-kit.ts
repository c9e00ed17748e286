// A fleet on one machine: each machine of a deployment has a loopback address of its own, and each
// program runs as its own process with a startup file, exactly as it would be installed.
import { randomBytes } from 'node:crypto';
import { mkdirSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { request } from 'undici';
import type { Document } from '../src/manifest/document.js';
import type { Deployment } from './deployments/deployment.js';
import type { Faults } from './faults/faults.js';
import { Process } from './process.js';

export type FleetKit = {
  readonly folder: string;
  readonly deployment: Deployment;
  readonly cores: FleetKit.Core[];
  readonly fronts: FleetKit.Front[];
  readonly servers: FleetKit.Server[];
  readonly seeds: string[];
  readonly newAddress: () => string;
  readonly startCore: (core: FleetKit.Core, isInitial?: boolean) => Promise<void>;
  readonly startAgent: (front: FleetKit.Front) => Promise<void>;
  readonly startProxy: (front: FleetKit.Front) => Promise<void>;
  readonly startServer: (server: FleetKit.Server) => Promise<void>;
  readonly operate: (
    method: string,
    path: string,
    body?: unknown,
    headers?: Record<string, string>,
    among?: readonly FleetKit.Core[],
  ) => Promise<FleetKit.Answer>;
  readonly putManifest: (document: Document, among?: readonly FleetKit.Core[]) => Promise<FleetKit.Answer>;
  readonly putServers: (serial: number) => Promise<FleetKit.Answer>;
  readonly stop: () => Promise<void>;
};

export declare namespace FleetKit {
  type Core = { node: string; zone: string; wire: string; http: string; data: string; process?: Process };
  type Front = {
    node: string;
    zone: string;
    listen: string;
    ops: string;
    agentOps: string;
    wire: string;
    feed: string;
    agent?: Process;
    proxy?: Process;
  };
  type Server = {
    instance: string;
    backEnd: Deployment.BackEnd;
    address: string;
    journal: string;
    service?: string;
    cold?: number;
    process?: Process;
  };
  type Answer = {
    readonly status: number;
    readonly etag: string | undefined;
    readonly by: string | undefined;
    readonly body: Record<string, unknown>;
  };
  type Terms = {
    readonly folder: string;
    readonly deployment: Deployment;
    readonly stand?: { readonly pace?: number; readonly prefill?: number; readonly slots?: number };
    readonly faults?: Faults;
    readonly losses?: number;
    readonly builtIn?: (name: string) => URL;
  };
}

const operatorToken = 'operator-token-of-the-fleet';
const platformToken = 'platform-token-of-the-fleet';
const keeperToken = 'keeper-token-of-the-fleet';

const script = (path: string): URL => new URL(`../${path}`, import.meta.url);

const network = (): string => `127.${10 + (process.pid % 200)}.${Math.floor(process.pid / 200) % 250}`;

const call = async (
  address: string,
  method: string,
  path: string,
  body: unknown,
  headers: Record<string, string>,
): Promise<FleetKit.Answer> => {
  const answer = await request(`http://${address}${path}`, {
    method: method as 'GET',
    headers: { 'content-type': 'application/json', ...headers },
    body: body === undefined ? null : JSON.stringify(body),
    headersTimeout: 12_000,
  });
  const text = await answer.body.text();
  const etag = answer.headers.etag;
  return {
    status: answer.statusCode,
    etag: typeof etag === 'string' ? etag : undefined,
    by: answer.headers['bramblebend-node'] as string | undefined,
    body: text === '' ? {} : (JSON.parse(text) as Record<string, unknown>),
  };
};

let machines = 0;

const newAddress = (): string => {
  machines = (machines % 250) + 1;
  return `${network()}.${machines}`;
};

export const FleetKit = {
  operatorToken,
  platformToken,
  /** Of the one operator who may see secrets. */
  keeperToken,
  call,
  lay(terms: FleetKit.Terms): Pick<FleetKit, 'cores' | 'fronts' | 'servers'> {
    const { folder, deployment } = terms;
    const cores = Array.from({ length: 2 * (terms.losses ?? 1) + 1 }, (_none, index) => {
      const ip = newAddress();
      const { zone } = deployment.zones[index % deployment.zones.length]!;
      const node = `core-${index + 1}`;
      return { node, zone, wire: `${ip}:7000`, http: `${ip}:7080`, data: join(folder, node) };
    });
    const fronts = deployment.zones.flatMap(({ zone, fronts: count }) =>
      Array.from({ length: count }, (_none, index) => {
        const ip = newAddress();
        return {
          node: `${zone}-front-${index + 1}`,
          zone,
          listen: `${ip}:8080`,
          ops: `${ip}:8081`,
          agentOps: `${ip}:8082`,
          wire: `${ip}:7000`,
          feed: `${ip}:7001`,
        };
      }),
    );
    const servers = deployment.backEnds.flatMap((backEnd) =>
      Array.from({ length: backEnd.count }, (_none, index) => {
        const instance = `${backEnd.group}-${backEnd.region}-${index + 1}`;
        return {
          instance,
          backEnd,
          address: `${newAddress()}:9000`,
          journal: join(folder, `${instance}.journal`),
        };
      }),
    );
    return { cores, fronts, servers };
  },
  async start(terms: FleetKit.Terms): Promise<FleetKit> {
    const { folder, deployment } = terms;
    mkdirSync(folder, { recursive: true });
    const { cores, fronts, servers } = FleetKit.lay(terms);
    const seeds = cores.slice(0, 3).map((core) => core.wire);
    const keyFile = join(folder, 'walls.key');
    const hasWalls = deployment.manifest.walls !== undefined;
    if (hasWalls) writeFileSync(keyFile, randomBytes(32).toString('hex'), { mode: 0o600 });
    const outside = (name: string, values: readonly unknown[]) => {
      const log = join(folder, `${name}.log`);
      const { faults } = terms;
      if (!faults) return { log };
      const place = values.find((value) => typeof value === 'string' && /^127\.\d+\.\d+\.\d+:/.test(value));
      return {
        log,
        nodeArgs: ['--import', script('tools/faults/preload.js').pathname],
        env: {
          BRAMBLEBEND_FAULTS: faults.path,
          BRAMBLEBEND_FAULTS_IP: String(place).split(':')[0] ?? '',
          BRAMBLEBEND_FAULTS_NODE: name,
        },
      };
    };
    const launch = async (name: string, path: string, startup: object): Promise<Process> => {
      const file = join(folder, `${name}.json`);
      writeFileSync(file, JSON.stringify(startup, null, 2));
      const program = new URL(path, terms.builtIn?.(name) ?? script(''));
      return Process.start(name, program, ['--startup', file], outside(name, Object.values(startup)));
    };
    const startCore = async (core: FleetKit.Core, isInitial = false) => {
      const { node, zone, wire, http, data } = core;
      core.process = await launch(node, 'src/bin/control.js', {
        node,
        zone,
        wire,
        http,
        data,
        seeds,
        losses: terms.losses ?? 1,
        initial: isInitial,
        operators: [
          { name: 'operator', token: operatorToken },
          ...(hasWalls ? [{ name: 'keeper', token: keeperToken, secrets: true }] : []),
        ],
        ...(hasWalls ? { key_file: keyFile } : {}),
        platform: [{ name: 'platform', token: platformToken }],
      });
    };
    const startAgent = async (front: FleetKit.Front) => {
      const node = `${front.node}-agent`;
      const { zone, wire, feed, agentOps: ops } = front;
      front.agent = await launch(node, 'src/bin/agent.js', { node, zone, wire, feed, ops, seeds });
    };
    const startProxy = async (front: FleetKit.Front) => {
      const { node, zone, listen, ops, feed: agent } = front;
      front.proxy = await launch(node, 'src/bin/proxy.js', { node, zone, listen, ops, agent });
    };
    const startServer = async (server: FleetKit.Server) => {
      const { kind, group, models } = server.backEnd;
      const flags: Record<string, string> = {
        kind,
        instance: server.instance,
        service: server.service ?? group,
        cold: String(server.cold ?? 0),
        listen: server.address,
        journal: server.journal,
        models: models.join(','),
        pace: String(terms.stand?.pace ?? 8),
        prefill: String(terms.stand?.prefill ?? 15),
        slots: String(terms.stand?.slots ?? 6),
      };
      server.process = await Process.start(
        server.instance,
        script('tools/standin.js'),
        Object.entries(flags).flatMap(([flag, value]) => [`--${flag}`, value]),
        outside(server.instance, [server.address]),
      );
    };
    const headers = { authorization: `Bearer ${operatorToken}` };
    const operate: FleetKit['operate'] = async (method, path, body, more = {}, among = cores) => {
      let failure: unknown;
      for (const core of among)
        try {
          return await call(core.http, method, path, body, { ...headers, ...more });
        } catch (error) {
          failure = error;
        }
      throw failure;
    };
    await Promise.all([
      ...cores.map((core) => startCore(core, true)),
      ...fronts.map(startAgent),
      ...fronts.map(startProxy),
      ...servers.map(startServer),
    ]);
    return {
      folder,
      deployment,
      cores,
      fronts,
      servers,
      seeds,
      newAddress,
      startCore,
      startAgent,
      startProxy,
      startServer,
      operate,
      async putManifest(document, among = cores) {
        const now = await operate('GET', '/v1/manifest', undefined, {}, among);
        const held = (now.body.walls as Document['walls'])?.generation ?? 0;
        const { walls } = document;
        const next = walls
          ? { ...document, walls: { ...walls, generation: Math.max(walls.generation, held) } }
          : document;
        return operate('PUT', '/v1/manifest', next, { 'if-match': now.etag ?? '"0"' }, among);
      },
      putServers: (serial) =>
        operate(
          'PUT',
          '/v1/servers',
          {
            serial,
            servers: servers.map(({ instance, backEnd, address }) => ({
              instance,
              group: backEnd.group,
              address,
              region: backEnd.region,
              zone: backEnd.zone,
            })),
          },
          { authorization: `Bearer ${platformToken}` },
        ),
      async stop() {
        const all = [
          ...fronts.flatMap((front) => [front.proxy, front.agent]),
          ...cores.map((core) => core.process),
          ...servers.map((server) => server.process),
        ];
        await Promise.all(all.map((one) => one?.end('SIGKILL')));
      },
    };
  },
};
