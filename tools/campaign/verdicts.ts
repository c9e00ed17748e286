// The verdicts over one seed, from the journals that its folder holds: those of callers, back ends,
// operators and the monitor, with the record of the faults made. A kept folder can be judged again.
import { readdirSync, readFileSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import type { Caller } from '../caller.js';
import { Checkers } from '../checkers.js';
import { Journal } from '../journal.js';
import { Judge } from './judge.js';
import { Reach } from './reach.js';
import { Recovery } from './recovery.js';
import { Tenants } from './tenants.js';
import type { World } from './world.js';

export type Verdicts = {
  readonly verdicts: Readonly<Record<string, Checkers.Verdict>>;
  readonly figures: Verdicts.Figures;
};

export declare namespace Verdicts {
  type Figures = {
    readonly faults: number;
    readonly requests: number;
    readonly outcomes: Readonly<Record<string, number>>;
    readonly extraTries: number;
    readonly unsentTries: number;
    readonly changes: number;
    readonly walls: Tenants.Figures;
    readonly final: string;
    readonly backAfterFaults: Readonly<Record<string, number>> | string;
    readonly backAfterFinal: Readonly<Record<string, number>> | string;
  };
  type Facts = {
    readonly made: readonly World.Made[];
    readonly cores: readonly Reach.Machine[];
    readonly fronts: readonly (Reach.Machine & { readonly listen: string })[];
    readonly servers: readonly {
      readonly instance: string;
      readonly group: string;
      readonly region: string;
      readonly zone: string;
    }[];
    readonly homes: Readonly<Record<string, readonly string[]>>;
    /** The tenant that each kind of request comes from. */
    readonly tenants: Readonly<Record<string, string>>;
    readonly startedAt: number;
    readonly finalAt: number;
    readonly final: string;
    readonly healed: Readonly<Record<string, number>> | string;
    readonly back: Readonly<Record<string, number>> | string;
  };
}

const readTimes = (told: Verdicts.Facts['healed'], what: string): readonly string[] => {
  if (typeof told === 'string') return told === 'off' ? [] : [`${what}: ${told}`];
  const took = told.served ?? Number.POSITIVE_INFINITY;
  return took > Recovery.within ? [`${what}: ${took} ms`] : [];
};

const countBy = (values: readonly string[]): Record<string, number> =>
  values.reduce<Record<string, number>>((counts, value) => {
    counts[value] = (counts[value] ?? 0) + 1;
    return counts;
  }, {});

const lastAt = (records: readonly { readonly at: number }[]): number =>
  records.reduce((last, { at }) => Math.max(last, at), 0);

export const Verdicts = {
  keep: (folder: string, facts: Verdicts.Facts): void =>
    writeFileSync(join(folder, 'facts.json'), JSON.stringify(facts)),
  of(folder: string): Verdicts {
    const facts = JSON.parse(readFileSync(join(folder, 'facts.json'), 'utf8')) as Verdicts.Facts;
    const made = facts.made.map((one) => ({ ...one, to: one.to ?? Number.POSITIVE_INFINITY }));
    const calls = Journal.read<{ event: string } & Caller.Entry>(join(folder, 'callers.journal'));
    const own = new Set(['callers.journal', 'operators.journal', 'monitor.journal']);
    const runs = readdirSync(folder)
      .filter((name) => name.endsWith('.journal') && !own.has(name))
      .flatMap((name) => Journal.read<Checkers.Run>(join(folder, name)));
    const servers = new Map(facts.servers.map((one) => [one.instance, one]));
    const nodes = new Map(facts.fronts.map(({ listen, node }) => [listen, node]));
    const journals: Checkers.Journals = {
      sent: calls.filter((entry) => entry.event === 'sent'),
      ended: calls.filter((entry) => entry.event === 'ended'),
      runs,
      regionOf: (instance) => servers.get(instance)?.region,
      groupOf: (instance) => servers.get(instance)?.group,
      homes: facts.homes,
    };
    const held = Journal.read<Judge.Held>(join(folder, 'monitor.journal'));
    const records: Judge.Records = {
      operators: Journal.read(join(folder, 'operators.journal')),
      held,
      made,
      reach: Reach.of({ made, cores: facts.cores, fronts: facts.fronts, until: lastAt(held) }),
      runs,
      ended: journals.ended,
      sent: calls.filter((entry) => entry.event === 'sent'),
      zoneOf: (instance) => servers.get(instance)?.zone,
      nodeOf: (proxy) => nodes.get(proxy),
      startedAt: facts.startedAt,
      finalAt: facts.finalAt,
      lostAt: Recovery.isKept(facts.final as Recovery) ? Number.POSITIVE_INFINITY : facts.finalAt,
    };
    const late = [
      ...readTimes(facts.healed, 'after the faults'),
      ...readTimes(facts.back, `after the final fault (${facts.final})`),
    ];
    const walls = Tenants.judge({
      asked: calls.filter((entry) => entry.event === 'sent' || entry.event === 'probe'),
      ended: journals.ended.filter((entry) => entry.at < facts.finalAt),
      lookups: runs.filter((run) => run.event === 'lookup'),
      tenants: facts.tenants,
      generations: records.operators,
    });
    const verdicts: Record<string, Checkers.Verdict> = {
      ...Object.fromEntries(Object.entries(Checkers).map(([name, check]) => [name, check(journals)])),
      ...Object.fromEntries(Object.entries(Judge).map(([name, check]) => [name, check(records)])),
      tenantsStayApart: walls.verdict,
      backInTime: { occasions: facts.back === 'off' ? 1 : 2, breaches: late },
    };
    const tries = journals.ended.reduce((sum, { tries: count }) => sum + Math.max(0, count - 1), 0);
    const extraTries = verdicts.extraTriesFew!.occasions;
    return {
      verdicts,
      figures: {
        faults: made.length,
        requests: journals.ended.length,
        outcomes: countBy(
          journals.ended.map((one) => (one.outcome === 'dropped' ? String(one.status) : one.outcome)),
        ),
        extraTries,
        unsentTries: Math.max(0, tries - extraTries),
        changes: records.operators.filter((one) => one.event === 'answer' && one.status === 200).length,
        walls: walls.figures,
        final: facts.final,
        backAfterFaults: facts.healed,
        backAfterFinal: facts.back,
      },
    };
  },
};
