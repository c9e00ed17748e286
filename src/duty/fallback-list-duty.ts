/**
 * Polling of the server list by each core that hears of no primary, spread over the cores so that together they stay within
 * the rate limit. The core reports to the proxies only which servers should get no new requests: those that are leaving, are
 * gone, or whose address belongs to another server. Nothing is committed, so no agreement is needed, and the worst effect of
 * a wrong report is that a server gets no new requests for a while. New servers are not announced until there is a primary.
 */
import { Failure } from '../common/failure.js';
import type { Document } from '../manifest/document.js';
import { ListSource } from './list-source.js';
import { RepeatingTask } from './repeating-task.js';

/** Polls the list while there is no primary. */
export type FallbackListDuty = { readonly stop: () => Promise<void> };

/** Dependencies of the duty. */
export declare namespace FallbackListDuty {
  /** Position of this core among the cores that poll. */
  type Position = { readonly index: number; readonly count: number };
  type Dependencies = {
    readonly source: ListSource;
    readonly hasPrimary: () => boolean;
    readonly position: () => FallbackListDuty.Position;
    readonly currentServers: () => readonly Document.Server[];
    readonly announceLeaving: (instances: readonly string[]) => void;
    readonly note: (text: string, facts?: Record<string, unknown>) => void;
  };
}

const idleIntervalMs = 250;

const findLeaving = (
  held: readonly Document.Server[],
  polled: readonly Document.Server[],
  missingBefore: ReadonlySet<string>,
): { readonly leaving: readonly string[]; readonly missing: ReadonlySet<string> } => {
  const listed = new Set<string>(polled.map((one) => one.instance));
  const addresses = new Set(polled.map((one) => one.address));
  const missing = held.filter((one) => !listed.has(one.instance));
  const gone = missing.filter((one) => missingBefore.has(one.instance) || addresses.has(one.address));
  const draining = polled.filter((one) => one.isLeaving === true);
  return {
    leaving: [...draining, ...gone].map((one) => one.instance),
    missing: new Set(missing.map((one) => one.instance)),
  };
};

/** Runs the duty. */
export const FallbackListDuty = {
  run(needs: FallbackListDuty.Dependencies): FallbackListDuty {
    let missing: ReadonlySet<string> = new Set();
    let interval: number = ListSource.pollIntervalMs;
    let isActive = false;
    const step = async (): Promise<number> => {
      const { index, count } = needs.position();
      if (needs.hasPrimary()) {
        isActive = false;
        missing = new Set();
        return idleIntervalMs;
      }
      if (!isActive) {
        isActive = true;
        interval = ListSource.pollIntervalMs * count;
        needs.note('no primary known: polling the server list', { index, count });
        if (index > 0) return ListSource.pollIntervalMs * index;
      }
      const polled = await needs.source.poll();
      if (polled.kind === 'busy') {
        interval = ListSource.pauseWhenBusy(interval, count);
        return interval;
      }
      interval = ListSource.pauseAfter(needs.source, polled.kind === 'list' ? polled.pages : 1, count);
      if (polled.kind === 'failed' || polled.servers.length === 0 || needs.hasPrimary()) return interval;
      const found = findLeaving(needs.currentServers(), polled.servers, missing);
      missing = found.missing;
      if (found.leaving.length > 0) needs.announceLeaving(found.leaving);
      return interval;
    };
    return RepeatingTask.run(step, idleIntervalMs, (error) =>
      needs.note('polling the server list without a primary failed', { why: Failure.text(error) }),
    );
  },
};
