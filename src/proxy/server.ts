/**
 * The callers' port: every call goes through the chain of filters, each of which may answer. What a caller may send, how
 * long its head may take and how long its connection may rest follows the newest manifest; a connection that was opened
 * under another bound of its head ends behind its next answer, since its parser keeps the old one.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { Failure } from '../kinds/failure.js';
import { Moment } from '../kinds/moment.js';
import type { Document } from '../manifest/document.js';
import type { Call } from './call.js';
import type { Filter } from './filter.js';
import { Admit } from './filters/admit.js';
import { Attempt } from './filters/attempt.js';
import { Commit } from './filters/commit.js';
import { Home } from './filters/home.js';
import { ListModels } from './filters/list-models.js';
import { MatchRule } from './filters/match-rule.js';
import { Quota } from './filters/quota.js';
import { Target } from './filters/target.js';
import { Responses } from './responses.js';

/** The callers' port. */
export type ProxyServer = {
  readonly server: Server;
  /** Takes the machine's limits as the newest manifest has them. */
  readonly setLimits: (limits: Document.Limits) => void;
};

type Held = { readonly header_bytes: number; readonly header_time: number; readonly idle: number };

const usual: Held = { header_bytes: 16 * 1024, header_time: 10_000, idle: 15_000 };
const requestTime = 30_000;

/**
 * Node.js closes the answer under way when a caller goes, and says nothing to the answers that wait behind it on
 * the same connection; those are closed here.
 */
const endWithConnection = ({ socket }: IncomingMessage, outgoing: ServerResponse): void => {
  if (outgoing.socket && !socket.destroyed) return;
  let isClosed = false;
  const close = () => {
    if (isClosed) return;
    outgoing.destroy();
    outgoing.emit('close');
  };
  const end = () => void setImmediate(close);
  outgoing.once('close', () => {
    isClosed = true;
    socket.removeListener('close', end);
  });
  if (socket.destroyed) end();
  else socket.once('close', end);
};

type Probes = {
  readonly isReady: () => string | undefined;
  readonly isDraining: () => boolean;
  readonly change: (by: number) => void;
};

/** The parts of a node's own words that its callers' port answers too. */
const probeOf = (needs: Filter.Dependencies, probes: Probes): Filter => {
  const isOwn = needs.dialect.isOpenAi;
  return (call) => {
    if (!isOwn || call.method !== 'GET') return 'next';
    if (call.path === '/health') return Responses.json(call, 200, {}, { status: 'up' });
    if (call.path !== '/ready') return 'next';
    const reason = probes.isReady();
    return reason === undefined
      ? Responses.json(call, 200, {}, { ready: true })
      : Responses.json(call, 503, {}, { ready: false, reason });
  };
};

const callOf = (needs: Filter.Dependencies, incoming: IncomingMessage, outgoing: ServerResponse): Call => {
  const { dialect } = needs;
  const left = new AbortController();
  // Without a listener a late write to a caller that has left would end the process.
  outgoing.on('error', () => {});
  outgoing.once('close', () => {
    if (!outgoing.writableFinished) left.abort(Failure.of('left', 'the client left'));
  });
  const asked = dialect.parse(incoming.headers);
  return {
    id: asked.id,
    arrivedAt: Moment.now(),
    incoming,
    outgoing,
    method: incoming.method ?? 'GET',
    path: Target.path(incoming),
    clientAbort: left.signal,
    dialect,
    requestInfo: asked,
  };
};

const pass = async (filters: readonly Filter[], call: Call): Promise<void> => {
  for (const filter of filters) {
    const step = filter(call);
    if ((typeof step === 'string' ? step : await step) === 'answered') return;
  }
};

const refuseFailed = (needs: Filter.Dependencies, call: Call, error: unknown): void => {
  needs.note('failure in a filter', { why: Failure.text(error) });
  Responses.refuse(call, {
    status: call.attemptResult === undefined ? 500 : 502,
    code: 'internal',
    text: 'something went wrong here',
    ran: 'unknown',
  });
};

const filtersOf = (needs: Filter.Dependencies): readonly Filter[] => [
  Target.filter(),
  Admit.filter(needs),
  ...(needs.dialect.isOpenAi ? [ListModels.filter()] : []),
  MatchRule.filter(),
  Home.filter(),
  Quota.filter(needs),
  Attempt.filter(needs),
  Commit.filter(needs),
];

/** Answers requests one by one; `isOutdated` tells a connection that was opened under another bound. */
const handlerOf = (needs: Filter.Dependencies, probes: Probes, isOutdated: (socket: object) => boolean) => {
  const filters = filtersOf(needs);
  const probe = probeOf(needs, probes);
  return async (incoming: IncomingMessage, outgoing: ServerResponse): Promise<void> => {
    const call = callOf(needs, incoming, outgoing);
    if (probe(call) === 'answered') return;
    endWithConnection(incoming, outgoing);
    outgoing.once('close', () => probes.change(-1));
    probes.change(1);
    if (probes.isDraining() || isOutdated(incoming.socket)) outgoing.shouldKeepAlive = false;
    try {
      await pass(filters, call);
      Quota.refundIfNotRun(call);
    } catch (error) {
      refuseFailed(needs, call, error);
    }
  };
};

export const ProxyServer = {
  of(needs: Filter.Dependencies, probes: Probes): ProxyServer {
    let limits = usual;
    const openedUnder = new WeakMap<object, number>();
    const handle = handlerOf(needs, probes, (socket) => openedUnder.get(socket) !== limits.header_bytes);
    const server = createServer(
      {
        headersTimeout: usual.header_time,
        requestTimeout: requestTime,
        keepAliveTimeout: usual.idle,
        maxHeaderSize: usual.header_bytes,
        connectionsCheckingInterval: 1000,
      },
      (incoming, outgoing) => void handle(incoming, outgoing),
    ) as Server & { maxHeaderSize: number };
    server.prependListener('connection', (socket) => openedUnder.set(socket, limits.header_bytes));
    return {
      server,
      setLimits({ header_bytes, header_time, idle }) {
        limits = {
          header_bytes: header_bytes ?? usual.header_bytes,
          header_time: header_time ?? usual.header_time,
          idle: idle ?? usual.idle,
        };
        server.maxHeaderSize = limits.header_bytes;
        server.headersTimeout = limits.header_time;
        server.requestTimeout = Math.max(requestTime, limits.header_time);
        server.keepAliveTimeout = limits.idle;
      },
    };
  },
};
