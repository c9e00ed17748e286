// The checkers, one for each thing that must never happen. They read only what callers and back ends
// wrote down, and each returns the breaches it found.
import type { Caller } from './caller.js';

export type Checkers = Readonly<Record<string, (journals: Checkers.Journals) => readonly string[]>>;

export declare namespace Checkers {
  type Run = {
    readonly at: number;
    readonly event: string;
    readonly instance?: string;
    readonly run: string;
    readonly caller?: string;
    readonly request?: string;
    readonly warm?: boolean;
  };
  type Journals = {
    readonly sent: readonly { readonly at: number; readonly id: string; readonly home: string }[];
    readonly ended: readonly Caller.Entry[];
    readonly runs: readonly Run[];
    readonly regionOf: (instance: string) => string | undefined;
    readonly homes: Readonly<Record<string, readonly string[]>>;
  };
}

const groupRuns = (runs: readonly Checkers.Run[]): ReadonlyMap<string, readonly Checkers.Run[]> => {
  const byCaller = new Map<string, Checkers.Run[]>();
  for (const run of runs)
    if (run.event === 'run' && run.caller !== undefined)
      byCaller.set(run.caller, [...(byCaller.get(run.caller) ?? []), run]);
  return byCaller;
};

const extraShare = 0.2;
const slack = 1;
const lifetime = 16_000;
const window = 20_000;

export const Checkers = {
  runsOnce: ({ ended, runs }) => {
    const byCaller = groupRuns(runs);
    return ended.flatMap((entry) => {
      const count = byCaller.get(entry.id)?.length ?? 0;
      return entry.runs === 'once' && count > 1 ? [`${entry.id} ran ${count} times`] : [];
    });
  },
  streamsWhole: ({ ended }) =>
    ended.flatMap((entry) => (entry.outcome === 'wrong' ? [`${entry.id}: ${entry.fault}`] : [])),
  notRunIsFinal: ({ ended, runs }) => {
    const byCaller = groupRuns(runs);
    return ended.flatMap((entry) =>
      entry.outcome === 'dropped' && entry.ran === 'no' && byCaller.has(entry.id)
        ? [`${entry.id} was said not to run and ran at ${byCaller.get(entry.id)?.[0]?.instance}`]
        : [],
    );
  },
  homesKept: ({ sent, runs, regionOf, homes }) => {
    const homeOf = new Map(sent.map((entry) => [entry.id, entry.home]));
    return runs.flatMap((run) => {
      const home = run.caller === undefined ? undefined : homeOf.get(run.caller);
      const region = run.instance === undefined ? undefined : regionOf(run.instance);
      return home !== undefined && region !== undefined && !homes[home]?.includes(region)
        ? [`${run.caller} of home ${home} reached ${run.instance} in ${region}`]
        : [];
    });
  },
  extraTriesFew({ sent, runs }) {
    const began = new Map(sent.map((entry) => [entry.id, entry.at]));
    const seen = runs
      .filter((run) => (run.event === 'run' || run.event === 'refused') && began.has(run.caller ?? ''))
      .sort((a, b) => a.at - b.at);
    const met = new Set<string>();
    const extras = seen.flatMap((run) => {
      const isExtra = met.has(run.caller!);
      met.add(run.caller!);
      return isExtra ? [run.at] : [];
    });
    const starts = [...extras];
    return starts.flatMap((start) => {
      const end = start + window;
      const extra = extras.filter((at) => at >= start && at <= end).length;
      const real = sent.filter((entry) => entry.at >= start - lifetime && entry.at <= end).length;
      return extra > extraShare * real + slack
        ? [`${extra} extra tries for ${real} requests from ${start}`]
        : [];
    });
  },
} as const satisfies Checkers;
