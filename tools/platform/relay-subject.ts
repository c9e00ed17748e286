/**
 * One relay in a process of its own, named by the first argument: the request path of a front, or one of three bare
 * relays beside which it is measured. It tells its address, and what it has cost so far whenever it is asked.
 */
import '../../platform/lean/fetch-classes.js';
import { readFileSync } from 'node:fs';
import { createServer, type IncomingMessage, request, type ServerResponse } from 'node:http';
import { type AddressInfo, connect, createServer as createSocketServer, type Server } from 'node:net';
import { PlatformDialect } from '../../platform/dialect.js';
import { Lab } from '../fuzz/lab.js';

/** A relay in a process of its own. */
export declare namespace RelaySubject {
  type Name = 'front' | 'undici' | 'http' | 'net';
  /** Processor milliseconds, reads and writes of the process since it started. */
  type Cost = { readonly processor: number; readonly reads: number; readonly writes: number };
  type Message = { readonly address: string } | { readonly cost: Cost };
}

type Addressed = { readonly host: string; readonly port: number };

const listen = (server: Server): Promise<string> =>
  new Promise((resolve) => {
    server.listen(0, '127.0.0.1', () => resolve(`127.0.0.1:${(server.address() as AddressInfo).port}`));
  });

const readBody = (incoming: IncomingMessage, then: (body: Buffer) => void): void => {
  const chunks: Buffer[] = [];
  incoming.on('data', (chunk: Buffer) => chunks.push(chunk));
  incoming.once('end', () => then(Buffer.concat(chunks)));
};

const passBack = (answer: IncomingMessage, outgoing: ServerResponse): void => {
  outgoing.writeHead(answer.statusCode ?? 502, answer.headers);
  answer.on('data', (chunk: Buffer) => outgoing.write(chunk));
  answer.once('end', () => outgoing.end());
};

const startHttp = async ({ host, port }: Addressed): Promise<string> => {
  const { Agent } = await import('node:http');
  const agent = new Agent({ keepAlive: true });
  return listen(
    createServer((incoming, outgoing) =>
      readBody(incoming, (body) => {
        const { method, url, headers } = incoming;
        const asked = request({ host, port, method, path: url, headers, agent });
        asked.once('response', (answer) => passBack(answer, outgoing));
        asked.end(body);
      }),
    ),
  );
};

const startUndici = async ({ host, port }: Addressed): Promise<string> => {
  const { Agent } = await import('undici');
  const agent = new Agent();
  return listen(
    createServer((incoming, outgoing) =>
      readBody(incoming, (body) => {
        const { 'transfer-encoding': _coding, connection: _connection, ...headers } = incoming.headers;
        agent.dispatch(
          { origin: `http://${host}:${port}`, path: incoming.url!, method: 'POST', headers, body },
          {
            onRequestStart: () => {},
            onResponseStart: (_controller, status, answered) => void outgoing.writeHead(status, answered),
            onResponseData: (_controller, chunk) => void outgoing.write(chunk),
            onResponseEnd: () => void outgoing.end(),
            onResponseError: (_controller, error) => void outgoing.destroy(error),
          },
        );
      }),
    ),
  );
};

/** Passes on whatever comes, over one connection to the server for each of the caller's. */
const startNet = ({ host, port }: Addressed): Promise<string> =>
  listen(
    createSocketServer({ noDelay: true }, (caller) => {
      const server = connect({ host, port, noDelay: true });
      caller.on('data', (chunk) => void server.write(chunk));
      server.on('data', (chunk) => void caller.write(chunk));
      for (const socket of [caller, server]) socket.on('error', () => socket.destroy());
      caller.once('close', () => server.destroy());
    }),
  );

const spans = { connect: 1000, first_byte: 5000, per_try: 5000, total: 5000, idle: 5000 };

const rule = {
  name: 'stream',
  match: { path: '/stream/*', host: 'serve.example' },
  groups: ['llm'],
  runs: 'once',
  home: { regions: [Lab.region] },
  affinity: true,
  timeouts: spans,
  aim: 800,
  gap: 600,
  retry: { retry_on: ['connect-failure', 'refused-stream'], count: 1, base: 10, max: 100 },
};

const group = {
  kind: 'plain',
  regions: [Lab.region],
  proof: { header: 'target-instance', misdirected: 421 },
  not_run: [{ status: 421 }, ...[400, 429, 503].map((status) => ({ status, header: 'not-executed' }))],
  connections: 370,
};

const startFront = async ({ host, port }: Addressed): Promise<string> => {
  const lab = await Lab.start({
    document: Lab.document({ llm: group }, [rule]),
    servers: [{ instance: 'i-1', group: 'llm', address: `${host}:${port}` }],
    dialect: PlatformDialect,
  });
  return lab.address;
};

const starts: Readonly<Record<RelaySubject.Name, (server: Addressed) => Promise<string>>> = {
  front: startFront,
  undici: startUndici,
  http: startHttp,
  net: startNet,
};

const costSoFar = (): RelaySubject.Cost => {
  const { user, system } = process.cpuUsage();
  const io = readFileSync('/proc/self/io', 'utf8');
  const count = (name: string) => Number(new RegExp(`^${name}: (\\d+)`, 'm').exec(io)?.[1]);
  return { processor: (user + system) / 1000, reads: count('syscr'), writes: count('syscw') };
};

const tell = (message: RelaySubject.Message): void => void process.send?.(message);

const [name, at = ''] = process.argv.slice(2);
const [host = '', port] = at.split(':');
process.on('message', () => tell({ cost: costSoFar() }));
process.once('disconnect', () => process.exit(0));
tell({ address: await starts[name as RelaySubject.Name]({ host, port: Number(port) }) });
