// The checkers of requests, one for each thing that must never happen to one. They read only what callers
// and back ends wrote down. Each tells the breaches it found and its occasions: how often it met something
// that it could have condemned.

import type { Caller } from './caller.js';
import { countBetween } from './count-between.js';

export type Checkers = Readonly<Record<string, (journals: Checkers.Journals) => Checkers.Verdict>>;

export declare namespace Checkers {
  type Verdict = { readonly occasions: number; readonly breaches: readonly string[] };
  type Run = {
    readonly at: number;
    readonly event: string;
    readonly instance?: string;
    readonly run?: string;
    readonly caller?: string;
    readonly request?: string;
    readonly warm?: boolean;
    readonly matched?: number;
    readonly of?: readonly string[];
    readonly alike?: readonly string[];
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

const share = 0.2;
const oneMore = 1;
const lifetime = 5000;
const windows = [5000, 10_000, 20_000, 60_000];

const extraTries = ({ sent, runs }: Checkers.Journals): readonly number[] => {
  const known = new Set(sent.map((entry) => entry.id));
  const met = new Set<string>();
  return runs
    .filter((run) => run.event === 'arrived' && known.has(run.caller ?? ''))
    .sort((a, b) => a.at - b.at)
    .flatMap((run) => {
      const isExtra = met.has(run.caller!);
      met.add(run.caller!);
      return isExtra ? [run.at] : [];
    });
};

export const Checkers = {
  runsOnce({ ended, runs }) {
    const byCaller = groupRuns(runs);
    const once = ended.filter((entry) => entry.runs === 'once');
    return {
      occasions: once.filter((entry) => entry.outcome !== 'whole' || entry.tries > 1).length,
      breaches: once.flatMap(({ id }) => {
        const count = byCaller.get(id)?.length ?? 0;
        return count > 1 ? [`${id} ran ${count} times`] : [];
      }),
    };
  },
  streamsWhole: ({ ended }) => ({
    occasions: ended.filter((entry) => entry.firstToken >= 0 && entry.outcome !== 'dropped').length,
    breaches: ended.flatMap((entry) => (entry.outcome === 'wrong' ? [`${entry.id}: ${entry.fault}`] : [])),
  }),
  notRunIsFinal({ ended, runs }) {
    const byCaller = groupRuns(runs);
    const said = ended.filter((entry) => entry.outcome === 'dropped' && entry.ran === 'no');
    return {
      occasions: said.length,
      breaches: said.flatMap(({ id }) =>
        byCaller.has(id) ? [`${id} was said not to run and ran at ${byCaller.get(id)?.[0]?.instance}`] : [],
      ),
    };
  },
  homesKept({ sent, runs, regionOf, homes }) {
    const homeOf = new Map(sent.map((entry) => [entry.id, entry.home]));
    const regions = new Set(Object.values(homes).flat());
    const bound = runs.flatMap((run) => {
      const home = run.caller === undefined ? undefined : homeOf.get(run.caller);
      const region = run.instance === undefined ? undefined : regionOf(run.instance);
      const within = home === undefined ? undefined : homes[home];
      return home !== undefined && within && region !== undefined && within.length < regions.size
        ? [{ run, home, region, isKept: within.includes(region) }]
        : [];
    });
    return {
      occasions: new Set(bound.map(({ run }) => run.caller)).size,
      breaches: bound.flatMap(({ run, home, region, isKept }) =>
        isKept ? [] : [`${run.caller} of home ${home} reached ${run.instance} in ${region}`],
      ),
    };
  },
  extraTriesFew(journals) {
    const extras = extraTries(journals);
    const sent = journals.sent.map((entry) => entry.at).sort((a, b) => a - b);
    const whole =
      extras.length > share * sent.length + oneMore
        ? [`${extras.length} extra tries for ${sent.length} requests over the whole run`]
        : [];
    const inWindows = windows.flatMap((window) =>
      extras.flatMap((start) => {
        const end = start + window + 0.001;
        const extra = countBetween(extras, start, end);
        const real = countBetween(sent, start - lifetime, end);
        return extra > share * real + oneMore
          ? [`${extra} extra tries for ${real} requests in the ${window} ms from ${start}`]
          : [];
      }),
    );
    return { occasions: extras.length, breaches: [...whole, ...inWindows] };
  },
} as const satisfies Checkers;
