/**
 * Tenants: each request that runs is named as its key's tenant and carries no key, no key runs that no version holds or that
 * was taken away long enough ago, and no tenant runs more than its limit allows within the window.
 */
import type { Recording } from './recording.js';
import { RouteBook } from './route-book.js';
import { Verdict } from './verdict.js';

/** The checks of tenants. */
export type TenantChecks = Readonly<Record<'tenant' | 'revoked' | 'quota', Verdict.Check>>;

type KeyedRun = {
  readonly sent: Recording.Sent & { readonly key: string };
  readonly arrival: Verdict.Arrival;
};

/** What ran of requests that carried a key, in the order of arrival. */
const keyedRuns = (recording: Recording): readonly KeyedRun[] => {
  const tries = Verdict.tries(recording);
  const ran = new Set(Verdict.ofKind(recording, 'run').map((run) => `${run.attempt} ${run.instance}`));
  return Verdict.arrivals(recording).flatMap((arrival) => {
    const sent = tries.get(arrival.attempt);
    const isRun = ran.has(`${arrival.attempt} ${arrival.instance}`);
    return sent?.key !== undefined && isRun ? [{ sent: { ...sent, key: sent.key }, arrival }] : [];
  });
};

const tenantIn = (version: RouteBook.Version, key: string): string | undefined =>
  version.subscribers?.find(({ keys }) => keys.includes(key))?.name;

/** The most requests of a tenant that may run in a window, or infinity without a limit. */
const mostIn = (version: RouteBook.Version, name: string, bounds: Verdict.Bounds): number => {
  const tenant = version.subscribers?.find((one) => one.name === name);
  if (!tenant || tenant.perSecond === 0) return Number.POSITIVE_INFINITY;
  const within = (tenant.perSecond * bounds.quotaWindow) / 1000 + tenant.burst;
  return within * (1 + bounds.quotaOvershoot) + bounds.quotaSlack;
};

/** The versions that may bind within a span: those sent before its end that no other replaced well before its start. */
const versionsBetween = (
  versions: readonly RouteBook.Version[],
  from: number,
  to: number,
): readonly RouteBook.Version[] => {
  const acked = versions.filter(({ acked }) => acked !== undefined && acked < from);
  const newest = Math.max(0, ...acked.map(({ revision }) => revision));
  return versions.filter(({ sent, revision }) => sent <= to && revision >= newest);
};

export const TenantChecks: TenantChecks = {
  tenant(recording) {
    const { versions } = RouteBook.of(recording);
    const runs = keyedRuns(recording);
    const breaches = runs.flatMap(({ sent, arrival }) => {
      const holders = versions.flatMap((version) => tenantIn(version, sent.key) ?? []);
      if (arrival.hasKey) return [`${sent.attempt} came to ${arrival.instance} with its key`];
      if (holders.length === 0) return [`${sent.attempt} ran under a key that no version holds`];
      return holders.includes(arrival.subscriber ?? '')
        ? []
        : [`${sent.attempt} of ${holders[0]} ran as ${arrival.subscriber ?? 'nobody'}`];
    });
    return { occasions: runs.length, breaches };
  },
  revoked(recording, bounds) {
    const { versions } = RouteBook.of(recording);
    const runs = keyedRuns(recording);
    const judged = runs.flatMap(({ sent }) => {
      const due = versions.filter(({ acked }) => acked !== undefined && acked + bounds.revoke < sent.at);
      const newest = due.at(-1);
      if (!newest) return [];
      const mayBind = versions.filter(({ revision }) => revision >= newest.revision);
      return [{ sent, isHeld: mayBind.some((version) => tenantIn(version, sent.key) !== undefined) }];
    });
    return {
      occasions: judged.length,
      breaches: judged
        .filter(({ isHeld }) => !isHeld)
        .map(({ sent }) => `${sent.attempt} ran at ${sent.front} with a key that was taken away`),
    };
  },
  quota(recording, bounds) {
    const { versions } = RouteBook.of(recording);
    const byTenant = Verdict.groupBy(keyedRuns(recording), ({ arrival }) => arrival.subscriber ?? '');
    const breaches = [...byTenant].flatMap(([name, runs]) => {
      const worst = runs.flatMap(({ arrival }) => {
        const from = arrival.at - bounds.quotaWindow;
        const count = runs.filter((one) => one.sent.at > from && one.arrival.at <= arrival.at).length;
        const binding = versionsBetween(versions, from - bounds.quotaWindow - bounds.configApply, arrival.at);
        const most = Math.max(...binding.map((version) => mostIn(version, name, bounds)));
        return count > most ? [{ count, most }] : [];
      });
      return worst
        .slice(0, 1)
        .map(({ count, most }) => `${name}: ${count} ran in a window, ${most.toFixed(1)} at most`);
    });
    return { occasions: byTenant.size, breaches };
  },
};
