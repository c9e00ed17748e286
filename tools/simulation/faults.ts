// Faults: a list drawn from the seed, each with its time, its span and whom it meets. Whom a role means is found when
// the time comes: the primary, another core in sync, the rest, or a machine by its number.
import type { Random } from '../random.js';

export type Fault = {
  readonly at: number;
  readonly kind: Fault.Kind;
  /** 0 is the primary, then the others in sync, then the rest. */
  readonly rank: number;
  readonly other: number;
  readonly span: number;
  /** A further number between 0 and 1, for what the kind leaves open. */
  readonly chance: number;
};

export declare namespace Fault {
  type Kind = (typeof kinds)[number];
}

const kinds = [
  'kill',
  'killAfterOrder',
  'killAtAcknowledgement',
  'powerLoss',
  'wipe',
  'stall',
  'full',
  'failing',
  'isolate',
  'isolateOutwards',
  'isolateInwards',
  'cutPair',
  'cutPairOneWay',
  'reset',
  'slow',
  'freeze',
  'endInOrder',
  'herdKill',
  'herdPowerLoss',
  'replacePlanned',
  'replaceUnplanned',
] as const;

const long: readonly Fault.Kind[] = ['isolate', 'isolateOutwards', 'isolateInwards', 'freeze'];
const focuses: readonly (readonly Fault.Kind[])[] = [
  kinds,
  kinds,
  kinds,
  ['isolate', 'isolateOutwards', 'isolateInwards', 'cutPair', 'cutPairOneWay', 'freeze', 'slow', 'reset'],
  [
    'kill',
    'killAfterOrder',
    'killAtAcknowledgement',
    'powerLoss',
    'wipe',
    'herdPowerLoss',
    'herdKill',
    'cutPair',
  ],
  ['wipe', 'wipe', 'replaceUnplanned', 'replacePlanned', 'killAfterOrder', 'isolate', 'kill', 'endInOrder'],
  ['stall', 'full', 'failing', 'powerLoss', 'killAfterOrder', 'freeze', 'slow', 'wipe'],
];

export const Fault = {
  kinds,
  draw(random: Random, from: number, until: number): readonly Fault[] {
    const focus = random.pick(focuses);
    const count = 2 + random.below(12);
    const isLull = random.next() < 0.4;
    const faults = Array.from({ length: count }, (): Fault => {
      const kind = random.pick(focus);
      const isLong = long.includes(kind) && random.next() < 0.35;
      const span = isLong
        ? 20_000
        : random.next() < 0.5
          ? 200 + random.below(1800)
          : 1000 + random.below(8000);
      const at = from + random.next() * (until - from);
      return {
        at: Math.max(from, Math.round(isLull ? at - (at % 14_000) + random.below(3000) : at)),
        kind,
        rank: random.next() < 0.5 ? 0 : random.below(5),
        other: random.below(5),
        span,
        chance: random.next(),
      };
    });
    return faults.sort((a, b) => a.at - b.at);
  },
  text: ({ at, kind, rank, other, span }: Fault): string =>
    `${(at / 1000).toFixed(3)} s ${kind} of rank ${rank} (other ${other}) for ${span} ms`,
};
