// What a proxy counts, as Prometheus metrics.
import { Counter, Histogram, Registry } from 'prom-client';
import type { Stamp } from '../kinds/stamp.js';
import { Gauges } from '../startup/gauges.js';

export type Meters = ReturnType<typeof Meters.of>;

const buckets = [0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1, 3, 10, 30];

export const Meters = {
  of(terms: { stamp: () => Stamp; held: () => number; active: () => number; age: () => number }) {
    const registers = [new Registry()];
    const registry = registers[0]!;
    const gauge = Gauges.of(registry);
    gauge('epoch', 'epoch of the manifest in force', () => terms.stamp().epoch);
    gauge('revision', 'revision of the state in force', () => terms.stamp().revision);
    gauge('tokens', 'tokens for extra tries held here', terms.held);
    gauge('active_requests', 'requests being served', terms.active);
    gauge('news_age_seconds', 'age of the last word from the primary', () => terms.age() / 1000);
    return {
      registry,
      requests: new Counter({
        name: 'bramblebend_requests_total',
        help: 'requests by rule and outcome',
        labelNames: ['rule', 'outcome'] as const,
        registers,
      }),
      tries: new Counter({
        name: 'bramblebend_tries_total',
        help: 'tries by group, outcome and whether beyond the first',
        labelNames: ['group', 'outcome', 'extra'] as const,
        registers,
      }),
      drops: new Counter({
        name: 'bramblebend_drops_total',
        help: 'requests dropped, by code',
        labelNames: ['code'] as const,
        registers,
      }),
      dark: new Counter({
        name: 'bramblebend_servers_dark_total',
        help: 'times a server went dark to this proxy, by group',
        labelNames: ['group'] as const,
        registers,
      }),
      ejections: new Counter({
        name: 'bramblebend_ejections_total',
        help: 'ejections by group',
        labelNames: ['group'] as const,
        registers,
      }),
      wrong: new Counter({
        name: 'bramblebend_wrong_identities_total',
        help: 'connections closed since another service or instance answered',
        labelNames: ['group'] as const,
        registers,
      }),
      breaks: new Counter({
        name: 'bramblebend_stream_breaks_total',
        help: 'streams broken after commit, by side',
        labelNames: ['side'] as const,
        registers,
      }),
      firstByte: new Histogram({
        name: 'bramblebend_first_byte_seconds',
        help: 'time from arrival to commit, by rule',
        labelNames: ['rule'] as const,
        buckets,
        registers,
      }),
    };
  },
};
