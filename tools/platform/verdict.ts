/**
 * The result of a check: how often it met something that it could have condemned, and what it condemned.
 */
import type { Recording } from './recording.js';

/** The result of a check. */
export type Verdict = { readonly occasions: number; readonly breaches: readonly string[] };

/** Types used with it. */
export declare namespace Verdict {
  type Bounds = {
    readonly contact: number;
    readonly drain: number;
    /** How long a machine that was told to end may take for it, in milliseconds. */
    readonly grace: number;
    readonly evacuation: number;
    readonly configApply: number;
    readonly revertSlack: number;
    readonly retryRatio: number;
    readonly retryWindow: number;
    readonly retrySlack: number;
    readonly warmupOvershoot: number;
    readonly warmupSlack: number;
    readonly warmupPerSecond: Readonly<Record<string, number>>;
    /** How long after its acknowledgement a removed key may still run, in milliseconds. */
    readonly revoke: number;
    readonly quotaWindow: number;
    readonly quotaOvershoot: number;
    readonly quotaSlack: number;
  };
  type Check = (recording: Recording, bounds: Bounds) => Verdict;
  type Arrival = Extract<Recording.Served, { kind: 'arrived' }>;
  type Run = Extract<Recording.Served, { kind: 'run' }>;
  type Done = Extract<Recording.Served, { kind: 'done' }>;
}

const groupBy = <T>(list: readonly T[], keyOf: (one: T) => string): ReadonlyMap<string, readonly T[]> => {
  const groups = new Map<string, T[]>();
  for (const one of list) {
    const group = groups.get(keyOf(one));
    if (group) group.push(one);
    else groups.set(keyOf(one), [one]);
  }
  return groups;
};

const ofKind = <K extends Recording.Served['kind']>(recording: Recording, kind: K) =>
  recording.served.filter((one): one is Extract<Recording.Served, { kind: K }> => one.kind === kind);

/** Reads recordings for checks. */
export const Verdict = {
  groupBy,
  ofKind,
  tries: (recording: Recording): ReadonlyMap<string, Recording.Sent> =>
    new Map(recording.sent.map((sent) => [sent.attempt, sent])),
  /** Requests that were meant for the server that they reached, in the order of their arrival. */
  arrivals: (recording: Recording): readonly Verdict.Arrival[] =>
    ofKind(recording, 'arrived')
      .filter((arrival) => arrival.isMeant)
      .sort((a, b) => a.at - b.at),
};
