// Health, derived from the outcomes this node forwards: a server with so many failures in a row is
// ejected for a span that grows with each ejection, but never more than a share of its group at once.
// A server that asked us to come back later rests until then. An instance at whose address another one
// answered gets nothing more until the list shows it elsewhere or a short span is over.
import { Address } from '../kinds/address.js';
import { Moment } from '../kinds/moment.js';
import type { Compiled } from '../manifest/compiled.js';

export type Ejector = {
  readonly isEjected: (server: Compiled.Server) => boolean;
  readonly backoffLeft: (server: Compiled.Server) => number;
  readonly good: (server: Compiled.Server) => void;
  readonly bad: (server: Compiled.Server, group: Compiled.Group) => void;
  readonly backOff: (server: Compiled.Server, span: number) => void;
  readonly misdirected: (server: Compiled.Server) => void;
  readonly isMisdirected: (server: Compiled.Server) => boolean;
  readonly retain: (compiled: Compiled) => void;
  readonly ejected: () => readonly string[];
};

export declare namespace Ejector {
  type Reason = 'failures' | 'misdirected';
}

type Health = { failures: number; ejections: number; outUntil: Moment; restUntil: Moment };

type Misdirection = { readonly address: string; readonly count: number; readonly until: Moment };

const longestEjection = 60_000;
const misdirectedFor = { first: 5000, longest: 20_000 } as const;

export const Ejector = {
  of(note: (server: Compiled.Server, span: number, why: Ejector.Reason) => void): Ejector {
    const healths = new Map<string, Health>();
    const misdirections = new Map<string, Misdirection>();
    const healthOf = (server: Compiled.Server): Health => {
      const known = healths.get(server.instance);
      if (known) return known;
      const fresh = { failures: 0, ejections: 0, outUntil: 0 as Moment, restUntil: 0 as Moment };
      healths.set(server.instance, fresh);
      return fresh;
    };
    const isOut = (server: Compiled.Server): boolean => {
      const health = healths.get(server.instance);
      return health !== undefined && !Moment.isPast(health.outUntil);
    };
    return {
      isEjected: isOut,
      backoffLeft: (server) =>
        Math.max(0, Moment.left(healths.get(server.instance)?.restUntil ?? (0 as Moment))),
      ejected: () => [
        ...new Set([
          ...[...healths].filter(([, one]) => !Moment.isPast(one.outUntil)).map(([name]) => name),
          ...[...misdirections].filter(([, one]) => !Moment.isPast(one.until)).map(([name]) => name),
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
        if (known && !Moment.isPast(known.until)) return;
        const count = known?.count ?? 0;
        const span = Math.min(misdirectedFor.longest, misdirectedFor.first * 2 ** count);
        const until = Moment.after(span);
        misdirections.set(server.instance, {
          address: Address.text(server.address),
          count: count + 1,
          until,
        });
        note(server, span, 'misdirected');
      },
      isMisdirected(server) {
        const known = misdirections.get(server.instance);
        return (
          known !== undefined && known.address === Address.text(server.address) && !Moment.isPast(known.until)
        );
      },
      bad(server, group) {
        const health = healthOf(server);
        health.failures += 1;
        if (health.failures < group.ejection.consecutive || isOut(server)) return;
        const outNow = group.servers.filter(isOut).length;
        if ((outNow + 1) * 100 > group.servers.length * group.ejection.percent) return;
        health.failures = group.ejection.consecutive - 1;
        const span = Math.min(longestEjection, group.ejection.base * 2 ** health.ejections);
        health.ejections += 1;
        health.outUntil = Moment.after(span);
        note(server, span, 'failures');
      },
      backOff(server, span) {
        healthOf(server).restUntil = Moment.after(span);
      },
      retain(compiled) {
        for (const kept of [healths, misdirections])
          for (const instance of kept.keys()) if (!compiled.servers.has(instance)) kept.delete(instance);
      },
    };
  },
};
