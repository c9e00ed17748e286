/**
 * Passive health checks (outlier ejection), derived from the outcomes of requests that this proxy forwards. A server with
 * a number of consecutive failures is ejected for a time that doubles with each ejection, but never more than a share of
 * its group at once. A server that asked for a later retry (Retry-After) gets no requests until then. An instance at whose
 * address another one answered (misdirected) gets no requests until the list shows it at another address or a short time
 * has passed.
 */
import { Address } from '../common/address.js';
import { Instant } from '../common/instant.js';
import type { Compiled } from '../manifest/compiled.js';

/** Tracks ejected, misdirected and backed-off servers. */
export type Ejector = {
  readonly isEjected: (server: Compiled.Server) => boolean;
  /** Time left, in ms, until the server may be retried as it asked; 0 when it did not ask. */
  readonly backoffLeft: (server: Compiled.Server) => number;
  /** Records a success: failures and ejections count from zero again. */
  readonly good: (server: Compiled.Server) => void;
  /** Records a failure. */
  readonly bad: (server: Compiled.Server, group: Compiled.Group) => void;
  readonly backOff: (server: Compiled.Server, span: number) => void;
  /** Records that another instance answered at the server's address. */
  readonly misdirected: (server: Compiled.Server) => void;
  readonly isMisdirected: (server: Compiled.Server) => boolean;
  readonly retain: (compiled: Compiled) => void;
  /** Instances that are ejected or misdirected now. */
  readonly ejected: () => readonly string[];
};

export declare namespace Ejector {
  /** Why a server was ejected. */
  type Reason = 'failures' | 'misdirected';
}

type Health = { failures: number; ejections: number; ejectedUntil: Instant; backoffUntil: Instant };

type Misdirection = { readonly address: string; readonly count: number; readonly until: Instant };

const maxEjectionMs = 60_000;
const misdirectedMs = { first: 5000, longest: 20_000 } as const;

/** Creates an ejector; `onEjected` is called with the length of each ejection in ms. */
export const Ejector = {
  of(onEjected: (server: Compiled.Server, span: number, reason: Ejector.Reason) => void): Ejector {
    const healths = new Map<string, Health>();
    const misdirections = new Map<string, Misdirection>();
    const healthOf = (server: Compiled.Server): Health => {
      const known = healths.get(server.instance);
      if (known) return known;
      const initial = { failures: 0, ejections: 0, ejectedUntil: 0 as Instant, backoffUntil: 0 as Instant };
      healths.set(server.instance, initial);
      return initial;
    };
    const isEjected = (server: Compiled.Server): boolean => {
      const health = healths.get(server.instance);
      return health !== undefined && !Instant.isPast(health.ejectedUntil);
    };
    return {
      isEjected,
      backoffLeft: (server) =>
        Math.max(0, Instant.remaining(healths.get(server.instance)?.backoffUntil ?? (0 as Instant))),
      ejected: () => [
        ...new Set([
          ...[...healths].filter(([, one]) => !Instant.isPast(one.ejectedUntil)).map(([name]) => name),
          ...[...misdirections].filter(([, one]) => !Instant.isPast(one.until)).map(([name]) => name),
        ]),
      ],
      good(server) {
        const health = healthOf(server);
        health.failures = 0;
        health.ejections = 0;
        misdirections.delete(server.instance);
      },
      misdirected(server) {
        const known = misdirections.get(server.instance);
        if (known && !Instant.isPast(known.until)) return;
        const count = known?.count ?? 0;
        const span = Math.min(misdirectedMs.longest, misdirectedMs.first * 2 ** count);
        const until = Instant.after(span);
        misdirections.set(server.instance, {
          address: Address.text(server.address),
          count: count + 1,
          until,
        });
        onEjected(server, span, 'misdirected');
      },
      isMisdirected(server) {
        const known = misdirections.get(server.instance);
        return (
          known !== undefined &&
          known.address === Address.text(server.address) &&
          !Instant.isPast(known.until)
        );
      },
      bad(server, group) {
        const health = healthOf(server);
        health.failures += 1;
        if (health.failures < group.ejection.consecutive || isEjected(server)) return;
        const ejectedNow = group.servers.filter(isEjected).length;
        if ((ejectedNow + 1) * 100 > group.servers.length * group.ejection.percent) return;
        // One more failure after the ejection ejects the server again.
        health.failures = group.ejection.consecutive - 1;
        const span = Math.min(maxEjectionMs, group.ejection.base * 2 ** health.ejections);
        health.ejections += 1;
        health.ejectedUntil = Instant.after(span);
        onEjected(server, span, 'failures');
      },
      backOff(server, span) {
        healthOf(server).backoffUntil = Instant.after(span);
      },
      retain(compiled) {
        for (const map of [healths, misdirections])
          for (const instance of map.keys()) if (!compiled.servers.has(instance)) map.delete(instance);
      },
    };
  },
};
