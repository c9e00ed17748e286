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
    readonly groupOf: (instance: string) => string | undefined;
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

type GroupTries = {
  /** When requests were sent that came to the group first, or to no server at all. */
  readonly requests: readonly number[];
  /** When tries beyond the first arrived at the group. */
  readonly extras: readonly number[];
};

const ascending = (times: readonly number[]): number[] => [...times].sort((a, b) => a - b);

/** The tries of each group of servers, which counts by itself. */
const triesByGroup = ({ sent, runs, groupOf }: Checkers.Journals): ReadonlyMap<string, GroupTries> => {
  const known = new Set(sent.map((entry) => entry.id));
  const firstGroup = new Map<string, string>();
  const extras = new Map<string, number[]>();
  const arrived = runs.filter((run) => run.event === 'arrived' && known.has(run.caller ?? ''));
  for (const run of [...arrived].sort((a, b) => a.at - b.at)) {
    const group = groupOf(run.instance ?? '') ?? '';
    if (!extras.has(group)) extras.set(group, []);
    if (firstGroup.has(run.caller!)) extras.get(group)!.push(run.at);
    else firstGroup.set(run.caller!, group);
  }
  return new Map(
    [...extras].map(([group, times]) => {
      const own = sent.filter(({ id }) => (firstGroup.get(id) ?? group) === group);
      return [group, { requests: ascending(own.map(({ at }) => at)), extras: times }] as const;
    }),
  );
};

const judgeGroup = ({ requests, extras }: GroupTries, group: string): readonly string[] => {
  const whole =
    extras.length > share * requests.length + oneMore
      ? [`${group}: ${extras.length} extra tries for ${requests.length} requests over the whole run`]
      : [];
  const inWindows = windows.flatMap((window) =>
    extras.flatMap((start) => {
      const end = start + window + 0.001;
      const extra = countBetween(extras, start, end);
      const real = countBetween(requests, start - lifetime, end);
      return extra > share * real + oneMore
        ? [`${group}: ${extra} extra tries for ${real} requests in the ${window} ms from ${start}`]
        : [];
    }),
  );
  return [...whole, ...inWindows];
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
    const groups = [...triesByGroup(journals)];
    return {
      occasions: groups.reduce((sum, [, { extras }]) => sum + extras.length, 0),
      breaches: groups.flatMap(([group, tries]) => judgeGroup(tries, group)),
    };
  },
} as const satisfies Checkers;
