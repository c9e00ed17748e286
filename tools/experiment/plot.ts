/** A plot of two policies: worth earned in each second, the mean over the seeds. */
import { parse, View } from 'vega';
import { compile, type TopLevelSpec } from 'vega-lite';
import type { Tally } from './tally.js';

type Point = { readonly second: number; readonly worth: number; readonly policy: string };

const pointsOf = (policy: string, tallies: readonly Tally[]): Point[] => {
  const length = Math.max(...tallies.map(({ seconds }) => seconds.length));
  return Array.from({ length }, (_none, second) => {
    const values = tallies.flatMap(({ seconds }) => seconds[second] ?? []);
    return { second, policy, worth: values.reduce((sum, one) => sum + one, 0) / values.length };
  });
};

/** Plots of experiments. */
export const Plot = {
  async svg(title: string, policies: Readonly<Record<string, readonly Tally[]>>): Promise<string> {
    const values = Object.entries(policies).flatMap(([name, tallies]) => pointsOf(name, tallies));
    const spec: TopLevelSpec = {
      title,
      width: 640,
      height: 260,
      background: 'white',
      data: { values },
      mark: { type: 'line', point: true },
      encoding: {
        x: { field: 'second', type: 'quantitative', title: 'second of the traffic' },
        y: {
          field: 'worth',
          type: 'quantitative',
          title: 'worth earned of worth owed',
          scale: { zero: false },
        },
        color: { field: 'policy', type: 'nominal' },
      },
    };
    const view = new View(parse(compile(spec).spec), { renderer: 'none' });
    const text = await view.toSVG();
    view.finalize();
    return text;
  },
};
