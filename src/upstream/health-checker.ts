// Which servers are dark to this proxy: a connect or a proof of identity failed, or another proxy said so.
// A dark server gets no request. One task for each dark server proves it again in the background, with
// back-off, and what it proved is kept as a connection; only then may requests go there. A server that makes
// a request wait, or that ended a connection just used, is asked beside the requests before one fails there. Who still
// waits for an answer of a server is told when it is found dark. What was only heard from another proxy is proved once at
// once, so that nobody is believed who merely is cut off himself, then seldom, and given up when a proxy says that the
// server is back: else each loss costs many times as many connections as there are proxies times servers.

import { Moment } from '../kinds/moment.js';
import { Timer } from '../kinds/timer.js';
import type { Compiled } from '../manifest/compiled.js';
import type { Connection } from './connection.js';
import type { Pool } from './pool.js';

export type HealthChecker = {
  readonly isUnreachable: (instance: string) => boolean;
  readonly lost: (server: Compiled.Server) => void;
  readonly suspect: (server: Compiled.Server) => void;
  readonly reportUnreachable: (instance: string) => void;
  /** Another proxy has proved again a server that this one only heard to be dark. */
  readonly reportRecovered: (instance: string) => void;
  /** Calls back once this proxy has found the server dark; the function returned ends the watch. */
  readonly watch: (instance: string, see: () => void) => () => void;
  readonly unreachable: () => readonly string[];
  readonly retain: (compiled: Compiled) => void;
  readonly stop: () => void;
};

export declare namespace HealthChecker {
  type Needs = {
    readonly pool: Pool;
    readonly newest: () => Compiled | undefined;
    readonly isRecentlyHealthy: (instance: string) => boolean;
    readonly onUnreachable: (server: Compiled.Server) => void;
    readonly onRecovered: (server: Compiled.Server) => void;
  };
}

type Darkness = { readonly stop: AbortController; readonly isHearsay: boolean };

const proveWithin = 500;
const first = 150;
const longest = 1500;
/** Rests between proofs of a server that another proxy found dark, once the first proof, made at once, has failed. */
const afterHearsay = { first: 1500, longest: 4000 } as const;
const askAgainAfter = 1000;

/** Who waits for an answer of which server. */
const watchersByServer = () => {
  const watchers = new Map<string, Set<() => void>>();
  return {
    tell(instance: string): void {
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

const prove = async (
  needs: HealthChecker.Needs,
  server: Compiled.Server,
  stop: AbortSignal,
): Promise<Connection | undefined> => {
  const group = needs.newest()?.groups.get(server.group);
  if (!group) return undefined;
  const limit = AbortSignal.any([stop, AbortSignal.timeout(proveWithin)]);
  return needs.pool.open(server, group, limit).catch(() => undefined);
};

type Proving = {
  readonly instance: string;
  readonly darkness: Darkness;
  /** What was only heard is not proved at the first try. */
  readonly onConfirmed: (server: Compiled.Server) => void;
  readonly onProved: (server: Compiled.Server, isNews: boolean) => void;
};

/** Proves a dark server again and again, until it answers, has left the list or is stopped. */
const proveUntilBack = async (needs: HealthChecker.Needs, proving: Proving): Promise<void> => {
  const { instance, darkness, onConfirmed, onProved } = proving;
  const { stop, isHearsay } = darkness;
  const rests = isHearsay ? afterHearsay : { first, longest };
  let span = isHearsay ? 0 : first;
  for (let count = 0; !stop.signal.aborted; count += 1) {
    await Timer.pause(span * (0.75 + Math.random() / 2), stop.signal);
    const server = find(needs, instance);
    if (!server || stop.signal.aborted) return;
    const connection = await prove(needs, server, stop.signal);
    if (connection) {
      needs.pool.give(connection);
      return onProved(server, !isHearsay || count > 0);
    }
    // A proof that was broken off has proved nothing.
    if (stop.signal.aborted) return;
    if (isHearsay && count === 0) onConfirmed(server);
    span = Math.min(rests.longest, Math.max(rests.first, span * 2));
  }
};

export const HealthChecker = {
  of(needs: HealthChecker.Needs): HealthChecker {
    const dark = new Map<string, Darkness>();
    const askedAt = new Map<string, Moment>();
    const watchers = watchersByServer();
    const tellDark = (server: Compiled.Server) => {
      needs.onUnreachable(server);
      watchers.tell(server.instance);
    };
    const begin = async (instance: string, isHearsay: boolean) => {
      const darkness = { stop: new AbortController(), isHearsay };
      dark.set(instance, darkness);
      await proveUntilBack(needs, {
        instance,
        darkness,
        onConfirmed: tellDark,
        onProved(server, isNews) {
          dark.delete(instance);
          if (isNews) needs.onRecovered(server);
        },
      });
      if (dark.get(instance) === darkness) dark.delete(instance);
    };
    const lost = (server: Compiled.Server) => {
      if (dark.has(server.instance)) return;
      tellDark(server);
      void begin(server.instance, false);
    };
    return {
      isUnreachable: (instance) => dark.has(instance),
      unreachable: () => [...dark.keys()],
      lost,
      watch: watchers.add,
      suspect(server) {
        const asked = askedAt.get(server.instance) ?? Moment.past;
        if (dark.has(server.instance) || Moment.since(asked) < askAgainAfter) return;
        askedAt.set(server.instance, Moment.now());
        void prove(needs, server, new AbortController().signal).then((connection) => {
          if (connection) needs.pool.give(connection);
          else if (find(needs, server.instance)) lost(server);
        });
      },
      reportUnreachable(instance) {
        if (!dark.has(instance) && find(needs, instance) && !needs.isRecentlyHealthy(instance))
          void begin(instance, true);
      },
      reportRecovered(instance) {
        const held = dark.get(instance);
        if (!held?.isHearsay) return;
        dark.delete(instance);
        held.stop.abort();
      },
      retain(compiled) {
        for (const [instance, { stop }] of dark) if (!compiled.servers.has(instance)) stop.abort();
        for (const instance of askedAt.keys()) if (!compiled.servers.has(instance)) askedAt.delete(instance);
      },
      stop() {
        for (const { stop } of dark.values()) stop.abort();
      },
    };
  },
};
