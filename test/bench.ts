// The bench of the tests: whole programs over loopback with back ends inside the test, which answer as
// each test says and remember every request that reached them.
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { join } from 'node:path';
import { request } from 'undici';
import type { Document } from '../src/manifest/document.js';
import { Deployment } from '../tools/deployments/deployment.js';
import { Faults } from '../tools/faults/faults.js';
import { FleetFolder } from '../tools/fleet-folder.js';
import { FleetKit } from '../tools/fleet-kit.js';
import { InForce } from '../tools/in-force.js';

export type Bench = {
  readonly kit: FleetKit;
  readonly faults: Faults | undefined;
  readonly call: (path: string, body?: unknown, headers?: Record<string, string>) => Promise<Bench.Answer>;
  readonly chat: (model: string, more?: object, headers?: Record<string, string>) => Promise<Bench.Answer>;
  readonly list: (backEnds: readonly Bench.BackEnd[]) => Promise<void>;
  readonly backEnd: (terms: Bench.Terms) => Promise<Bench.BackEnd>;
  readonly stop: () => Promise<void>;
};

export declare namespace Bench {
  type Answer = {
    readonly status: number;
    readonly headers: Record<string, string | string[] | undefined>;
    readonly text: string;
    readonly isBroken: boolean;
  };
  /** What an open manifest is made of; `group` holds further fields of its group. */
  type OpenTerms = {
    readonly regions: readonly string[];
    readonly group?: object;
    readonly rules: readonly object[];
    readonly limits?: object;
  };
  type Handle = (request: IncomingMessage, response: ServerResponse, body: string) => void;
  type Terms = {
    readonly instance: string;
    readonly group: string;
    readonly region: string;
    readonly handle: Handle;
    readonly service?: string;
    readonly address?: string;
  };
  type BackEnd = {
    readonly instance: string;
    readonly group: string;
    readonly region: string;
    readonly address: string;
    readonly reached: {
      readonly url: string;
      readonly headers: IncomingMessage['headers'];
      readonly body: string;
    }[];
    handle: Handle;
    service: string;
    readonly server: Server;
    readonly stop: () => Promise<void>;
  };
}

const key = 'a-key-of-the-tests';
const models = ['once', 'again', 'lesser'];
const chat = '/v1/chat/completions';
const toldEntries = 80;

const manifest = {
  zones: { 'a-1': { region: 'a' }, 'b-1': { region: 'b' }, 'c-1': { region: 'c' } },
  groups: {
    llm: {
      kind: 'model',
      models: ['once', 'again'],
      regions: ['a', 'b', 'c'],
      identity: {
        path: '/v1/models',
        service: { at: { pointer: '/data/0/owned_by' }, is: 'llm' },
        instance: { header: 'x-instance-id' },
      },
      not_run: [{ status: 429, header: 'x-not-run' }],
      ejection: { consecutive_5xx: 1000 },
    },
    small: { kind: 'model', models: ['lesser'], regions: ['a'] },
    plain: {
      kind: 'plain',
      regions: ['a'],
      identity: { path: '/identity', service: { at: { pointer: '/service' }, is: 'plain' } },
    },
  },
  homes: { ab: { regions: ['a', 'b'] }, c: { regions: ['c'] } },
  teams: {
    testers: { keys: [Deployment.hash(key)], home: 'ab', homes: ['ab'] },
    others: { keys: [Deployment.hash('another-key')], home: 'c' },
  },
  rules: [
    {
      name: 'once',
      match: { path: chat, method: 'POST', models: ['once'] },
      groups: ['llm'],
      runs: 'once',
      home: { header: 'x-home' },
      spill: ['a', 'b', 'c'],
      timeouts: { connect: 1500, first_byte: 1200, per_try: 3500, total: 9000, idle: 2000 },
      body: 20_000,
    },
    {
      name: 'again',
      match: { path: chat, method: 'POST', models: ['again'] },
      groups: ['llm'],
      runs: 'repeatable',
      home: { header: 'x-home' },
      spill: ['a', 'b', 'c'],
      fallback: [{ groups: ['small'], model: 'lesser' }],
      timeouts: { connect: 1500, first_byte: 1200, per_try: 3500, total: 9000, idle: 2000 },
    },
    {
      name: 'slow',
      match: { path: '/slow', method: 'POST' },
      groups: ['plain'],
      runs: 'once',
      timeouts: { total: 700 },
    },
    {
      name: 'plain',
      match: { path: '/stock/*', method: 'GET' },
      groups: ['plain'],
      runs: 'repeatable',
      affinity: false,
    },
  ],
} as unknown as Document;

const readBody = async (incoming: IncomingMessage): Promise<string> => {
  const chunks: Buffer[] = [];
  for await (const chunk of incoming as AsyncIterable<Buffer>) chunks.push(chunk);
  return Buffer.concat(chunks).toString('utf8');
};

const startBackEnd = async (terms: Bench.Terms, address: string): Promise<Bench.BackEnd> => {
  const [host, port] = address.split(':');
  const server = createServer((incoming, response) => {
    if (incoming.url === '/v1/models' || incoming.url === '/identity') {
      response.setHeader('x-instance-id', made.instance);
      response.setHeader('content-type', 'application/json');
      const data = models.map((id) => ({ id, owned_by: made.service }));
      response.end(JSON.stringify({ data, service: made.service }));
      return;
    }
    void readBody(incoming).then((body) => {
      const id = incoming.headers['bramblebend-request-id'];
      if (id !== undefined) response.setHeader('bramblebend-request-id', id);
      made.reached.push({ url: incoming.url ?? '', headers: incoming.headers, body });
      made.handle(incoming, response, body);
    });
  });
  const made: Bench.BackEnd = {
    instance: terms.instance,
    group: terms.group,
    region: terms.region,
    address,
    reached: [],
    handle: terms.handle,
    service: terms.service ?? terms.group,
    server,
    stop: () =>
      new Promise((resolve) => {
        server.close(() => resolve());
        server.closeAllConnections();
      }),
  };
  await new Promise<void>((resolve) => server.listen(Number(port), host, resolve));
  return made;
};

