// The judges. Each counts its occasions and tells its violations; a judge without occasions has judged nothing.
import type { History, Order, Sighting } from './history.js';

export type Violation = { readonly judge: Judges.Name; readonly at: number; readonly text: string };

export type Judges = {
  readonly occasions: Readonly<Record<Judges.Name, number>>;
  readonly violations: readonly Violation[];
  readonly count: (judge: Judges.Name, isBroken: boolean, text: () => string, at?: number) => void;
  readonly sighted: (sighting: Sighting, highest: number) => void;
  /** What can only be said once everything was seen. */
  readonly finish: (history: History) => void;
};

export declare namespace Judges {
  type Name =
    | 'oneContent'
    | 'keptAcknowledged'
    | 'neverRefused'
    | 'linearizable'
    | 'onEnoughDisks'
    | 'memberCaughtUp'
    | 'acknowledgedInTime'
    | 'servedAgain'
    | 'noCrash'
    /** Judges the simulated world itself: whether what runs is what it counts with. */
    | 'worldWhole';
}

const names: readonly Judges.Name[] = [
  'oneContent',
  'keptAcknowledged',
  'neverRefused',
  'linearizable',
  'onEnoughDisks',
  'memberCaughtUp',
  'acknowledgedInTime',
  'servedAgain',
  'noCrash',
  'worldWhole',
];

const finished = (order: Order): string =>
  `${order.id} on base ${order.base} (${order.version === undefined ? 'no version' : `version ${order.version}`})`;

const duplicates = <T>(list: readonly T[], keyOf: (one: T) => string | number): [T, T][] => {
  const first = new Map<string | number, T>();
  return list.flatMap((one): [T, T][] => {
    const key = keyOf(one);
    const other = first.get(key);
    if (other === undefined) first.set(key, one);
    return other === undefined ? [] : [[other, one]];
  });
};

export const Judges = {
  names,
  of(clock: { readonly at: () => number }): Judges {
    const occasions = Object.fromEntries(names.map((name) => [name, 0])) as Record<Judges.Name, number>;
    const violations: Violation[] = [];
    const count: Judges['count'] = (judge, isBroken, text, at = clock.at()) => {
      occasions[judge] += 1;
      if (isBroken) violations.push({ judge, at, text: text() });
    };
    const judgeContents = ({ orders, sightings }: History) => {
      const taken = orders.filter((order) => order.acknowledgedAt !== undefined);
      for (const order of taken) {
        const same = taken.filter((one) => one !== order && one.base === order.base);
        count('oneContent', same.length > 0, () => `${finished(order)} and ${same.map(finished).join(', ')}`);
      }
      const told = sightings.filter((one) => one.content !== undefined && one.content !== '');
      const contents = new Map<number, string>();
      for (const { version, content, kind, by, at } of told) {
        const other = contents.get(version) ?? content!;
        contents.set(version, other);
        count(
          'oneContent',
          other !== content,
          () =>
            `version ${version} is ${content} by the ${kind} of ${by} at ${Math.round(at)}, and ${other} by another`,
          at,
        );
      }
    };
    const judgeChain = ({ orders }: History) => {
      const taken = orders
        .filter((order) => order.version !== undefined)
        .sort((a, b) => a.version! - b.version!);
      taken.slice(1).forEach((order, index) => {
        const before = taken[index]!;
        count(
          'keptAcknowledged',
          order.base < before.version!,
          () => `${finished(order)} was taken as if ${finished(before)} had not been`,
          order.acknowledgedAt,
        );
      });
    };
    const judgeRefusals = ({ orders, sightings }: History) => {
      const read = new Map(sightings.flatMap((one) => (one.content ? [[one.content, one] as const] : [])));
      for (const order of orders) {
        const seen = read.get(order.id);
        const wasTaken = order.acknowledgedAt !== undefined || seen !== undefined;
        if (order.tries.length > 1 || order.refusedAt !== undefined)
          count(
            'neverRefused',
            wasTaken && order.refusedAt !== undefined,
            () => `${finished(order)} was taken, and refused at ${Math.round(order.refusedAt!)}`,
            order.refusedAt,
          );
        const mayBeTaken = order.tries.some(
          ({ outcome, endedAt }) =>
            outcome === 'taken' || outcome === 'unknown' || endedAt === Number.POSITIVE_INFINITY,
        );
        if (!mayBeTaken)
          count(
            'neverRefused',
            seen !== undefined,
            () => `${finished(order)} was only ever answered as not taken, and was read by ${seen!.by}`,
            seen?.at,
          );
      }
    };
    return {
      occasions,
      violations,
      count,
      sighted({ kind, by, from, version, askedAt }, highest) {
        if (kind === 'acknowledgement') return;
        count(
          kind === 'read' ? 'linearizable' : 'keptAcknowledged',
          version < highest,
          () =>
            `the ${kind} of ${by} at ${from}, asked at ${Math.round(askedAt)}, shows ${version}; ${highest} had been shown before`,
        );
      },
      finish(history) {
        judgeContents(history);
        judgeChain(history);
        judgeRefusals(history);
        for (const order of history.orders) {
          if (order.version === undefined) continue;
          const highest = history.highestBefore(order.firstSentAt);
          count(
            'linearizable',
            order.version <= highest || order.base < highest,
            () => `${finished(order)} was taken although ${highest} had been shown before it was first sent`,
            order.acknowledgedAt,
          );
        }
        for (const [one, other] of duplicates(
          history.orders.filter((order) => order.version !== undefined),
          (order) => order.version!,
        ))
          count('oneContent', true, () => `${finished(one)} and ${finished(other)} have one version`);
      },
    };
  },
};
