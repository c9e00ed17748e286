// The planted rules with the bounds in which each is looked for: as small as the shortest violation allows.
import { Bounds, type Plant } from './bounds.js';
import { type Result, Search } from './search.js';

/** A planted rule, what it must be found by, and where to look. */
export type Planted = {
  readonly name: Plant;
  /** A part of the violation's text. */
  readonly breaks: string;
  readonly bounds: Bounds;
};

const most = 2_000_000;
const answered = 'out of date';
const alone = 'disks alone';

const planted: readonly Planted[] = [
  { name: 'answer-without-majority', breaks: answered, bounds: Bounds.of({ claims: 1 }) },
  {
    name: 'refusal-under-a-later-term',
    breaks: answered,
    bounds: Bounds.of({ claims: 2, changes: 0 }),
  },
  { name: 'floor-not-raised', breaks: alone, bounds: Bounds.of({ claims: 2, alters: 1 }) },
  {
    name: 'floor-lost-at-restart',
    breaks: alone,
    bounds: Bounds.of({ losses: 2, claims: 1, restarts: 1 }),
  },
  {
    name: 'take-over-forgotten-by-its-disk',
    breaks: alone,
    bounds: Bounds.of({ losses: 2, claims: 1, restarts: 1 }),
  },
  {
    name: 'member-before-it-caught-up',
    breaks: alone,
    bounds: Bounds.of({ claims: 1, alters: 1 }),
  },
  { name: 'backup-not-waited-for', breaks: alone, bounds: Bounds.of({}) },
  {
    name: 'membership-by-the-majority-after',
    breaks: answered,
    bounds: Bounds.of({ spares: 1, claims: 1, joins: 1 }),
  },
  { name: 'empty-disk-votes', breaks: 'forked', bounds: Bounds.of({ claims: 1, alters: 1, wipes: 1 }) },
  { name: 'in-sync-shrunk', breaks: alone, bounds: Bounds.of({ alters: 1 }) },
  {
    name: 'unsure-acknowledged',
    breaks: alone,
    bounds: Bounds.of({ claims: 1, alters: 1, changes: 2, isChain: true }),
  },
  {
    name: 'late-whole-state-taken',
    breaks: alone,
    bounds: Bounds.of({ late: 1, changes: 2, isChain: true }),
  },
  { name: 'newest-term-by-epoch', breaks: alone, bounds: Bounds.of({ claims: 2, alters: 1 }) },
  {
    name: 'formed-over-a-silent-core',
    breaks: answered,
    bounds: Bounds.of({ spares: 1, wipes: 1, formings: 1 }),
  },
  {
    name: 'formed-by-empty-cores-alone',
    breaks: 'forked',
    bounds: Bounds.of({ spares: 2, wipes: 1, formings: 1 }),
  },
];

export const Planted = {
  all: planted,
  /** Looks for the violation that the planted rule must bring about. */
  search: ({ name, bounds }: Planted): Result =>
    Search.run({ bounds, plants: [name], most, isFirstOnly: true }),
  isFound: ({ breaks }: Planted, { violations }: Result): boolean =>
    violations.some(({ breach }) => breach.includes(breaks)),
};
