// Proved connections by instance. One is taken for one exchange and given back; those of an instance
// that the newest manifest or platform list no longer holds at that address are dropped.
import { Address } from '../kinds/address.js';
import { Failure } from '../kinds/failure.js';
import { Moment } from '../kinds/moment.js';
import type { Compiled } from '../manifest/compiled.js';
import { Connection } from './connection.js';

export type Pool = {
  readonly take: (server: Compiled.Server, group: Compiled.Group, signal: AbortSignal) => Promise<Connection>;
  readonly open: (server: Compiled.Server, group: Compiled.Group, signal: AbortSignal) => Promise<Connection>;
  readonly give: (connection: Connection) => void;
  readonly retain: (compiled: Compiled) => void;
  readonly close: () => Promise<void>;
  readonly count: () => number;
  readonly hasIdle: (instance: string) => boolean;
};

const mostIdle = 32;
const justUsed = 3000;

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
    readonly onWrong: (server: Compiled.Server, cause: Error) => void;
    readonly newest: () => Compiled | undefined;
    readonly onEnded: (server: Compiled.Server) => void;
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
      if (Moment.since(usedAt.get(connection) ?? Moment.past) < justUsed) terms.onEnded(connection.server);
    };
    const open: Pool['open'] = async (server, group, signal) => {
      try {
        const connection = await Connection.open(server, group, signal);
        all.add(connection);
        connection.onClose(() => forget(connection));
        return connection;
      } catch (error) {
        if (Failure.is(error, 'identity')) terms.onWrong(server, error);
        throw error;
      }
    };
    return {
      count: () => all.size,
      hasIdle: (instance) => (idle.get(instance)?.length ?? 0) > 0,
      async take(server, group, signal) {
        const list = idle.get(server.instance) ?? [];
        for (let held = list.pop(); held; held = list.pop())
          if (held.state() === 'idle' && Address.text(held.server.address) === Address.text(server.address))
            return held;
        return open(server, group, signal);
      },
      open,
      give(connection) {
        connection.release();
        if (connection.state() !== 'idle') return;
        const list = idle.get(connection.server.instance) ?? [];
        if (list.length >= mostIdle || !isHeld(terms.newest(), connection.server)) void connection.destroy();
        else {
          usedAt.set(connection, Moment.now());
          idle.set(connection.server.instance, [...list, connection]);
        }
      },
      retain(compiled) {
        for (const [instance, list] of idle) {
          const kept = list.filter((one) => isHeld(compiled, one.server));
          if (kept.length === 0) idle.delete(instance);
          else idle.set(instance, kept);
          for (const one of list) if (!kept.includes(one)) void one.destroy();
        }
      },
      async close() {
        idle.clear();
        await Promise.all([...all].map((connection) => connection.destroy()));
      },
    };
  },
};
