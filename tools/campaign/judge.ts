// The checkers of what operators and the platform were told, of what each proxy held and of what servers
// got. Like those of the requests they read journals only, and tell their occasions beside the breaches.
// The record of faults says which proxies word could reach; the limits of time hold for all of those.
import type { Caller } from '../caller.js';
import type { Checkers } from '../checkers.js';
import type { Reach } from './reach.js';
import type { World } from './world.js';

export type Judge = Readonly<Record<string, (records: Judge.Records) => Checkers.Verdict>>;

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
    readonly generation?: number;
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
    readonly reach: Reach;
    readonly runs: readonly Checkers.Run[];
    readonly ended: readonly Caller.Entry[];
    readonly sent: readonly { readonly at: number; readonly id: string; readonly proxy: string }[];
    readonly zoneOf: (instance: string) => string | undefined;
    readonly nodeOf: (proxy: string) => string | undefined;
    readonly startedAt: number;
    readonly finalAt: number;
    readonly lostAt: number;
  };
}

type Stamp = { readonly epoch: number; readonly revision: number };

const newsWithin = 3000;
const goneWithin = 5000;
const slack = 400;
const ramp = { first: 2, doubling: 1500, over: 7500, unseen: 2 };

const none: Stamp = { epoch: 0, revision: 0 };

const compare = (a: Stamp, b: Stamp): number => a.epoch - b.epoch || a.revision - b.revision;

const acked = ({ operators, finalAt }: Judge.Records) =>
  operators.filter((one) => one.event === 'answer' && one.status === 200 && one.at < finalAt);

const arrivals = (records: Judge.Records) => {
  const sent = new Map(records.sent.map((one) => [one.id, one]));
  return records.runs.flatMap((run) => {
    const call = run.caller === undefined ? undefined : sent.get(run.caller);
    if ((run.event !== 'run' && run.event !== 'refused') || !call || run.instance === undefined) return [];
    const isDisturbed = records.made.some(
      ({ down, from, to }) => from < run.at && to > call.at && down?.includes(run.instance!),
    );
    const node = records.nodeOf(call.proxy) ?? '';
    return [{ caller: call.id, instance: run.instance, node, at: isDisturbed ? call.at : run.at }];
  });
};

const lateAt = (records: Judge.Records, since: number, until: number, isThere: (name: string) => boolean) =>
  arrivals(records).flatMap(({ caller, instance, node, at }) => {
    const known = records.reach.first(node, since, goneWithin);
    return isThere(instance) && known !== undefined && at > known + slack && at < until
      ? [`${caller} came to ${instance} by ${node}, ${Math.round(at - since)} ms after the notice`]
      : [];
  });

const readStamp = (text: string | undefined): Stamp | undefined => {
  const [epoch, revision] = (text ?? '').split('.').map(Number);
  return epoch !== undefined && revision !== undefined ? { epoch, revision } : undefined;
};

