/**
 * Active health checks of unreachable ("dark") servers. A server is unreachable to this proxy when a connection or the
 * check of its identity failed here, or when another proxy reported it. It gets no requests. One background task per
 * unreachable server opens a connection again with back-off; requests resume once its identity is verified, and the
 * connection goes to the pool. A server that delays a request, or that closed a connection just used, is checked in
 * parallel before a request fails there. Requests that wait for a server are told when it is found unreachable.
 *
 * A report of another proxy is checked once at once, so that a proxy that has lost its own network is not believed; then
 * seldom, and no more once a proxy reports that the server is back. Otherwise each failure would cost many times as many
 * connections as there are proxies times servers.
 */

import { Instant } from '../common/instant.js';
import { Timer } from '../common/timer.js';
import type { Compiled } from '../manifest/compiled.js';
import type { Connection } from './connection.js';
import type { Pool } from './pool.js';

/** Tracks which servers this proxy can't reach. */
export type HealthChecker = {
  readonly isUnreachable: (instance: string) => boolean;
  /** Marks a server unreachable after a failure seen here. */
  readonly lost: (server: Compiled.Server) => void;
  /** Checks a server in the background and marks it unreachable if the check fails. */
  readonly suspect: (server: Compiled.Server) => void;
  /** Another proxy has found a server unreachable. */
  readonly reportUnreachable: (instance: string) => void;
  /** Another proxy has reached a server again that this one knew only from a report to be unreachable. */
  readonly reportRecovered: (instance: string) => void;
  /** Calls back once this proxy has found the server unreachable; the function returned ends the watch. */
  readonly watch: (instance: string, see: () => void) => () => void;
  readonly unreachable: () => readonly string[];
  readonly retain: (compiled: Compiled) => void;
  readonly stop: () => void;
};

export declare namespace HealthChecker {
  /** What the checks use, and who is told of their results. */
  type Needs = {
    readonly pool: Pool;
    readonly newest: () => Compiled | undefined;
    readonly isRecentlyHealthy: (instance: string) => boolean;
    readonly onUnreachable: (server: Compiled.Server) => void;
    readonly onRecovered: (server: Compiled.Server) => void;
  };
}

type Outage = { readonly stop: AbortController; readonly isReported: boolean };

const checkTimeoutMs = 500;
const initialBackoffMs = 150;
const maxBackoffMs = 1500;
/** Back-off in ms for a server that another proxy reported, once the first check, made at once, has failed. */
const reportedBackoffMs = { first: 1500, longest: 4000 } as const;
/** At most one check of a suspected server within this time. */
const suspectIntervalMs = 1000;

/** Callbacks by the server that they wait for. */
const createWatchers = () => {
  const watchers = new Map<string, Set<() => void>>();
  return {
    notify(instance: string): void {
      for (const see of [...(watchers.get(instance) ?? [])]) see();
    },
    add(instance: string, see: () => void): () => void {
      const watching = watchers.get(instance) ?? new Set();
      watchers.set(instance, watching);
      watching.add(see);
      return () => {
        watching.delete(see);
        if (watching.size === 0 && watchers.get(instance) === watching) watchers.delete(instance);
      };
    },
  };
};

const find = (needs: HealthChecker.Needs, instance: string): Compiled.Server | undefined =>
  needs.newest()?.servers.get(instance);

/** Opens a connection, which verifies the server's identity; undefined when that failed. */
const check = async (
  needs: HealthChecker.Needs,
  server: Compiled.Server,
  stop: AbortSignal,
): Promise<Connection | undefined> => {
  const group = needs.newest()?.groups.get(server.group);
  if (!group) return undefined;
  const limit = AbortSignal.any([stop, AbortSignal.timeout(checkTimeoutMs)]);
  return needs.pool.open(server, group, limit).catch(() => undefined);
};

type Checks = {
  readonly instance: string;
  readonly outage: Outage;
  /** Called when the first check after a report of another proxy fails here too. */
  readonly onConfirmed: (server: Compiled.Server) => void;
  readonly onHealthy: (server: Compiled.Server, wasConfirmed: boolean) => void;
};

/** Checks an unreachable server until it answers, has left the list or the checks are stopped. */
const checkUntilHealthy = async (needs: HealthChecker.Needs, checks: Checks): Promise<void> => {
  const { instance, outage, onConfirmed, onHealthy } = checks;
  const { stop, isReported } = outage;
  const backoff = isReported ? reportedBackoffMs : { first: initialBackoffMs, longest: maxBackoffMs };
  let delay = isReported ? 0 : initialBackoffMs;
  for (let count = 0; !stop.signal.aborted; count += 1) {
    await Timer.sleep(delay * (0.75 + Math.random() / 2), stop.signal);
    const server = find(needs, instance);
    if (!server || stop.signal.aborted) return;
    const connection = await check(needs, server, stop.signal);
    if (connection) {
      needs.pool.give(connection);
      return onHealthy(server, !isReported || count > 0);
    }
    // A check that was aborted says nothing of the server.
    if (stop.signal.aborted) return;
    if (isReported && count === 0) onConfirmed(server);
    delay = Math.min(backoff.longest, Math.max(backoff.first, delay * 2));
  }
};

/** Creates a checker that takes every server for reachable. */
export const HealthChecker = {
  of(needs: HealthChecker.Needs): HealthChecker {
    const outages = new Map<string, Outage>();
    const checkedAt = new Map<string, Instant>();
    const watchers = createWatchers();
    const notifyUnreachable = (server: Compiled.Server) => {
      needs.onUnreachable(server);
      watchers.notify(server.instance);
    };
    const startChecks = async (instance: string, isReported: boolean) => {
      const outage = { stop: new AbortController(), isReported };
      outages.set(instance, outage);
      await checkUntilHealthy(needs, {
        instance,
        outage,
        onConfirmed: notifyUnreachable,
        onHealthy(server, wasConfirmed) {
          outages.delete(instance);
          if (wasConfirmed) needs.onRecovered(server);
        },
      });
      if (outages.get(instance) === outage) outages.delete(instance);
    };
    const lost = (server: Compiled.Server) => {
      if (outages.has(server.instance)) return;
      notifyUnreachable(server);
      void startChecks(server.instance, false);
    };
    return {
      isUnreachable: (instance) => outages.has(instance),
      unreachable: () => [...outages.keys()],
      lost,
      watch: watchers.add,
      suspect(server) {
        const last = checkedAt.get(server.instance) ?? Instant.past;
        if (outages.has(server.instance) || Instant.since(last) < suspectIntervalMs) return;
        checkedAt.set(server.instance, Instant.now());
        void check(needs, server, new AbortController().signal).then((connection) => {
          if (connection) needs.pool.give(connection);
          else if (find(needs, server.instance)) lost(server);
        });
      },
      reportUnreachable(instance) {
        if (!outages.has(instance) && find(needs, instance) && !needs.isRecentlyHealthy(instance))
          void startChecks(instance, true);
      },
      reportRecovered(instance) {
        const outage = outages.get(instance);
        if (!outage?.isReported) return;
        outages.delete(instance);
        outage.stop.abort();
      },
      retain(compiled) {
        for (const [instance, { stop }] of outages) if (!compiled.servers.has(instance)) stop.abort();
        for (const instance of checkedAt.keys())
          if (!compiled.servers.has(instance)) checkedAt.delete(instance);
      },
      stop() {
        for (const { stop } of outages.values()) stop.abort();
      },
    };
  },
};
