/**
 * Pool of connections whose server identity was verified, by instance. A connection is taken for one exchange and given
 * back. Idle connections of an instance that the newest manifest or platform list no longer holds at that address are
 * closed. A server's connection limit covers all proxies together: each proxy holds an equal share, closes an idle
 * connection before it opens one beyond its share, and opens none for a request that would exceed it.
 */
import { Address } from '../common/address.js';
import { Failure } from '../common/failure.js';
import { Instant } from '../common/instant.js';
import type { Compiled } from '../manifest/compiled.js';
import { Connection } from './connection.js';

/** Connections to servers, kept open between exchanges. */
export type Pool = {
  /** Returns a connection that may carry the request: an idle one, or else a new one. */
  readonly take: (
    server: Compiled.Server,
    group: Compiled.Group,
    signal: AbortSignal,
    mayCarry: (connection: Connection) => boolean,
  ) => Promise<Connection>;
  readonly open: (server: Compiled.Server, group: Compiled.Group, signal: AbortSignal) => Promise<Connection>;
  readonly give: (connection: Connection) => void;
  readonly retain: (compiled: Compiled) => void;
  readonly close: () => Promise<void>;
  readonly count: () => number;
  readonly hasIdle: (instance: string) => boolean;
  /** The most connections that this proxy may hold to one server of the group. */
  readonly connectionLimit: (group: Compiled.Group) => number;
};

/** Most idle connections kept per server. */
const maxIdle = 32;
/** An idle connection used within this time that closes hints that its server has failed. */
const recentlyUsedMs = 3000;
/** Share of a server's connection limit that the proxies use together. */
const usableShare = 0.95;
const minConnections = 3;

const isListed = (compiled: Compiled | undefined, server: Compiled.Server): boolean => {
  const listed = compiled?.servers.get(server.instance);
  return (
    listed !== undefined &&
    listed.group === server.group &&
    Address.text(listed.address) === Address.text(server.address)
  );
};

/** Creates an empty pool. */
export const Pool = {
  of(terms: {
    readonly onWrongIdentity: (server: Compiled.Server, cause: Error) => void;
    readonly newest: () => Compiled | undefined;
    readonly onUnexpectedClose: (server: Compiled.Server) => void;
    readonly proxies: () => number;
  }): Pool {
    const idle = new Map<string, Connection[]>();
    const all = new Set<Connection>();
    const usedAt = new WeakMap<Connection, Instant>();
    const remove = (connection: Connection) => {
      all.delete(connection);
      const list = idle.get(connection.server.instance);
      if (!list?.includes(connection)) return;
      idle.set(
        connection.server.instance,
        list.filter((one) => one !== connection),
      );
      if (Instant.since(usedAt.get(connection) ?? Instant.past) < recentlyUsedMs)
        terms.onUnexpectedClose(connection.server);
    };
    const counts = new Map<string, number>();
    // The highest count seen, since a proxy that is missing from the roster may still hold connections.
    let maxProxies = 1;
    const connectionLimit: Pool['connectionLimit'] = ({ connections }) => {
      maxProxies = Math.max(maxProxies, terms.proxies());
      if (connections === undefined) return Number.POSITIVE_INFINITY;
      return Math.max(minConnections, Math.floor((connections * usableShare) / maxProxies));
    };
    const changeCount = (instance: string, by: number) => {
      const count = (counts.get(instance) ?? 0) + by;
      if (count > 0) counts.set(instance, count);
      else counts.delete(instance);
    };
    const isFull = (instance: string, group: Compiled.Group) =>
      (counts.get(instance) ?? 0) >= connectionLimit(group);
    const closeOldestIdle = (instance: string) => {
      const [oldest] = idle.get(instance) ?? [];
      if (oldest) void oldest.destroy();
    };
    /** Keeps one connection that carries no more requests, whose closing shows that the server is gone; ends others. */
    const addIdle = (connection: Connection) => {
      const { instance } = connection.server;
      const list = idle.get(instance) ?? [];
      const exhausted = list.filter((one) => !one.mayCarry(true));
      idle.set(instance, [...list.filter((one) => !exhausted.includes(one)), connection]);
      for (const one of exhausted) void one.destroy();
    };
    /** Takes the most recently used idle connection that may carry the request; closes those that are unusable. */
    const takeIdle = (
      server: Compiled.Server,
      mayCarry: (connection: Connection) => boolean,
    ): Connection | undefined => {
      const list = idle.get(server.instance) ?? [];
      for (const one of [...list].reverse()) {
        const isUsable =
          one.state() === 'idle' && Address.text(one.server.address) === Address.text(server.address);
        if (isUsable && !mayCarry(one)) continue;
        list.splice(list.indexOf(one), 1);
        if (isUsable) return one;
        void one.destroy();
      }
      return undefined;
    };
    const open: Pool['open'] = async (server, group, signal) => {
      const { instance } = server;
      if (isFull(instance, group)) closeOldestIdle(instance);
      changeCount(instance, 1);
      try {
        const connection = await Connection.open(server, group, signal);
        all.add(connection);
        connection.onClose(() => {
          changeCount(instance, -1);
          remove(connection);
        });
        return connection;
      } catch (error) {
        changeCount(instance, -1);
        if (Failure.is(error, 'identity')) terms.onWrongIdentity(server, error);
        throw error;
      }
    };
    return {
      count: () => all.size,
      connectionLimit,
      hasIdle: (instance) => idle.get(instance)?.some((one) => one.mayCarry(true)) ?? false,
      async take(server, group, signal, mayCarry) {
        const reused = takeIdle(server, mayCarry);
        if (reused) return reused;
        if (isFull(server.instance, group)) closeOldestIdle(server.instance);
        if (isFull(server.instance, group))
          throw Failure.of('connect', "this proxy's connection limit for the server is reached", {
            why: 'full',
          });
        return open(server, group, signal);
      },
      open,
      give(connection) {
        connection.release();
        if (connection.state() !== 'idle') return;
        const list = idle.get(connection.server.instance) ?? [];
        const group = terms.newest()?.groups.get(connection.server.group);
        const isOverLimit =
          group !== undefined && (counts.get(connection.server.instance) ?? 0) > connectionLimit(group);
        if (isOverLimit || list.length >= maxIdle || !isListed(terms.newest(), connection.server))
          void connection.destroy();
        else {
          usedAt.set(connection, Instant.now());
          addIdle(connection);
        }
      },
      retain(compiled) {
        for (const [instance, list] of idle) {
          const retained = list.filter((one) => isListed(compiled, one.server));
          if (retained.length === 0) idle.delete(instance);
          else idle.set(instance, retained);
          for (const one of list) if (!retained.includes(one)) void one.destroy();
        }
        for (const { instance, group } of compiled.servers.values()) {
          const limit = connectionLimit(compiled.groups.get(group)!);
          while ((counts.get(instance) ?? 0) > limit && idle.get(instance)?.length) closeOldestIdle(instance);
        }
      },
      async close() {
        idle.clear();
        await Promise.all([...all].map((connection) => connection.destroy()));
      },
    };
  },
};
