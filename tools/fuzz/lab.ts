// A real request path in this process: the callers' port with all its filters, the pool and the tries as the
// proxy starts them, between a client and servers that write raw bytes. Nothing but the control plane is left
// out; the manifest and the list of servers are handed in.
import type { Server } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { connect, createServer } from 'node:net';
import type { Guard } from '../../src/common/guard.js';
import { Instant } from '../../src/common/instant.js';
import { Stamp } from '../../src/common/stamp.js';
import { RetryLimits } from '../../src/duty/retry-limits.js';
import { Compiled } from '../../src/manifest/compiled.js';
import { Document } from '../../src/manifest/document.js';
import { Overload } from '../../src/overload/overload.js';
import { Dialect } from '../../src/proxy/dialect.js';
import { Drain } from '../../src/proxy/drain.js';
import type { Filter } from '../../src/proxy/filter.js';
import { FirstManifest } from '../../src/proxy/first-manifest.js';
import { KeyLease } from '../../src/proxy/key-lease.js';
import { Meters } from '../../src/proxy/meters.js';
import { QuotaLimiter } from '../../src/proxy/quota-limiter.js';
import { ProxyServer } from '../../src/proxy/server.js';
import { Shares } from '../../src/proxy/shares.js';
import { Stall } from '../../src/proxy/stall.js';
import { Budget } from '../../src/upstream/budget.js';
import { Ejector } from '../../src/upstream/ejector.js';
import { FailureScores } from '../../src/upstream/failure-scores.js';
import { HealthChecker } from '../../src/upstream/health-checker.js';
import { InFlight } from '../../src/upstream/in-flight.js';
import { Placement } from '../../src/upstream/placement.js';
import { Pool } from '../../src/upstream/pool.js';
import { SlowStart } from '../../src/upstream/slow-start.js';
import { Warmup } from '../../src/upstream/warmup.js';

export type Lab = {
  /** The address of the callers' port. */
  readonly address: string;
  /** How many requests the proxy counts as being served. */
  readonly active: () => number;
  /** How many connections the proxy holds to servers. */
  readonly connections: () => number;
  readonly inFlight: InFlight;
  /** The callers' port. */
  readonly server: Server;
  /** Changes the limits of callers' connections. */
  readonly setLimits: (limits: Document.Limits) => void;
  /** Begins to announce the close of callers' connections. */
  readonly announceEnd: () => void;
  /** Connections that callers hold open. */
  readonly callers: () => Promise<number>;
  readonly stop: () => Promise<void>;
};

export declare namespace Lab {
  type Server = { readonly instance: string; readonly group: string; readonly address: string };
  type Terms = {
    readonly document: object;
    readonly servers: readonly Server[];
    readonly dialect?: Dialect;
    /** Tokens for extra tries from the start, so that the budget is not what a test meets. */
    readonly tokens?: number;
    /** Replaces a part of the request path, for planted faults. */
    readonly alter?: (needs: Filter.Dependencies) => Filter.Dependencies;
  };
}

const region = 'a';
const zone = 'a-1';
const own = 'proxy-of-the-lab';

const compile = (terms: Lab.Terms): Compiled => {
  const findings: Guard.Finding[] = [];
  if (!Document.manifest(terms.document, '', findings)) throw new Error(JSON.stringify(findings));
  const compiled = Compiled.of({
    stamp: Stamp.of(1, 1),
    manifest: { revision: 1 as never, epoch: 1 as never, document: terms.document as Document },
    platform: {
      revision: 1 as never,
      epoch: 1 as never,
      serial: 1,
      servers: terms.servers.map((one) => ({ ...one, region, zone })) as unknown as Document.Server[],
      leaving: [],
    },
  });
  if (!compiled) throw new Error('the manifest of the lab does not compile');
  return compiled;
};

