// The lookout at each core that hears of no primary: it polls the list itself, in its turn among the cores and at
// its part of their rate, and tells the fronts which servers are to get nothing more. Only that: a server that
// leaves, is gone, or whose address is another's. It commits nothing, so nobody has to agree, and the worst that
// a wrong word does is that a server rests. What is new waits for a primary.
import { Failure } from '../common/failure.js';
import type { Document } from '../manifest/document.js';
import { ListSource } from './list-source.js';
import { RepeatingTask } from './repeating-task.js';

export type FallbackListDuty = { readonly stop: () => Promise<void> };

export declare namespace FallbackListDuty {
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

const lookEvery = 250;

const leavingOf = (
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

export const FallbackListDuty = {
  run(needs: FallbackListDuty.Dependencies): FallbackListDuty {
    let missing: ReadonlySet<string> = new Set();
    let rest: number = ListSource.pollIntervalMs;
    let isOut = false;
    const step = async (): Promise<number> => {
      const { index, count } = needs.position();
      if (needs.hasPrimary()) {
        isOut = false;
        missing = new Set();
        return lookEvery;
      }
      if (!isOut) {
        isOut = true;
        rest = ListSource.pollIntervalMs * count;
        needs.note('no primary is heard: looking at the list', { index, count });
        if (index > 0) return ListSource.pollIntervalMs * index;
      }
      const polled = await needs.source.poll();
      if (polled.kind === 'busy') {
        rest = ListSource.pauseWhenBusy(rest, count);
        return rest;
      }
      rest = ListSource.pauseAfter(needs.source, polled.kind === 'list' ? polled.pages : 1, count);
      if (polled.kind === 'failed' || polled.servers.length === 0 || needs.hasPrimary()) return rest;
      const found = leavingOf(needs.currentServers(), polled.servers, missing);
      missing = found.missing;
      if (found.leaving.length > 0) needs.announceLeaving(found.leaving);
      return rest;
    };
    return RepeatingTask.run(step, lookEvery, (error) =>
      needs.note('the lookout failed', { why: Failure.text(error) }),
    );
  },
};