export const Judge = {
  oneOfARace(records) {
    const byTag = new Map<string, string[]>();
    for (const one of acked(records))
      byTag.set(one.ifMatch!, [...(byTag.get(one.ifMatch!) ?? []), one.note!]);
    const lost = records.operators.filter((one) => one.event === 'answer' && one.status === 412);
    return {
      occasions: lost.length,
      breaches: [...byTag].flatMap(([tag, list]) =>
        list.length > 1 ? [`${tag} was replaced by ${list.join(' and ')}`] : [],
      ),
    };
  },
  invalidNeverTaken: (records) => ({
    occasions: records.operators.filter((one) => one.event === 'answer' && one.isInvalid).length,
    breaches: [
      ...acked(records).flatMap((one) => (one.isInvalid ? [`${one.note} was acknowledged`] : [])),
      ...records.operators.flatMap((one) =>
        one.event === 'read' && one.rules ? [`${one.note} was read`] : [],
      ),
    ],
  }),
  newestIsRead(records) {
    const acks = acked(records);
    const reads = records.operators.filter((one) => one.event === 'read' && one.at < records.lostAt);
    return {
      occasions: reads.length,
      breaches: reads.flatMap((read) => {
        const newest = Math.max(0, ...acks.filter((one) => one.at < read.begun!).map((one) => one.revision!));
        return read.revision! < newest
          ? [`revision ${read.revision} was read after ${newest} was acknowledged`]
          : [];
      }),
    };
  },
  noDriftBack(records) {
    const last = new Map<string, Judge.Held>();
    const told = [
      ...records.held.map((one) => ({ ...one, from: one.at, how: `boot ${one.boot.slice(0, 8)} held` })),
      ...records.ended.flatMap((one) => {
        const stamp = readStamp(one.stamp);
        const node = records.nodeOf(one.proxy);
        const from = one.at - one.took;
        return stamp && node
          ? [{ ...stamp, node, boot: '', at: one.at, from, how: `${one.id} was under` }]
          : [];
      }),
    ].filter((one) => one.at < records.lostAt && compare(one, none) > 0);
    const boots = new Set(records.held.map((one) => one.boot));
    const nodes = new Set(records.held.map((one) => one.node));
    const breaches = told
      .sort((a, b) => a.from - b.from)
      .flatMap((one) => {
        const before = last.get(one.node);
        if (one.boot !== '' && (!before || compare(one, before) > 0)) last.set(one.node, one);
        return before && before.at < one.from && compare(one, before) < 0
          ? [
              `${one.node} went from ${before.epoch}.${before.revision} back: ${one.how} ${one.epoch}.${one.revision}`,
            ]
          : [];
      });
    return { occasions: boots.size - nodes.size, breaches };
  },
  inForceInTime(records) {
    const nodes = [...new Set(records.held.map((one) => one.node))];
    const judged = acked(records).flatMap((ack) =>
      nodes.flatMap((node) => {
        const due = records.reach.first(node, ack.at, newsWithin);
        const seen = records.held.find(
          (one) => one.node === node && due !== undefined && one.at > due + slack / 4,
        );
        return due !== undefined && due < records.finalAt && seen && seen.at < due + slack
          ? [{ node, ack, seen, isDelayed: due > ack.at + newsWithin + 1 }]
          : [];
      }),
    );
    return {
      occasions: judged.length,
      breaches: judged.flatMap(({ node, ack, seen, isDelayed }) =>
        seen.revision < ack.revision!
          ? [
              `${node} held ${seen.revision} at ${Math.round(seen.at)}, ${ack.revision} was acknowledged ${Math.round(seen.at - ack.at)} ms before${isDelayed ? ' (it was out of reach meanwhile)' : ''}`,
            ]
          : [],
      ),
    };
  },
  leavingGetsNothing(records) {
    const notices = records.operators.filter((one) => one.event === 'leaving');
    return {
      occasions: notices.length,
      breaches: notices.flatMap((notice) =>
        lateAt(records, notice.at, records.finalAt, (name) => name === notice.instance),
      ),
    };
  },
  evacuatedGetsNothing(records) {
    const puts = records.operators.filter((one) => one.event === 'put');
    const spans = acked(records).flatMap((ack) =>
      (ack.evacuations ?? []).map((zone) => {
        const other = puts.find((put) => put.at > ack.begun! && !put.evacuations?.includes(zone));
        return { zone, from: ack.at, to: Math.min(other?.at ?? Number.POSITIVE_INFINITY, records.finalAt) };
      }),
    );
    return {
      occasions: spans.filter(({ from, to }) => to > from + goneWithin + slack).length,
      breaches: spans.flatMap(({ zone, from, to }) =>
        lateAt(records, from, to, (name) => records.zoneOf(name) === zone),
      ),
    };
  },
  strangersGetNothing: ({ runs }) => ({
    occasions: runs.filter((run) => run.event === 'asked' && run.instance?.startsWith('stranger')).length,
    breaches: runs.flatMap((run) =>
      run.event !== 'asked' && run.event !== 'up' && run.instance?.startsWith('stranger')
        ? [`${run.caller} reached ${run.instance}`]
        : [],
    ),
  }),
  coldFedGently(records) {
    const boots = records.runs.filter((run) => run.event === 'up' && run.at > records.startedAt);
    const judged = boots.map((boot) => {
      const until = boot.at + ramp.over;
      const mine = records.runs
        .filter((run) => run.instance === boot.instance && run.at >= boot.at && run.at < until)
        .filter((run) => run.event === 'arrived' || run.event === 'gone')
        .sort((a, b) => a.at - b.at);
      let inside = 0;
      const breaches = mine.flatMap((run) => {
        inside += run.event === 'arrived' ? 1 : -1;
        const limit = Math.floor(ramp.first * 2 ** ((run.at - boot.at) / ramp.doubling)) + ramp.unseen;
        return inside > limit
          ? [`${inside} at once at ${boot.instance}, ${Math.round(run.at - boot.at)} ms after it came back`]
          : [];
      });
      return { arrived: mine.length, breaches };
    });
    return {
      occasions: judged.filter((one) => one.arrived > 0).length,
      breaches: judged.flatMap((one) => one.breaches),
    };
  },
} as const satisfies Judge;
