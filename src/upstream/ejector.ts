// Health, derived from the outcomes this node forwards: a server with so many failures in a row is
// ejected for a span that grows with each ejection, but never more than a share of its group at once.
// A server that asked us to come back later rests until then.
import { Moment } from '../kinds/moment.js';
import type { Compiled } from '../manifest/compiled.js';

export type Ejector = {
  readonly isOut: (server: Compiled.Server) => boolean;
  readonly restsFor: (server: Compiled.Server) => number;
  readonly good: (server: Compiled.Server) => void;
  readonly bad: (server: Compiled.Server, group: Compiled.Group) => void;
  readonly rest: (server: Compiled.Server, span: number) => void;
  readonly retain: (compiled: Compiled) => void;
  readonly out: () => readonly string[];
};

type Health = { failures: number; ejections: number; outUntil: Moment; restUntil: Moment };

const longestEjection = 60_000;

export const Ejector = {
  of(note: (server: Compiled.Server, span: number) => void): Ejector {
    const healths = new Map<string, Health>();
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
      isOut,
      restsFor: (server) =>
        Math.max(0, Moment.left(healths.get(server.instance)?.restUntil ?? (0 as Moment))),
      out: () => [...healths].filter(([, one]) => !Moment.isPast(one.outUntil)).map(([name]) => name),
      good(server) {
        const health = healthOf(server);
        health.failures = 0;
        health.ejections = 0;
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
        note(server, span);
      },
      rest(server, span) {
        healthOf(server).restUntil = Moment.after(span);
      },
      retain(compiled) {
        for (const instance of healths.keys()) if (!compiled.servers.has(instance)) healths.delete(instance);
      },
    };
  },
};
