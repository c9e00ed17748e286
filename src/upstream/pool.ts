// Proved connections by instance. One is taken for one exchange and given back; those of an instance
// that the newest manifest or platform list no longer holds at that address are dropped. A server takes so many
// connections from all proxies together: each holds its even part, ends an idle one before it opens beyond that,
// and opens none for a request that would be beyond.
import { Address } from '../kinds/address.js';
import { Failure } from '../kinds/failure.js';
import { Moment } from '../kinds/moment.js';
import type { Compiled } from '../manifest/compiled.js';
import { Connection } from './connection.js';

export type Pool = {
  /** A connection that may carry the request: a kept one, or else a new one. */
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
  /** Most connections that this proxy may hold to one server of the group. */
  readonly connectionLimit: (group: Compiled.Group) => number;
};

const mostIdle = 32;
const justUsed = 3000;
const portion = 0.95;
const leastPart = 3;

const isHeld = (compiled: Compiled | undefined, server: Compiled.Server): boolean => {
  const held = compiled?.servers.get(server.instance);
  return (
    held !== undefined &&
    held.group === server.group &&
    Address.text(held.address) === Address.text(server.address)
  );
};

export const Pool = {
  of(terms: {
    readonly onWrongIdentity: (server: Compiled.Server, cause: Error) => void;
    readonly newest: () => Compiled | undefined;
    readonly onUnexpectedClose: (server: Compiled.Server) => void;
    readonly proxies: () => number;
  }): Pool {
    const idle = new Map<string, Connection[]>();
    const all = new Set<Connection>();
    const usedAt = new WeakMap<Connection, Moment>();
    const forget = (connection: Connection) => {
      all.delete(connection);
      const list = idle.get(connection.server.instance);
      if (!list?.includes(connection)) return;
      idle.set(
        connection.server.instance,
        list.filter((one) => one !== connection),
      );
      if (Moment.since(usedAt.get(connection) ?? Moment.past) < justUsed)
        terms.onUnexpectedClose(connection.server);
    };
    const held = new Map<string, number>();
    let mostProxies = 1;
    const part: Pool['connectionLimit'] = ({ connections }) => {
      mostProxies = Math.max(mostProxies, terms.proxies());
      if (connections === undefined) return Number.POSITIVE_INFINITY;
      return Math.max(leastPart, Math.floor((connections * portion) / mostProxies));
    };
    const countOne = (instance: string, by: number) => {
      const count = (held.get(instance) ?? 0) + by;
      if (count > 0) held.set(instance, count);
      else held.delete(instance);
    };
    const isFull = (instance: string, group: Compiled.Group) => (held.get(instance) ?? 0) >= part(group);
    const endIdle = (instance: string) => {
      const [oldest] = idle.get(instance) ?? [];
      if (oldest) void oldest.destroy();
    };
    /** Of connections that carry no more one is kept, which tells when the server goes; here the others end. */
    const addIdle = (connection: Connection) => {
      const { instance } = connection.server;
      const list = idle.get(instance) ?? [];
      const spent = list.filter((one) => !one.mayCarry(true));
      idle.set(instance, [...list.filter((one) => !spent.includes(one)), connection]);
      for (const one of spent) void one.destroy();
    };
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
      if (isFull(instance, group)) endIdle(instance);
      countOne(instance, 1);
      try {
        const connection = await Connection.open(server, group, signal);
        all.add(connection);
        connection.onClose(() => {
          countOne(instance, -1);
          forget(connection);
        });
        return connection;
      } catch (error) {
        countOne(instance, -1);
        if (Failure.is(error, 'identity')) terms.onWrongIdentity(server, error);
        throw error;
      }
    };
    return {
      count: () => all.size,
      connectionLimit: part,
      hasIdle: (instance) => idle.get(instance)?.some((one) => one.mayCarry(true)) ?? false,
      async take(server, group, signal, mayCarry) {
        const kept = takeIdle(server, mayCarry);
        if (kept) return kept;
        if (isFull(server.instance, group)) endIdle(server.instance);
        if (isFull(server.instance, group))
          throw Failure.of('connect', 'as many connections as this proxy may hold', { why: 'full' });
        return open(server, group, signal);
      },
      open,
      give(connection) {
        connection.release();
        if (connection.state() !== 'idle') return;
        const list = idle.get(connection.server.instance) ?? [];
        const group = terms.newest()?.groups.get(connection.server.group);
        const isBeyond = group !== undefined && (held.get(connection.server.instance) ?? 0) > part(group);
        if (isBeyond || list.length >= mostIdle || !isHeld(terms.newest(), connection.server))
          void connection.destroy();
        else {
          usedAt.set(connection, Moment.now());
          addIdle(connection);
        }
      },
      retain(compiled) {
        for (const [instance, list] of idle) {
          const kept = list.filter((one) => isHeld(compiled, one.server));
          if (kept.length === 0) idle.delete(instance);
          else idle.set(instance, kept);
          for (const one of list) if (!kept.includes(one)) void one.destroy();
        }
        for (const { instance, group } of compiled.servers.values()) {
          const most = part(compiled.groups.get(group)!);
          while ((held.get(instance) ?? 0) > most && idle.get(instance)?.length) endIdle(instance);
        }
      },
      async close() {
        idle.clear();
        await Promise.all([...all].map((connection) => connection.destroy()));
      },
    };
  },
};