const told = async (address: string, path: string): Promise<unknown> => {
  try {
    const answer = await fetch(`http://${address}${path}`, { signal: AbortSignal.timeout(2000) });
    return await answer.json();
  } catch (error) {
    return String(error);
  }
};

/** A manifest of one plain group, `lookup`, whose servers prove their identity by a header; its routes need no key. */
const openManifest = ({ regions, group = {}, ...more }: Bench.OpenTerms): Document =>
  ({
    zones: manifest.zones,
    groups: {
      lookup: {
        kind: 'plain',
        regions,
        proof: { header: 'x-wanted-instance', misdirected: 421 },
        not_run: [{ status: 421 }],
        ...group,
      },
    },
    homes: { all: { regions } },
    teams: { everybody: { keys: [], home: 'all', open: true } },
    ...more,
  }) as unknown as Document;

export const Bench = {
  manifest,
  openManifest,
  key,
  models,
  sse: (response: ServerResponse, pieces: readonly string[], isWhole = true) => {
    response.writeHead(200, { 'content-type': 'text/event-stream' });
    for (const piece of pieces) response.write(`data: ${piece}\n\n`);
    if (isWhole) response.end('data: [DONE]\n\n');
  },
  /** What each core that runs tells of itself, and the end of its log, for a wait that was given up. */
  async tellCores(cores: readonly FleetKit.Core[]): Promise<void> {
    for (const { node, http, process: one } of cores) {
      if (!one?.isUp()) {
        console.error(`${node} does not run`);
        continue;
      }
      const [health, log] = await Promise.all([told(http, '/health'), told(http, '/log')]);
      console.error(`${node} at ${http}: ${JSON.stringify(health)}`);
      if (!Array.isArray(log)) console.error(`  ${JSON.stringify(log)}`);
      else for (const entry of log.slice(-toldEntries)) console.error(`  ${JSON.stringify(entry)}`);
    }
  },
  async call(
    address: string,
    path: string,
    body: unknown,
    headers: Record<string, string>,
  ): Promise<Bench.Answer> {
    const answer = await request(`http://${address}${path}`, {
      method: body === undefined ? 'GET' : 'POST',
      headers: { authorization: `Bearer ${key}`, 'content-type': 'application/json', ...headers },
      body: body === undefined ? null : typeof body === 'string' ? body : JSON.stringify(body),
      headersTimeout: 20_000,
    });
    let text = '';
    let isBroken = false;
    try {
      for await (const chunk of answer.body) text += String(chunk);
    } catch {
      isBroken = true;
    }
    return { status: answer.statusCode, headers: answer.headers, text, isBroken };
  },
  async start(
    terms: {
      readonly fronts?: number;
      readonly inFirst?: number;
      readonly manifest?: Document;
      readonly hasFaults?: boolean;
      readonly losses?: number;
      readonly builtIn?: (name: string) => URL;
    } = {},
  ): Promise<Bench> {
    const folder = FleetFolder.make();
    const zones = ['a', 'b', 'c'].map((region, index) => ({
      zone: `${region}-1`,
      region,
      fronts: index < (terms.fronts ?? 1) ? (index === 0 ? (terms.inFirst ?? 1) : 1) : 0,
    }));
    const faults = terms.hasFaults ? Faults.open(join(folder, 'faults.json')) : undefined;
    const kit = await FleetKit.start({
      folder,
      ...(faults ? { faults } : {}),
      ...(terms.builtIn ? { builtIn: terms.builtIn } : {}),
      losses: terms.losses ?? 1,
      deployment: { name: 'bench', zones, backEnds: [], manifest: terms.manifest ?? manifest, mix: [] },
    });
    await InForce.putWhenReady(kit, terms.manifest ?? manifest);
    await InForce.everywhere(kit);
    const backEnds: Bench.BackEnd[] = [];
    let serial = 0;
    let port = 9000;
    const call: Bench['call'] = (path, body, headers = {}) =>
      Bench.call(kit.fronts[0]!.listen, path, body, headers);
    return {
      kit,
      faults,
      call,
      chat: (model, more = {}, headers = {}) =>
        call(chat, { model, stream: true, messages: [{ role: 'user', content: 'hello' }], ...more }, headers),
      async list(among) {
        serial += 1;
        const put = await kit.operate(
          'PUT',
          '/v1/servers',
          {
            serial,
            servers: among.map(({ instance, group, address, region }) => ({
              instance,
              group,
              address,
              region,
              zone: `${region}-1`,
            })),
          },
          { authorization: `Bearer ${FleetKit.platformToken}` },
        );
        if (put.status !== 200) throw new Error(JSON.stringify(put.body));
        await InForce.everywhere(kit);
      },
      async backEnd(wanted) {
        port += 1;
        const host = kit.fronts[0]!.listen.split(':')[0]!;
        const made = await startBackEnd(wanted, wanted.address ?? `${host}:${port}`);
        backEnds.push(made);
        return made;
      },
      async stop() {
        await Promise.all(backEnds.map((one) => one.stop()));
        await kit.stop();
        FleetFolder.remove(folder);
      },
    };
  },
};
