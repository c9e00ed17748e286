/**
 * Checks of who is served at all: proper requests refused as wrong, and kinds of request that starve.
 */
import type { Recording } from './recording.js';
import { RouteBook } from './route-book.js';
import { Verdict } from './verdict.js';

/** The checks of service. */
export type ServiceChecks = Readonly<Record<'denied' | 'starved' | 'later', Verdict.Check>>;

/** What says "not now", and so denies nothing. */
const laterStatuses = [408, 421, 429];
const mostDenied = 5;
const deniedOneIn = 500;
/** A kind with fewer requests tells nothing. */
const leastAsked = 10;
const leastOnLater = 20;

const isDenial = ({ status }: Recording.Ended): boolean =>
  status >= 300 && status < 500 && !laterStatuses.includes(status);

/** The checks of service, by name. */
export const ServiceChecks: ServiceChecks = {
  denied(recording) {
    const book = RouteBook.of(recording);
    const tries = Verdict.tries(recording);
    const proper = recording.ended.filter(({ attempt }) => {
      const sent = tries.get(attempt);
      return (
        sent !== undefined && book.versions.length > 0 && book.lacking(sent.host, sent.path).length === 0
      );
    });
    const denied = proper.filter(isDenial);
    const isBroken = denied.length > mostDenied + recording.sent.length / deniedOneIn;
    return {
      occasions: proper.length,
      breaches: isBroken ? denied.map(({ attempt, status }) => `${attempt}, proper, got ${status}`) : [],
    };
  },
  later(recording) {
    const book = RouteBook.of(recording);
    const acked = book.versions.filter((version) => version.acked !== undefined);
    const [first] = acked;
    const outcomes = new Map(recording.ended.map((ended) => [ended.attempt, ended.outcome]));
    const isOnFirst = (sent: Recording.Sent): boolean | undefined => {
      const due = acked.findLast((version) => version.acked! < sent.at);
      const route = due && book.find(due, sent.host, sent.path);
      return route && first?.routes.some(({ name }) => name === route.name);
    };
    const shareOf = (sent: readonly Recording.Sent[]) =>
      sent.filter(({ attempt }) => outcomes.get(attempt) === 'whole').length / Math.max(1, sent.length);
    const onFirst = recording.sent.filter((sent) => isOnFirst(sent) === true);
    const onLater = recording.sent.filter((sent) => isOnFirst(sent) === false);
    const isBroken = onLater.length >= leastOnLater && shareOf(onLater) < shareOf(onFirst) / 4;
    return {
      occasions: onLater.length,
      breaches: isBroken
        ? [`${shareOf(onLater)} served on later routes, ${shareOf(onFirst)} on the first`]
        : [],
    };
  },
  starved(recording) {
    const served = new Set(
      recording.ended.filter(({ outcome }) => outcome === 'whole').map((one) => one.request),
    );
    const shareOf = (requests: ReadonlySet<string>) =>
      [...requests].filter((one) => served.has(one)).length / requests.size;
    const all = new Set(recording.sent.map((sent) => sent.request));
    const kinds = [...Verdict.groupBy(recording.sent, (sent) => sent.kind)]
      .map(([kind, sent]) => ({ kind, requests: new Set(sent.map((one) => one.request)) }))
      .filter(({ requests }) => requests.size >= leastAsked);
    return {
      occasions: kinds.length,
      breaches: kinds
        .filter(({ requests }) => shareOf(requests) < shareOf(all) / 4)
        .map(({ kind, requests }) => `${kind}: ${shareOf(requests)} served, ${shareOf(all)} of all`),
    };
  },
};
