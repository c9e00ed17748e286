/**
 * Checks of where requests may go and of how many: routes and homes, servers that leave, evacuated zones, cold servers, and
 * the budget of retries.
 */
import { countBetween } from '../count-between.js';
import type { Recording } from './recording.js';
import { RouteBook } from './route-book.js';
import { Verdict } from './verdict.js';

/** The checks of traffic. */
export type TrafficChecks = Readonly<
  Record<'route' | 'home' | 'drain' | 'evacuation' | 'failback' | 'budget' | 'attempts', Verdict.Check>
>;

/** So many requests may run at more servers than their route's tries. */
const mostOverAttempts = 3;

const merge = (verdicts: readonly Verdict[]): Verdict => ({
  occasions: verdicts.reduce((sum, verdict) => sum + verdict.occasions, 0),
  breaches: verdicts.flatMap((verdict) => verdict.breaches),
});

const serviceOf = (book: RouteBook, sent: Recording.Sent): readonly string[] => [
  ...new Set(book.versions.flatMap((version) => book.find(version, sent.host, sent.path)?.services ?? [])),
];

/** The checks of traffic, by name. */
export const TrafficChecks: TrafficChecks = {
  route(recording) {
    const book = RouteBook.of(recording);
    const arrivals = new Map(
      Verdict.arrivals(recording).map((arrival) => [`${arrival.attempt} ${arrival.instance}`, arrival]),
    );
    const ran = Verdict.ofKind(recording, 'run').flatMap(
      (run) => arrivals.get(`${run.attempt} ${run.instance}`) ?? [],
    );
    return {
      occasions: ran.length,
      breaches: ran
        .filter((one) => book.allowing(one.host, one.path, one.service).length === 0)
        .map((one) => `${one.attempt} for ${one.host}${one.path} ran at ${one.service}`),
    };
  },
  home(recording) {
    const book = RouteBook.of(recording);
    const bound = Verdict.arrivals(recording).flatMap((arrival) => {
      const routes = book.versions.flatMap((one) => book.find(one, arrival.host, arrival.path) ?? []);
      return routes.length > 0 && routes.every((route) => route.homes.length > 0)
        ? [{ arrival, regions: routes.flatMap((route) => route.homes) }]
        : [];
    });
    return {
      occasions: bound.length,
      breaches: bound
        .filter(({ arrival, regions }) => !regions.includes(arrival.region))
        .map(
          ({ arrival, regions }) => `${arrival.attempt}, at home in ${regions}, came to ${arrival.region}`,
        ),
    };
  },
  drain(recording, bounds) {
    const since = new Map<string, number>();
    for (const listed of recording.listed)
      if (listed.state !== 'available' && !since.has(listed.instance)) since.set(listed.instance, listed.at);
    const arrivals = Verdict.arrivals(recording);
    const serviceAt = new Map(arrivals.map((arrival) => [arrival.instance, arrival.service]));
    return merge(
      [...since].map(([instance, at]) => {
        const late = arrivals.filter((arrival) => arrival.at > at + bounds.drain);
        return {
          occasions: late.filter((arrival) => arrival.service === serviceAt.get(instance)).length,
          breaches: late
            .filter((arrival) => arrival.instance === instance)
            .map(
              (arrival) => `${arrival.attempt} came to ${instance} ${Math.round(arrival.at - at)} ms late`,
            ),
        };
      }),
    );
  },
  evacuation(recording, bounds) {
    const arrivals = Verdict.arrivals(recording);
    return merge(
      recording.orders.flatMap((order) => {
        if (order.kind !== 'evacuate' || order.acked === undefined) return [];
        const { zone, acked } = order;
        const ends = recording.orders.find(
          (other) => other.kind === 'take-back' && other.zone === zone && other.sent > acked,
        );
        const during = arrivals.filter(
          (one) => one.at > acked + bounds.evacuation && one.at < (ends?.sent ?? Number.POSITIVE_INFINITY),
        );
        const breaches = during
          .filter((one) => one.zone === zone)
          .map((one) => `${one.attempt} came to ${one.instance} in ${zone}`);
        return [{ occasions: during.length, breaches }];
      }),
    );
  },
  failback(recording, bounds) {
    const tries = Verdict.tries(recording);
    const cold = Verdict.arrivals(recording).filter((arrival) => arrival.isCold);
    const verdicts = [...Verdict.groupBy(cold, (arrival) => arrival.instance)].map(([instance, group]) => {
      const perSecond = bounds.warmupPerSecond[group[0]!.service] ?? Number.POSITIVE_INFINITY;
      const most = perSecond * bounds.warmupOvershoot + bounds.warmupSlack;
      const worst = group.reduce((worst, last) => {
        const inside = group.filter(
          (one) =>
            one.at <= last.at &&
            one.at > last.at - 1000 &&
            (tries.get(one.attempt)?.at ?? one.at) > last.at - 1000,
        );
        return Math.max(worst, inside.length);
      }, 0);
      return {
        occasions: group.length,
        breaches:
          worst > most ? [`${instance}, cold, got ${worst} requests in a second; ${most} at most`] : [],
      };
    });
    return merge(verdicts);
  },
  attempts(recording) {
    const book = RouteBook.of(recording);
    const tries = Verdict.tries(recording);
    const runs = Verdict.groupBy(Verdict.ofKind(recording, 'run'), (run) => run.attempt);
    const bound = [...runs].flatMap(([attempt, group]) => {
      const sent = tries.get(attempt);
      const counts = book.versions.flatMap(
        (version) => (sent && book.find(version, sent.host, sent.path)?.attempts) ?? [],
      );
      const servers = new Set(group.map((run) => run.instance)).size;
      return counts.length === 0 ? [] : [{ attempt, servers, most: Math.max(...counts) }];
    });
    const over = bound.filter(({ servers, most }) => servers > most);
    return {
      occasions: bound.length,
      breaches:
        over.length > mostOverAttempts
          ? over.map(({ attempt, servers, most }) => `${attempt} ran at ${servers} servers, ${most} at most`)
          : [],
    };
  },
  budget(recording, bounds) {
    const book = RouteBook.of(recording);
    const arrivals = [...Verdict.ofKind(recording, 'arrived')].sort((a, b) => a.at - b.at);
    const met = new Set<string>();
    const further = arrivals.filter((arrival) => {
      const isFurther = met.has(arrival.attempt);
      met.add(arrival.attempt);
      return isFurther;
    });
    const sentAt = new Map<string, number[]>();
    for (const sent of recording.sent)
      for (const service of serviceOf(book, sent))
        sentAt.set(service, [...(sentAt.get(service) ?? []), sent.at]);
    for (const list of sentAt.values()) list.sort((a, b) => a - b);
    const span = bounds.retryWindow;
    const verdicts = [...Verdict.groupBy(further, (arrival) => arrival.service)].map(([service, group]) => {
      const sent = sentAt.get(service) ?? [];
      const times = group.map((arrival) => arrival.at);
      const breaches = times.flatMap((at, index) => {
        const begins = at - span;
        const count = index + 1 - countBetween(times, Number.NEGATIVE_INFINITY, begins);
        const requests = Math.max(
          countBetween(sent, begins, at),
          countBetween(sent, begins - span, at - span),
          countBetween(sent, begins - span / 2, at - span / 2),
        );
        const most = bounds.retryRatio * requests + bounds.retrySlack;
        return count > most
          ? [`${service}: ${count} further tries in ${span} ms, ${most.toFixed(1)} at most`]
          : [];
      });
      return { occasions: group.length, breaches: breaches.slice(0, 3) };
    });
    return merge(verdicts);
  },
};
