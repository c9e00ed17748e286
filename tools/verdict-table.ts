/** The table of a verdict: each test that failed in any run, how often alone and beside load, and in which logs. */

/** Writes the table. */
export type VerdictTable = {
  readonly text: (runs: readonly VerdictTable.Run[], load: string) => string;
};

export declare namespace VerdictTable {
  /** One run of all tests. */
  type Run = {
    readonly isLoaded: boolean;
    readonly log: string;
    readonly code: number;
    readonly failed: readonly string[];
    readonly seconds: number;
  };
}

type Run = VerdictTable.Run;

const row = (...cells: readonly (string | number)[]): string => `| ${cells.join(' | ')} |\n`;

const rowOf = (test: string, runs: readonly Run[]): string => {
  const red = runs.filter(({ failed }) => failed.includes(test));
  const loaded = red.filter(({ isLoaded }) => isLoaded).length;
  return row(test, red.length - loaded, loaded, red.map(({ log }) => log).join(' '));
};

const sumOf = (name: string, runs: readonly Run[]): string => {
  const green = runs.filter(({ code }) => code === 0).length;
  const seconds = runs.map((run) => run.seconds);
  const span = `${Math.min(...seconds).toFixed(0)} to ${Math.max(...seconds).toFixed(0)} s`;
  return `${name}: ${green} of ${runs.length} green, ${span}\n`;
};

export const VerdictTable: VerdictTable = {
  text(runs, load) {
    const tests = [...new Set(runs.flatMap(({ failed }) => failed))].sort();
    const alone = runs.filter(({ isLoaded }) => !isLoaded);
    const loaded = runs.filter(({ isLoaded }) => isLoaded);
    const table = tests.map((test) => rowOf(test, runs)).join('');
    const head = row('test', 'failed alone', 'failed beside load', 'logs') + row('---', '---', '---', '---');
    return [
      tests.length > 0 ? head + table : '',
      alone.length > 0 ? sumOf('alone', alone) : '',
      loaded.length > 0 ? sumOf(`beside ${load}`, loaded) : '',
    ].join('');
  },
};
