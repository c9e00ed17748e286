// The checkers of what operators and the platform were told, and of what each proxy held. Like those of
// the requests, they read journals only; the record of faults tells which machines were undisturbed.
import type { Caller } from '../caller.js';
import type { Checkers } from '../checkers.js';
import type { World } from './world.js';

export type Judge = Readonly<Record<string, (records: Judge.Records) => readonly string[]>>;

export declare namespace Judge {
  type Entry = {
    readonly at: number;
    readonly event: string;
    readonly note?: string;
    readonly begun?: number;
    readonly status?: number;
    readonly revision?: number;
    readonly ifMatch?: string;
    readonly isInvalid?: boolean;
    readonly evacuations?: readonly string[];
    readonly instance?: string;
    readonly rules?: boolean;
  };
  type Held = {
    readonly at: number;
    readonly node: string;
    readonly boot: string;
    readonly epoch: number;
    readonly revision: number;
  };
  type Records = {
    readonly operators: readonly Entry[];
    readonly held: readonly Held[];
    readonly made: readonly World.Made[];
    readonly runs: readonly Checkers.Run[];
    readonly ended: readonly Caller.Entry[];
    readonly sent: readonly { readonly at: number; readonly id: string; readonly proxy: string }[];
    readonly zoneOf: (instance: string) => string | undefined;
    readonly nodeOf: (proxy: string) => string | undefined;
    readonly finalAt: number;
  };
}

const newsWithin = 3000;
const goneWithin = 5000;
const slack = 400;

const acked = ({ operators, finalAt }: Judge.Records) =>
  operators.filter((one) => one.event === 'answer' && one.status === 200 && one.at < finalAt);

const isQuiet = (records: Judge.Records, names: readonly string[], from: number, to: number): boolean =>
  !records.made.some(
    (fault) => fault.from < to && fault.to > from && fault.touches.some((one) => names.includes(one)),
  );

const runsBegun = (records: Judge.Records) => {
  const proxies = new Map(records.sent.map((one) => [one.id, records.nodeOf(one.proxy)]));
  return records.runs.flatMap((run) =>
    run.event === 'run' && run.caller !== undefined && run.instance !== undefined
      ? [{ ...run, instance: run.instance, node: proxies.get(run.caller) ?? '' }]
      : [],
  );
};

export const Judge = {
  oneOfARace(records) {
    const byTag = new Map<string, string[]>();
    for (const one of acked(records))
      byTag.set(one.ifMatch!, [...(byTag.get(one.ifMatch!) ?? []), one.note!]);
    return [...byTag].flatMap(([tag, list]) =>
      list.length > 1 ? [`${tag} was replaced by ${list.join(' and ')}`] : [],
    );
  },
  invalidNeverTaken: (records) => [
    ...acked(records).flatMap((one) => (one.isInvalid ? [`${one.note} was acknowledged`] : [])),
    ...records.operators.flatMap((one) =>
      one.event === 'read' && one.rules ? [`${one.note} was read`] : [],
    ),
  ],
  newestIsRead(records) {
    const acks = acked(records);
    return records.operators.flatMap((read) => {
      if (read.event !== 'read' || read.at > records.finalAt) return [];
      const newest = Math.max(0, ...acks.filter((one) => one.at < read.begun!).map((one) => one.revision!));
      return read.revision! < newest
        ? [`revision ${read.revision} was read after ${newest} was acknowledged`]
        : [];
    });
  },
  noDriftBack(records) {
    const last = new Map<string, Judge.Held>();
    return records.held.flatMap((one) => {
      const before = last.get(one.boot);
      last.set(one.boot, one);
      const isBack =
        before &&
        (one.epoch < before.epoch || (one.epoch === before.epoch && one.revision < before.revision));
      return isBack
        ? [`${one.node} went from ${before.epoch}.${before.revision} to ${one.epoch}.${one.revision}`]
        : [];
    });
  },
  inForceInTime(records) {
    return acked(records).flatMap((ack) => {
      const until = ack.at + newsWithin + slack;
      const nodes = [...new Set(records.held.map((one) => one.node))];
      return nodes.flatMap((node) => {
        if (!isQuiet(records, [node, 'core'], ack.begun! - 3000, until)) return [];
        const mine = records.held.filter(
          (one) => one.node === node && one.at > ack.at + newsWithin && one.at < until,
        );
        const isBehind = mine.length > 0 && mine.every((one) => one.revision < ack.revision!);
        return isBehind
          ? [`${node} held ${mine[0]?.revision}, ${ack.revision} was acknowledged 3 s before`]
          : [];
      });
    });
  },
  leavingGetsNothing(records) {
    const runs = runsBegun(records);
    return records.operators.flatMap((notice) =>
      notice.event !== 'leaving'
        ? []
        : runs.flatMap((run) =>
            run.instance === notice.instance &&
            run.at > notice.at + goneWithin + slack &&
            run.at < records.finalAt &&
            isQuiet(records, [run.node, 'core', run.instance], notice.at - 3000, run.at)
              ? [
                  `${run.caller} ran at ${run.instance} ${Math.round(run.at - notice.at)} ms after it was said to leave`,
                ]
              : [],
          ),
    );
  },
  evacuatedGetsNothing(records) {
    const runs = runsBegun(records);
    const puts = records.operators.filter((one) => one.event === 'put');
    return acked(records).flatMap((ack) =>
      (ack.evacuations ?? []).flatMap((zone) => {
        const other = puts.find((put) => put.at > ack.begun! && !put.evacuations?.includes(zone));
        const until = Math.min(other?.at ?? Number.POSITIVE_INFINITY, records.finalAt);
        return runs.flatMap((run) =>
          records.zoneOf(run.instance) === zone &&
          run.at > ack.at + goneWithin + slack &&
          run.at < until &&
          isQuiet(records, [run.node, 'core', run.instance], ack.at - 3000, run.at)
            ? [`${run.caller} ran at ${run.instance} in the evacuated zone ${zone}`]
            : [],
        );
      }),
    );
  },
  strangersGetNothing: (records) =>
    records.runs.flatMap((run) =>
      run.instance?.startsWith('stranger') ? [`${run.caller} reached ${run.instance}`] : [],
    ),
} as const satisfies Judge;
