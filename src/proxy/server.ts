/**
 * The HTTP server for clients: every request passes through a chain of filters, each of which may answer it. Limits on
 * headers, bodies and idle connections follow the newest manifest; connections opened under other limits are closed.
 */
import { createServer, type IncomingMessage, type Server } from 'node:http';
import { Failure } from '../common/failure.js';
import { Instant } from '../common/instant.js';
import type { Document } from '../manifest/document.js';
import { ClientConnection } from '../overload/client-connection.js';
import { ClientResponse } from '../overload/client-response.js';
import type { Call } from './call.js';
import { ClientConnections } from './client-connections.js';
import type { Filter } from './filter.js';
import { Admit } from './filters/admit.js';
import { Attempt } from './filters/attempt.js';
import { Commit } from './filters/commit.js';
import { Home } from './filters/home.js';
import { LastRequests } from './filters/last-requests.js';
import { ListModels } from './filters/list-models.js';
import { MatchRule } from './filters/match-rule.js';
import { Quota } from './filters/quota.js';
import { Target } from './filters/target.js';
import { Responses } from './responses.js';

/** The HTTP server for clients. */
export type ProxyServer = {
  readonly server: Server;
  /** Applies the connection limits of the newest manifest. */
  readonly setLimits: (limits: Document.Limits) => void;
  /** Begins to announce the close of each connection with its next response. */
  readonly announceEnd: () => void;
};

type ConnectionLimits = {
  readonly header_bytes: number;
  readonly header_time: number;
  readonly idle: number;
};

/** Defaults, in bytes and milliseconds, where the manifest sets no limit. */
const defaults: ConnectionLimits = { header_bytes: 16 * 1024, header_time: 10_000, idle: 15_000 };
/** Time for receiving a whole request, in milliseconds, unless the header timeout is longer. */
const requestTimeoutMs = 30_000;

type Probes = {
  /** The reason why the proxy is not ready; undefined when it is ready. */
  readonly isReady: () => string | undefined;
  /** Changes the number of active requests by the given amount. */
  readonly change: (by: number) => void;
};

/** Answers the health and readiness checks of the product, which are also available on the client port. */
const createProbeFilter = (needs: Filter.Dependencies, probes: Probes): Filter => {
  const hasProbes = needs.dialect.isOpenAi;
  return (call) => {
    if (!hasProbes || call.method !== 'GET') return 'next';
    if (call.path === '/health') return Responses.json(call, 200, {}, { status: 'up' });
    if (call.path !== '/ready') return 'next';
    const reason = probes.isReady();
    return reason === undefined
      ? Responses.json(call, 200, {}, { ready: true })
      : Responses.json(call, 503, {}, { ready: false, reason });
  };
};

const createCall = (
  needs: Filter.Dependencies,
  incoming: IncomingMessage,
  outgoing: ClientResponse,
): Call => {
  const { dialect } = needs;
  const abort = new AbortController();
  // Without a listener, a late write to a disconnected client would crash the process.
  outgoing.on('error', () => {});
  outgoing.once('close', () => {
    if (!outgoing.writableFinished) abort.abort(Failure.of('left', 'the client left'));
  });
  const requestInfo = dialect.parse(incoming.headers);
  return {
    id: requestInfo.id,
    arrivedAt: Instant.now(),
    incoming,
    outgoing,
    method: incoming.method ?? 'GET',
    path: Target.path(incoming),
    clientAbort: abort.signal,
    dialect,
    requestInfo,
  };
};

const runFilters = async (filters: readonly Filter[], call: Call): Promise<void> => {
  for (const filter of filters) {
    const step = filter(call);
    if ((typeof step === 'string' ? step : await step) === 'answered') return;
  }
};

const answerInternalError = (needs: Filter.Dependencies, call: Call, error: unknown): void => {
  needs.note('request filter failed', { why: Failure.text(error) });
  Responses.refuse(call, {
    status: call.attemptResult === undefined ? 500 : 502,
    code: 'internal',
    text: 'something went wrong here',
    ran: 'unknown',
  });
};

const createFilters = (needs: Filter.Dependencies): readonly Filter[] => [
  Target.filter(),
  Admit.filter(needs),
  ...(needs.dialect.isOpenAi ? [ListModels.filter()] : []),
  MatchRule.filter(),
  LastRequests.filter(needs),
  Home.filter(),
  Quota.filter(needs),
  Attempt.filter(needs),
  Commit.filter(needs),
];

/** Handles requests. */
const createHandler = (needs: Filter.Dependencies, probes: Probes) => {
  const filters = createFilters(needs);
  const probe = createProbeFilter(needs, probes);
  const handle = async (call: Call): Promise<void> => {
    const { outgoing, clientAbort } = call;
    if (clientAbort.aborted || probe(call) === 'answered') return;
    outgoing.once('close', () => probes.change(-1));
    probes.change(1);
    try {
      await runFilters(filters, call);
      Quota.refundIfNotRun(call);
    } catch (error) {
      answerInternalError(needs, call, error);
    }
  };
  return (incoming: IncomingMessage, outgoing: ClientResponse): void => {
    const call = createCall(needs, incoming, outgoing);
    ClientConnection.of(incoming.socket).takeTurn(outgoing, () => void handle(call));
  };
};

/** Creates the HTTP server for clients. */
export const ProxyServer = {
  of(needs: Filter.Dependencies, probes: Probes): ProxyServer {
    const server = createServer(
      {
        ServerResponse: ClientResponse,
        headersTimeout: defaults.header_time,
        requestTimeout: requestTimeoutMs,
        keepAliveTimeout: defaults.idle,
        maxHeaderSize: defaults.header_bytes,
        connectionsCheckingInterval: 1000,
      },
      createHandler(needs, probes),
    ) as Server & { maxHeaderSize: number };
    const connections = ClientConnections.attach(server, {
      headerBytes: defaults.header_bytes,
      idleMs: defaults.idle,
    });
    return {
      server,
      announceEnd: connections.announceEnd,
      setLimits({ header_bytes, header_time, idle }) {
        const headerBytes = header_bytes ?? defaults.header_bytes;
        const idleMs = idle ?? defaults.idle;
        server.maxHeaderSize = headerBytes;
        server.headersTimeout = header_time ?? defaults.header_time;
        server.requestTimeout = Math.max(requestTimeoutMs, server.headersTimeout);
        server.keepAliveTimeout = idleMs;
        connections.setLimits({ headerBytes, idleMs });
      },
    };
  },
};
