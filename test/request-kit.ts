// Test kit for the real request path between a raw client and raw servers: the script of a server answers each request
// with arbitrary bytes, and the requests that arrived are recorded.
import type { Socket } from 'node:net';
import { PlatformDialect } from '../platform/dialect.js';
import { Lab } from '../tools/fuzz/lab.js';
import { RawHttp } from '../tools/fuzz/raw-http.js';

/** Types of the scripted servers. */
export declare namespace RequestKit {
  type Arrival = RawHttp.Request & { readonly socket: Socket; readonly connection: number };
  type Script = (arrival: Arrival) => void;
}
type Arrival = RequestKit.Arrival;
type Script = RequestKit.Script;

const cleanups: (() => Promise<unknown>)[] = [];

const group = (more: object = {}) => ({
  kind: 'plain',
  regions: [Lab.region],
  proof: { header: 'target-instance', misdirected: 421 },
  not_run: [{ status: 421 }, ...[400, 429, 503].map((status) => ({ status, header: 'not-executed' }))],
  ejection: { consecutive_5xx: 1000 },
  ...more,
});
const rule = (name: string, runs: string, more: object = {}) => ({
  name,
  match: { path: `/${name}/*` },
  groups: ['g'],
  runs,
  home: { regions: [Lab.region] },
  affinity: false,
  timeouts: { connect: 1000, first_byte: 2000, per_try: 3000, total: 3000, idle: 3000 },
  retry: { retry_on: ['connect-failure', 'refused-stream', 'reset', '5xx'], count: 2, base: 1, max: 2 },
  ...more,
});
const document = (
  more: object = {},
  rules: readonly object[] = [rule('once', 'once'), rule('safe', 'repeatable')],
) => Lab.document({ g: group(more) }, rules, { body_bytes: 8 * 1024 * 1024 });

/** Starts a server whose script answers each request with raw bytes, and records the requests that arrive. */
const serve = async (script: Script, onHead: Script = () => {}) => {
  const arrivals: Arrival[] = [];
  const server = await Lab.listen((socket, connection) => {
    const toArrival = (request: RawHttp.Request): Arrival => ({ ...request, socket, connection });
    RawHttp.readRequests(
      socket,
      (request) => {
        const arrival = toArrival(request);
        arrivals.push(arrival);
        script(arrival);
      },
      (request) => onHead(toArrival(request)),
    );
  });
  cleanups.push(server.stop);
  return { ...server, arrivals };
};
const start = async (terms: {
  readonly servers: readonly { readonly address: string }[];
  readonly isPlatform?: boolean;
  readonly document?: object;
  /** Replaces a component of the request path. */
  readonly alter?: Lab.Terms['alter'];
}) => {
  const lab = await Lab.start({
    ...(terms.alter ? { alter: terms.alter } : {}),
    document: terms.document ?? document(),
    servers: terms.servers.map(({ address }, index) => ({ instance: `i-${index}`, group: 'g', address })),
    ...(terms.isPlatform === false ? {} : { dialect: PlatformDialect }),
  });
  cleanups.push(lab.stop);
  return lab;
};
const reply = (arrival: Arrival, body: string, more: Record<string, string> = {}, status = 200) =>
  arrival.socket.write(
    RawHttp.answer(status, { 'attempt-id': arrival.headers['attempt-id'] ?? '', ...more }, body),
  );
let serial = 0;
const request = (path: string, more: Record<string, string> = {}, body = 'asked') => {
  serial += 1;
  return RawHttp.request('POST', path, { host: 'h.example', 'attempt-id': `t${serial}`, ...more }, body);
};
const ask = async (lab: Lab, bytes: string): Promise<RawHttp.Answer> => {
  const socket = await Lab.connect(lab.address);
  const answer = RawHttp.readAnswer(socket);
  socket.write(bytes);
  return answer.finally(() => socket.destroy());
};

/** Starts proxies and scripted servers, and sends raw requests. */
export const RequestKit = {
  group,
  rule,
  document,
  serve,
  start,
  reply,
  request,
  ask,
  /** Stops everything that the test started. */
  async end(): Promise<void> {
    for (const one of cleanups.splice(0).reverse()) await one();
  },
};
