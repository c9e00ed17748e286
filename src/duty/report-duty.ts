/**
 * The load report duty of the acting primary: polls the load of every server that reports one and broadcasts what changed.
 * One node polls on behalf of all proxies, because a report costs a server as much as a health probe. Reports are only
 * hints: a proxy that receives none relies on the requests it sent itself.
 */
import { Timer } from '../common/timer.js';
import type { Document } from '../manifest/document.js';
import type { ReportSource } from './report-source.js';

/** Polls and publishes load reports. */
export type ReportDuty = {
  /** The last published load of each server. */
  readonly loads: () => readonly ReportSource.Load[];
  readonly stop: () => Promise<void>;
};

/** Dependencies of the duty. */
export declare namespace ReportDuty {
  type Dependencies = {
    readonly source: ReportSource;
    /** Whether this node holds the duty. */
    readonly isHeld: () => boolean;
    readonly servers: () => readonly Document.Server[];
    readonly publish: (loads: readonly ReportSource.Load[]) => void;
  };
}

const roundMs = 500;
/** An unchanged load is published again after this many rounds. */
const repeatAfterRounds = 4;
/** An idle server is polled at least once in this many rounds. */
const maxBackoffRounds = 4;
const nearlyFullBound = 0.7;

type Published = { readonly load: ReportSource.Load; readonly round: number };
type Backoff = { readonly rounds: number; readonly until: number };

const isIdle = (before: ReportSource.Load | undefined, { queued, active, bound }: ReportSource.Load) =>
  queued === 0 && bound < nearlyFullBound && before !== undefined && active <= before.active + 1;

const isSimilar = (a: ReportSource.Load | undefined, b: ReportSource.Load): boolean =>
  a !== undefined &&
  a.queued === b.queued &&
  Math.abs(a.active - b.active) <= Math.max(1, b.active / 8) &&
  Math.abs(a.bound - b.bound) < 0.05;

/** Runs the duty. */
export const ReportDuty = {
  run(needs: ReportDuty.Dependencies): ReportDuty {
    const stop = new AbortController();
    const published = new Map<string, Published>();
    const backoffs = new Map<string, Backoff>();
    const last = new Map<string, ReportSource.Load>();
    const updateBackoff = (load: ReportSource.Load, round: number) => {
      const { instance } = load;
      const rounds = isIdle(last.get(instance), load)
        ? Math.min(maxBackoffRounds, 2 * (backoffs.get(instance)?.rounds ?? 1))
        : 1;
      backoffs.set(instance, { rounds, until: round + rounds });
      last.set(instance, load);
    };
    const step = async (round: number) => {
      const servers = needs.servers();
      const held = new Set<string>(servers.map((server) => server.instance));
      for (const kept of [published, backoffs, last])
        for (const instance of kept.keys()) if (!held.has(instance)) kept.delete(instance);
      const due = servers.filter(({ instance }) => (backoffs.get(instance)?.until ?? round) <= round);
      const loads = await Promise.all(due.map((server) => needs.source.read(server)));
      for (const load of loads) if (load) updateBackoff(load, round);
      const fresh = loads.filter((load): load is ReportSource.Load => {
        if (!load) return false;
        const known = published.get(load.instance);
        return !isSimilar(known?.load, load) || round - known!.round >= repeatAfterRounds;
      });
      for (const load of fresh) published.set(load.instance, { load, round });
      if (fresh.length > 0 && needs.isHeld()) needs.publish(fresh);
    };
    const run = async () => {
      for (let round = 0; !stop.signal.aborted; round += 1) {
        if (needs.isHeld()) await step(round);
        else for (const kept of [published, backoffs, last]) kept.clear();
        await Timer.sleep(roundMs, stop.signal);
      }
    };
    const done = run();
    return {
      loads: () => [...published.values()].map(({ load }) => load),
      async stop() {
        stop.abort();
        await done;
      },
    };
  },
};