const makeNeeds = (newest: () => Compiled | undefined, terms: Lab.Terms, active: () => number) => {
  const roster = () => [own];
  const inFlight = InFlight.of();
  const stall = Stall.of();
  const failures = FailureScores.of();
  const slowStart = SlowStart.of(own, roster);
  const budget = Budget.of();
  const amount = (terms.tokens ?? 1000) * RetryLimits.oneToken;
  for (const group of newest()?.groups.keys() ?? [])
    budget.grant(1, [{ group, batches: [{ amount, age: 0 }], wanted: 0 }]);
  const ejector = Ejector.of(() => {});
  const pool: Pool = Pool.of({
    newest,
    onWrongIdentity() {},
    onUnexpectedClose: (server) => healthChecker.suspect(server),
    proxies: () => 1,
  });
  const healthChecker: HealthChecker = HealthChecker.of({
    pool,
    newest,
    isRecentlyHealthy: slowStart.isRecentlyHealthy,
    onUnreachable() {},
    onRecovered() {},
  });
  const needs: Filter.Dependencies = {
    compiled: newest,
    firstManifest: FirstManifest.of(),
    keyLease: KeyLease.of({
      within: () => Number.POSITIVE_INFINITY,
      verifiedAt: () => Instant.past,
      onChange() {},
    }),
    drain: Drain.of({ total: () => 0, takesLong: () => 0 }),
    active,
    maxConcurrent: 512,
    dialect: terms.dialect ?? Dialect,
    zone,
    pool,
    inFlight,
    ejector,
    failures,
    budget,
    quotas: QuotaLimiter.of({ proxies: () => 1, send: () => true }),
    stall,
    slowStart,
    placement: Placement.of({
      failureCosts: failures.costs,
      region: () => newest()?.regionOf(zone),
      zone,
      inFlight,
      hasIdle: pool.hasIdle,
      random: Math.random,
    }),
    warmup: Warmup.of(own, roster),
    healthChecker,
    shares: Shares.of(),
    meters: Meters.of({
      stamp: () => newest()?.stamp ?? Stamp.none,
      held: budget.heldInTotal,
      active,
      age: () => 0,
      keyLease: () => Number.POSITIVE_INFINITY,
    }),
    overload: Overload.of({}),
    note() {},
  };
  return { needs, healthChecker };
};

export const Lab = {
  region,
  /** A manifest with the given groups and rules, open to everybody, all in one zone. */
  document: (groups: object, rules: readonly object[], limits: object = {}): object => ({
    zones: { [zone]: { region } },
    groups,
    homes: { all: { regions: [region] } },
    teams: { everybody: { keys: [], home: 'all', open: true } },
    rules,
    limits,
  }),
  async start(terms: Lab.Terms): Promise<Lab> {
    const compiled = compile(terms);
    let active = 0;
    let isStopped = false;
    const made = makeNeeds(
      () => (isStopped ? undefined : compiled),
      terms,
      () => active,
    );
    const needs = terms.alter ? terms.alter(made.needs) : made.needs;
    const { server, setLimits, announceEnd } = ProxyServer.of(needs, {
      isReady: () => undefined,
      change(by) {
        active += by;
      },
    });
    needs.overload.attach(server);
    setLimits(compiled.limits);
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    return {
      address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
      active: () => active,
      connections: needs.pool.count,
      inFlight: needs.inFlight,
      server,
      setLimits,
      announceEnd,
      callers: () =>
        new Promise((resolve, reject) =>
          server.getConnections((error, count) => (error ? reject(error) : resolve(count))),
        ),
      async stop() {
        isStopped = true;
        server.closeAllConnections();
        await new Promise<void>((resolve) => server.close(() => resolve()));
        made.healthChecker.stop();
        await needs.pool.close();
        needs.stall.stop();
      },
    };
  },
  /** A server that hands each connection to the test, which writes raw bytes on it. */
  async listen(attend: (socket: Socket, serial: number) => void): Promise<{
    readonly address: string;
    readonly sockets: Set<Socket>;
    readonly stop: () => Promise<void>;
  }> {
    const sockets = new Set<Socket>();
    let serial = 0;
    const server = createServer({ noDelay: true }, (socket) => {
      sockets.add(socket);
      socket.on('error', () => {});
      socket.once('close', () => sockets.delete(socket));
      serial += 1;
      attend(socket, serial);
    });
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    return {
      address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
      sockets,
      stop: () =>
        new Promise((resolve) => {
          server.close(() => resolve());
          for (const socket of sockets) socket.destroy();
        }),
    };
  },
  /** A client's connection to the address. */
  connect: (address: string): Promise<Socket> =>
    new Promise((resolve, reject) => {
      const [host, port] = address.split(':');
      const socket = connect({ host: host!, port: Number(port), noDelay: true, allowHalfOpen: true });
      socket.once('error', reject);
      socket.once('connect', () => {
        socket.removeListener('error', reject);
        socket.on('error', () => {});
        resolve(socket);
      });
    }),
};
