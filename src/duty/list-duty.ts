/**
 * The list duty of the acting primary: polls the list of servers and publishes a new one when its content changed. The
 * remaining warmup time of a server decreases by itself and is not a change; the start, end or reset of a warmup is. A poll
 * that fails or returns nothing changes nothing. The poll interval grows while the source reports that it is overloaded.
 */
import { Failure } from '../common/failure.js';
import { Instant } from '../common/instant.js';
import type { Document } from '../manifest/document.js';
import { ListSource } from './list-source.js';
import { RepeatingTask } from './repeating-task.js';

/** Polls the list of servers. */
export type ListDuty = { readonly stop: () => Promise<void> };

/** Dependencies of the duty. */
export declare namespace ListDuty {
  type Dependencies = {
    readonly source: ListSource;
    /** Whether this node holds the duty. */
    readonly isHeld: () => boolean;
    readonly currentServers: () => readonly Document.Server[];
    readonly renew: (servers: readonly Document.Server[]) => Promise<boolean>;
    readonly note: (text: string, facts?: Record<string, unknown>) => void;
  };
}

type Published = { readonly servers: readonly Document.Server[]; readonly at: Instant };

const { pollIntervalMs } = ListSource;
/** How often a node without the duty checks whether it holds it. */
const idleIntervalMs = 100;
/** A warmup counts as reset only if its remaining time grew by more than this. */
const warmupToleranceMs = 300;

const withoutWarming = ({ warming: _warming, ...rest }: Document.Server): string =>
  JSON.stringify(Object.entries(rest).sort(([a], [b]) => (a < b ? -1 : 1)));

const isWarmupChanged = (before: Document.Server, after: Document.Server, elapsed: number): boolean => {
  const left = Math.max(0, (before.warming ?? 0) - elapsed);
  const isWarming = (after.warming ?? 0) > 0;
  return isWarming !== (before.warming ?? 0) > 0 || (after.warming ?? 0) > left + warmupToleranceMs;
};

const isChanged = (before: Published, after: readonly Document.Server[]): boolean => {
  if (before.servers.length !== after.length) return true;
  const known = new Map(before.servers.map((one) => [one.instance, one]));
  const elapsed = Instant.since(before.at);
  return after.some((one) => {
    const old = known.get(one.instance);
    return !old || withoutWarming(old) !== withoutWarming(one) || isWarmupChanged(old, one, elapsed);
  });
};

/** Keeps servers that are missing for the first time: a list that changes between two pages may lack one. */
const keepMissingOnce = (
  held: readonly Document.Server[],
  polled: readonly Document.Server[],
  missedBefore: ReadonlySet<string>,
): readonly Document.Server[] => {
  const instances = new Set<string>(polled.map((one) => one.instance));
  const addresses = new Set(polled.map((one) => one.address));
  const kept = held.filter(
    (one) => !instances.has(one.instance) && !missedBefore.has(one.instance) && !addresses.has(one.address),
  );
  return kept.length === 0 ? polled : [...polled, ...kept];
};

/** Runs the duty. */
export const ListDuty = {
  run(needs: ListDuty.Dependencies): ListDuty {
    let published: Published | undefined;
    let missingBefore: ReadonlySet<string> = new Set();
    let interval: number = pollIntervalMs;
    const step = async (): Promise<number> => {
      if (!needs.isHeld()) {
        published = undefined;
        missingBefore = new Set();
        interval = pollIntervalMs;
        return idleIntervalMs;
      }
      const polled = await needs.source.poll();
      if (polled.kind === 'busy') {
        interval = ListSource.pauseWhenBusy(interval);
        return interval;
      }
      interval = pollIntervalMs;
      if (polled.kind === 'failed') needs.note('polling the server list failed', { why: polled.why });
      if (polled.kind === 'failed' || polled.servers.length === 0 || !needs.isHeld()) return interval;
      interval = ListSource.pauseAfter(needs.source, polled.pages);
      const at = Instant.now();
      const before = published ?? { servers: needs.currentServers(), at };
      const servers =
        polled.pages > 1 ? keepMissingOnce(before.servers, polled.servers, missingBefore) : polled.servers;
      missingBefore = new Set(servers.slice(polled.servers.length).map((one) => one.instance));
      published ??= before;
      if (isChanged(before, servers) && (await needs.renew(servers))) published = { servers, at };
      return interval;
    };
    return RepeatingTask.run(step, pollIntervalMs, (error) =>
      needs.note('publishing the server list failed', { why: Failure.text(error) }),
    );
  },
};
