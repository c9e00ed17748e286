/**
 * Metrics of a proxy.
 */
import type { Stamp } from '../common/stamp.js';
import { Metrics } from '../startup/metrics.js';

/** The metrics of a proxy. */
export type Meters = ReturnType<typeof Meters.of>;

/** Histogram bucket bounds, in seconds. */
const firstByteBuckets = [0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1, 3, 10, 30];

/** Creates the metrics of a proxy. */
export const Meters = {
  of(sources: {
    stamp: () => Stamp;
    held: () => number;
    active: () => number;
    age: () => number;
    keyLease: () => number;
  }) {
    const metrics = Metrics.of();
    const { gauge, counter } = metrics;
    gauge('epoch', 'epoch of the manifest in force', () => sources.stamp().epoch);
    gauge('revision', 'revision of the state in force', () => sources.stamp().revision);
    gauge('tokens', 'tokens for extra tries held here', sources.held);
    gauge('active_requests', 'requests being served', sources.active);
    gauge('news_age_seconds', 'age of the last word from the primary', () => sources.age() / 1000);
    gauge(
      'key_lease_seconds',
      'how long API keys are accepted unless the lease is renewed; infinite without a bound',
      () => sources.keyLease() / 1000,
    );
    return {
      metrics,
      requests: counter('requests_total', 'requests by rule and outcome', ['rule', 'outcome']),
      tries: counter('tries_total', 'tries by group, outcome and whether beyond the first', [
        'group',
        'outcome',
        'extra',
      ]),
      extraTries: counter('extra_tries_total', 'tries beyond the first, by group and by what paid for them', [
        'group',
        'payment',
      ]),
      refusals: counter('drops_total', 'requests dropped, by code', ['code']),
      darkServers: counter('servers_dark_total', 'times a server went dark to this proxy, by group', [
        'group',
      ]),
      ejections: counter('ejections_total', 'ejections by group', ['group']),
      wrongIdentities: counter(
        'wrong_identities_total',
        'connections closed since another service or instance answered',
        ['group'],
      ),
      streamBreaks: counter('stream_breaks_total', 'streams broken after commit, by side', ['side']),
      firstByte: metrics.histogram(
        'first_byte_seconds',
        'time from arrival to commit, by rule',
        ['rule'],
        firstByteBuckets,
      ),
    };
  },
};
