/**
 * Prometheus metrics of a process. Values are counted here without a library; the library that writes the exposition
 * format is loaded on the first request for metrics, which most processes never receive.
 */
import type { Registry } from 'prom-client';

/** Registers metrics and writes them. */
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
  /** All metrics in the Prometheus exposition format, with its content type. */
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

/** One row for each combination of label values seen so far. */
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

/** Loads the library and registers all metrics with it. */
const load = async (metrics: readonly Metric[]): Promise<Registry> => {
  const { Registry } = await import('prom-client');
  const registry = new Registry();
  for (const { values, ...fields } of metrics)
    registry.registerMetric({ ...fields, get: async () => ({ ...fields, values: values() }) } as never);
  return registry;
};

/** Creates an empty set of metrics. */
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
          inc(labelValues) {
            rows.at(labelValues).value += 1;
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
              let cumulative = 0;
              const buckets = bounds.map((le, index) => {
                cumulative += row.counts[index]!;
                return {
                  metricName: `${metricName}_bucket`,
                  labels: { le, ...row.labels },
                  value: cumulative,
                };
              });
              return [
                ...buckets,
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
          observe(labelValues, value) {
            const row = rows.at(labelValues);
            const index = bounds.findIndex((bound) => value <= bound);
            if (index >= 0) row.counts[index]! += 1;
            row.count += 1;
            row.sum += value;
          },
        };
      },
      async write() {
        registry ??= load(metrics);
        const loaded = await registry;
        return { text: await loaded.metrics(), type: loaded.contentType };
      },
    };
  },
};
