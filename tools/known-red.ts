/**
 * Known failures against what a run of tests printed as TAP. A failure is a test that failed by itself, not one that only
 * holds failed ones; its name is the path of names down to it.
 */
export type KnownRed = { readonly name: string; readonly cause: string };

export declare namespace KnownRed {
  type Verdict = {
    readonly known: readonly KnownRed[];
    readonly fresh: readonly string[];
    readonly green: readonly KnownRed[];
  };
}

const depthOf = (line: string): number => (/^ */.exec(line)![0].length / 4) | 0;

type Failed = { readonly name: string; readonly file: string | undefined };

const failuresOf = (lines: readonly string[]): Failed[] => {
  const path: string[] = [];
  const failed: Failed[] = [];
  lines.forEach((line, index) => {
    const begun = /^ *# Subtest: (.*)$/.exec(line);
    if (begun) path.splice(depthOf(line), path.length, begun[1]!);
    const ended = /^ *not ok \d+ - (.*?)(?: # (?:TODO|SKIP).*)?$/.exec(line);
    if (!ended) return;
    const end = lines.findIndex((one, place) => place > index && /^ *\.\.\.$/.test(one));
    const facts = lines.slice(index, end < 0 ? undefined : end).join('\n');
    if (/failureType: 'subtestsFailed'/.test(facts)) return;
    const name = [...path.slice(0, depthOf(line)), ended[1]!].join(' > ');
    failed.push({ name, file: /location: '(.*?):\d+:\d+'/.exec(facts)?.[1] });
  });
  return failed;
};

export const KnownRed = {
  read: (text: string): KnownRed[] =>
    text
      .split('\n')
      .filter((line) => line.trim() !== '' && !line.startsWith('#'))
      .map((line) => {
        const [name = '', cause = ''] = line.split('|').map((part) => part.trim());
        return { name, cause };
      }),
  failures: (lines: readonly string[]): string[] => failuresOf(lines).map(({ name }) => name),
  /** The test files that hold failures. */
  files: (lines: readonly string[]): string[] => [
    ...new Set(failuresOf(lines).flatMap(({ file }) => (file === undefined ? [] : [file]))),
  ],
  judge(failed: readonly string[], known: readonly KnownRed[]): KnownRed.Verdict {
    return {
      known: known.filter((one) => failed.includes(one.name)),
      fresh: failed.filter((name) => !known.some((one) => one.name === name)),
      green: known.filter((one) => !failed.includes(one.name)),
    };
  },
};
