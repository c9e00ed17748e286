/** Two policies on the same seeds: paired differences with their interval of confidence. */
import jstat from 'jstat';
import type { Tally } from './tally.js';

/** One figure under both policies. */
export type Difference = {
  readonly figure: string;
  readonly base: number;
  readonly other: number;
  readonly difference: number;
  /** Half of the interval's width at 95 %. */
  readonly halfWidth: number;
  readonly verdict: 'better' | 'worse' | 'no difference shown';
};

/** A figure of a play, by name; whether more of it is better. */
type Figure = { readonly name: string; readonly isGood: boolean; readonly of: (tally: Tally) => number };

const confidence = 0.95;

const kindFigures = (tally: Tally): Figure[] =>
  Object.keys(tally.kinds).flatMap((name) => [
    { name: `${name}: worth`, isGood: true, of: (one) => one.kinds[name]?.worth ?? 1 },
    { name: `${name}: late`, isGood: false, of: (one) => one.kinds[name]?.late ?? 0 },
    { name: `${name}: failed`, isGood: false, of: (one) => one.kinds[name]?.failed ?? 0 },
  ]);

const countFigures: readonly Figure[] = [
  'connections',
  'bytes between zones',
  'bytes between regions',
  'tokens read',
  'tokens read again',
  'busiest over mean',
].map((name) => ({ name, isGood: false, of: ({ counts }) => counts[name] ?? 0 }));

const figuresOf = (tally: Tally): readonly Figure[] => [
  { name: 'net worth', isGood: true, of: ({ net }) => net },
  { name: 'worth', isGood: true, of: ({ worth }) => worth },
  { name: 'prices', isGood: false, of: ({ prices }) => prices },
  { name: 'worst seconds', isGood: true, of: ({ worstSeconds }) => worstSeconds },
  ...kindFigures(tally),
  ...countFigures,
];

/** Comparisons of policies. */
export const Comparison = {
  /** Half of the width of the mean's interval of confidence, by Student's distribution. */
  halfWidth(values: readonly number[]): number {
    if (values.length < 2) return Number.POSITIVE_INFINITY;
    const list = [...values];
    const quantile = jstat.studentt.inv((1 + confidence) / 2, list.length - 1);
    return (quantile * jstat.stdev(list, true)) / Math.sqrt(list.length);
  },
  of(base: readonly Tally[], other: readonly Tally[]): readonly Difference[] {
    const mean = (values: readonly number[]) => jstat.mean([...values]);
    return figuresOf(base[0]!).map(({ name, isGood, of }) => {
      const before = base.map(of);
      const after = other.map(of);
      const differences = after.map((value, index) => value - before[index]!);
      const difference = mean(differences);
      const halfWidth = Comparison.halfWidth(differences);
      const isShown = Math.abs(difference) > halfWidth;
      const verdict = !isShown ? 'no difference shown' : difference > 0 === isGood ? 'better' : 'worse';
      return { figure: name, base: mean(before), other: mean(after), difference, halfWidth, verdict };
    });
  },
  table: (rows: readonly Difference[]): string =>
    [
      `${'figure'.padEnd(28)}${'base'.padStart(14)}${'other'.padStart(14)}${'difference'.padStart(14)}${'+/-'.padStart(12)}  verdict`,
      ...rows.map(
        ({ figure, base, other, difference, halfWidth, verdict }) =>
          `${figure.padEnd(28)}${short(base).padStart(14)}${short(other).padStart(14)}${short(difference).padStart(14)}${short(halfWidth).padStart(12)}  ${verdict}`,
      ),
    ].join('\n'),
};

const large = 1000;

const short = (value: number): string => (Math.abs(value) >= large ? value.toFixed(0) : value.toFixed(4));
