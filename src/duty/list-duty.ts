// The list duty at the acting primary: polls the list of servers and renews the one held when its content
// changed. The time a server still warms for runs down by itself and is no change; that it begins, ends or
// is set back is one. A poll that fails or gives nothing changes nothing, and a busy source is left longer.

import { Failure } from '../common/failure.js';
import { Instant } from '../common/instant.js';
import type { Document } from '../manifest/document.js';
import { ListSource } from './list-source.js';
import { RepeatingTask } from './repeating-task.js';

export type ListDuty = { readonly stop: () => Promise<void> };

export declare namespace ListDuty {
  type Dependencies = {
    readonly source: ListSource;
    readonly isHeld: () => boolean;
    readonly currentServers: () => readonly Document.Server[];
    readonly renew: (servers: readonly Document.Server[]) => Promise<boolean>;
    readonly note: (text: string, facts?: Record<string, unknown>) => void;
  };
}

type Told = { readonly servers: readonly Document.Server[]; readonly at: Instant };

const { pollIntervalMs: pollEvery } = ListSource;
const lookEvery = 100;
const slack = 300;

const withoutWarming = ({ warming: _warming, ...rest }: Document.Server): string =>
  JSON.stringify(Object.entries(rest).sort(([a], [b]) => (a < b ? -1 : 1)));

const isRewarmed = (before: Document.Server, after: Document.Server, passed: number): boolean => {
  const left = Math.max(0, (before.warming ?? 0) - passed);
  const isWarming = (after.warming ?? 0) > 0;
  return isWarming !== (before.warming ?? 0) > 0 || (after.warming ?? 0) > left + slack;
};

const isChanged = (before: Told, after: readonly Document.Server[]): boolean => {
  if (before.servers.length !== after.length) return true;
  const known = new Map(before.servers.map((one) => [one.instance, one]));
  const passed = Instant.since(before.at);
  return after.some((one) => {
    const was = known.get(one.instance);
    return !was || withoutWarming(was) !== withoutWarming(one) || isRewarmed(was, one, passed);
  });
};

const keepOnce = (
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

export const ListDuty = {
  run(needs: ListDuty.Dependencies): ListDuty {
    let told: Told | undefined;
    let missed: ReadonlySet<string> = new Set();
    let rest: number = pollEvery;
    const step = async (): Promise<number> => {
      if (!needs.isHeld()) {
        told = undefined;
        missed = new Set();
        rest = pollEvery;
        return lookEvery;
      }
      const polled = await needs.source.poll();
      if (polled.kind === 'busy') {
        rest = ListSource.pauseWhenBusy(rest);
        return rest;
      }
      rest = pollEvery;
      if (polled.kind === 'failed') needs.note('the list could not be polled', { why: polled.why });
      if (polled.kind === 'failed' || polled.servers.length === 0 || !needs.isHeld()) return rest;
      rest = ListSource.pauseAfter(needs.source, polled.pages);
      const at = Instant.now();
      const before = told ?? { servers: needs.currentServers(), at };
      const servers = polled.pages > 1 ? keepOnce(before.servers, polled.servers, missed) : polled.servers;
      missed = new Set(servers.slice(polled.servers.length).map((one) => one.instance));
      told ??= before;
      if (isChanged(before, servers) && (await needs.renew(servers))) told = { servers, at };
      return rest;
    };
    return RepeatingTask.run(step, pollEvery, (error) =>
      needs.note('the list was not renewed', { why: Failure.text(error) }),
    );
  },
};
