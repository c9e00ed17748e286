// A report of one fleet run, from the journals alone.
import { join } from 'node:path';
import type { Caller } from './caller.js';
import { Checkers } from './checkers.js';
import type { FleetKit } from './fleet-kit.js';
import { Journal } from './journal.js';

export type Report = {
  readonly requests: number;
  readonly kinds: Readonly<Record<string, object>>;
  readonly warmShare: number;
  readonly verdicts: Readonly<Record<string, Checkers.Verdict>>;
};

const quantile = (values: readonly number[], part: number): number => {
  const sorted = [...values].sort((a, b) => a - b);
  return Math.round((sorted[Math.min(sorted.length - 1, Math.floor(part * sorted.length))] ?? 0) * 10) / 10;
};

const countBy = (values: readonly string[]): Record<string, number> =>
  values.reduce<Record<string, number>>((counts, value) => {
    counts[value] = (counts[value] ?? 0) + 1;
    return counts;
  }, {});

export const Report = {
  quantile,
  read(kit: FleetKit): Checkers.Journals {
    const calls = Journal.read<{ event: string } & Caller.Entry>(join(kit.folder, 'callers.journal'));
    const regions = new Map(kit.servers.map((server) => [server.instance, server.backEnd.region]));
    const groups = new Map(kit.servers.map((server) => [server.instance, server.backEnd.group]));
    return {
      sent: calls.filter((entry) => entry.event === 'sent'),
      ended: calls.filter((entry) => entry.event === 'ended'),
      runs: kit.servers.flatMap((server) => Journal.read<Checkers.Run>(server.journal)),
      regionOf: (instance) => regions.get(instance),
      groupOf: (instance) => groups.get(instance),
      homes: Object.fromEntries(
        Object.entries(kit.deployment.manifest.homes).map(([name, home]) => [name, home.regions]),
      ),
    };
  },
  of(kit: FleetKit): Report {
    const journals = Report.read(kit);
    const { ended, sent, runs } = journals;
    const kinds = Object.fromEntries(
      kit.deployment.mix.map(({ name }) => {
        const mine = ended.filter((entry) => entry.kind === name);
        const first = mine.filter((entry) => entry.outcome === 'whole').map((entry) => entry.firstToken);
        return [
          name,
          {
            requests: mine.length,
            outcomes: countBy(
              mine.map((entry) => (entry.outcome === 'dropped' ? `${entry.status}` : entry.outcome)),
            ),
            firstTokenMs: {
              p50: quantile(first, 0.5),
              p90: quantile(first, 0.9),
              p99: quantile(first, 0.99),
            },
            tries: countBy(mine.map((entry) => String(entry.tries))),
          },
        ];
      }),
    );
    const prompts = runs.filter((run) => run.event === 'run' && run.warm !== undefined);
    return {
      requests: sent.length,
      kinds,
      warmShare:
        Math.round((prompts.filter((run) => run.warm).length / Math.max(1, prompts.length)) * 1000) / 1000,
      verdicts: Object.fromEntries(
        Object.entries(Checkers).map(([name, check]) => {
          const { occasions, breaches } = check(journals);
          return [name, { occasions, breaches: breaches.slice(0, 20) }];
        }),
      ),
    };
  },
};
