// The report duty at the acting primary: asks every server that reports for its load, a few at a time, and passes
// on what changed. One asker for all proxies: a report costs a server what a probe costs. What it says is soft:
// a proxy that hears nothing judges by what it sent itself.
import { Timer } from '../common/timer.js';
import type { Document } from '../manifest/document.js';
import type { ReportSource } from './report-source.js';

export type ReportDuty = {
  readonly loads: () => readonly ReportSource.Load[];
  readonly stop: () => Promise<void>;
};

export declare namespace ReportDuty {
  type Dependencies = {
    readonly source: ReportSource;
    readonly isHeld: () => boolean;
    readonly servers: () => readonly Document.Server[];
    readonly publish: (loads: readonly ReportSource.Load[]) => void;
  };
}

const every = 500;
const anewAfter = 4;
const mostRest = 4;
const nearlyFull = 0.7;

type Told = { readonly load: ReportSource.Load; readonly round: number };
type Rest = { readonly rounds: number; readonly until: number };

const isAtEase = (before: ReportSource.Load | undefined, { queued, active, bound }: ReportSource.Load) =>
  queued === 0 && bound < nearlyFull && before !== undefined && active <= before.active + 1;

const isAlike = (a: ReportSource.Load | undefined, b: ReportSource.Load): boolean =>
  a !== undefined &&
  a.queued === b.queued &&
  Math.abs(a.active - b.active) <= Math.max(1, b.active / 8) &&
  Math.abs(a.bound - b.bound) < 0.05;

export const ReportDuty = {
  run(needs: ReportDuty.Dependencies): ReportDuty {
    const stop = new AbortController();
    const told = new Map<string, Told>();
    const rests = new Map<string, Rest>();
    const last = new Map<string, ReportSource.Load>();
    const consider = (load: ReportSource.Load, round: number) => {
      const { instance } = load;
      const rounds = isAtEase(last.get(instance), load)
        ? Math.min(mostRest, 2 * (rests.get(instance)?.rounds ?? 1))
        : 1;
      rests.set(instance, { rounds, until: round + rounds });
      last.set(instance, load);
    };
    const step = async (round: number) => {
      const servers = needs.servers();
      const held = new Set<string>(servers.map((server) => server.instance));
      for (const kept of [told, rests, last])
        for (const instance of kept.keys()) if (!held.has(instance)) kept.delete(instance);
      const due = servers.filter(({ instance }) => (rests.get(instance)?.until ?? round) <= round);
      const loads = await Promise.all(due.map((server) => needs.source.read(server)));
      for (const load of loads) if (load) consider(load, round);
      const fresh = loads.filter((load): load is ReportSource.Load => {
        if (!load) return false;
        const known = told.get(load.instance);
        return !isAlike(known?.load, load) || round - known!.round >= anewAfter;
      });
      for (const load of fresh) told.set(load.instance, { load, round });
      if (fresh.length > 0 && needs.isHeld()) needs.publish(fresh);
    };
    const run = async () => {
      for (let round = 0; !stop.signal.aborted; round += 1) {
        if (needs.isHeld()) await step(round);
        else for (const kept of [told, rests, last]) kept.clear();
        await Timer.sleep(every, stop.signal);
      }
    };
    const done = run();
    return {
      loads: () => [...told.values()].map(({ load }) => load),
      async stop() {
        stop.abort();
        await done;
      },
    };
  },
};
