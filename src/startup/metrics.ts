// What a program measures of itself, for Prometheus. Counting is plain arithmetic here; the library that
// knows the format is loaded when somebody asks for the first time, which most processes never see.
import type { Registry } from 'prom-client';

export type Metrics = {
  readonly gauge: (name: string, help: string, read: () => number) => void;
  readonly counter: <L extends string>(
    name: string,
    help: string,
    labels: readonly L[],
  ) => { readonly inc: (labels: Readonly<Record<L, string>>) => void };
  readonly histogram: <L extends string>(
    name: string,
    help: string,
    labels: readonly L[],
    bounds: readonly number[],
  ) => { readonly observe: (labels: Readonly<Record<L, string>>, value: number) => void };
  readonly write: () => Promise<{ readonly text: string; readonly type: string }>;
};

type Labels = Readonly<Record<string, string>>;
type Value = { readonly labels: Readonly<Record<string, string | number>>; readonly value: number };
type Metric = {
  readonly name: string;
  readonly help: string;
  readonly type: 'gauge' | 'counter' | 'histogram';
  readonly aggregator: 'sum';
  readonly values: () => readonly (Value & { readonly metricName?: string })[];
};

const prefix = 'bramblebend_';

/** One row for each combination of labels that was met. */
const rowsOf = <R extends object>(names: readonly string[], make: () => R) => {
  const rows = new Map<string, R & { readonly labels: Labels }>();
  return {
    all: () => [...rows.values()],
    at(labels: Labels) {
      const key = names.map((name) => labels[name]).join('\n');
      let row = rows.get(key);
      if (!row) {
        row = { ...make(), labels };
        rows.set(key, row);
      }
      return row;
    },
  };
};

const load = async (metrics: readonly Metric[]): Promise<Registry> => {
  const { Registry } = await import('prom-client');
  const registry = new Registry();
  for (const { values, ...told } of metrics)
    registry.registerMetric({ ...told, get: async () => ({ ...told, values: values() }) } as never);
  return registry;
};

export const Metrics = {
  of(): Metrics {
    const metrics: Metric[] = [];
    let registry: Promise<Registry> | undefined;
    const add = (metric: Omit<Metric, 'aggregator'>) => void metrics.push({ ...metric, aggregator: 'sum' });
    return {
      gauge: (name, help, read) =>
        add({ name: prefix + name, help, type: 'gauge', values: () => [{ labels: {}, value: read() }] }),
      counter(name, help, labels) {
        const rows = rowsOf(labels, () => ({ value: 0 }));
        add({ name: prefix + name, help, type: 'counter', values: rows.all });
        return {
          inc(given) {
            rows.at(given).value += 1;
          },
        };
      },
      histogram(name, help, labels, bounds) {
        const metricName = prefix + name;
        const rows = rowsOf(labels, () => ({ counts: bounds.map(() => 0), count: 0, sum: 0 }));
        add({
          name: metricName,
          help,
          type: 'histogram',
          values: () =>
            rows.all().flatMap((row) => {
              let upTo = 0;
              const under = bounds.map((le, index) => {
                upTo += row.counts[index]!;
                return { metricName: `${metricName}_bucket`, labels: { le, ...row.labels }, value: upTo };
              });
              return [
                ...under,
                {
                  metricName: `${metricName}_bucket`,
                  labels: { le: '+Inf', ...row.labels },
                  value: row.count,
                },
                { metricName: `${metricName}_sum`, labels: row.labels, value: row.sum },
                { metricName: `${metricName}_count`, labels: row.labels, value: row.count },
              ];
            }),
        });
        return {
          observe(given, value) {
            const row = rows.at(given);
            const index = bounds.findIndex((bound) => value <= bound);
            if (index >= 0) row.counts[index]! += 1;
            row.count += 1;
            row.sum += value;
          },
        };
      },
      async write() {
        registry ??= load(metrics);
        const made = await registry;
        return { text: await made.metrics(), type: made.contentType };
      },
    };
  },
};
