/**
 * Check of the directory: beside a running machine it names none that ended long ago.
 */
import type { Recording } from './recording.js';
import type { Verdict } from './verdict.js';

/** The check of the directory. */
export type DirectoryChecks = Readonly<Record<'directory', Verdict.Check>>;

const mostWrong = 3;
const slack = 3000;

/** When the machine ended last, if it has not started since. */
const endedAt = (recording: Recording, front: string, at: number): number | undefined => {
  const before = <T extends { readonly at: number; readonly front: string }>(list: readonly T[]) =>
    Math.max(
      Number.NEGATIVE_INFINITY,
      ...list.flatMap((one) => (one.front === front && one.at <= at ? [one.at] : [])),
    );
  const ended = before(recording.ends);
  return ended > before(recording.lives) ? ended : undefined;
};

/** The check of the directory, by name. */
export const DirectoryChecks: DirectoryChecks = {
  directory(recording, bounds) {
    const judged = recording.resolved.map(({ at, addresses }) => {
      const ends = addresses.map((front) => endedAt(recording, front, at));
      const isLong = (ended: number | undefined) =>
        ended !== undefined && ended + bounds.contact + slack < at;
      return { at, isWrong: ends.some(isLong) && ends.includes(undefined) };
    });
    const wrong = judged.filter(({ isWrong }) => isWrong);
    return {
      occasions: judged.length,
      breaches:
        wrong.length > mostWrong
          ? wrong.map(({ at }) => `an answer at ${Math.round(at)} named a machine that had ended`)
          : [],
    };
  },
};
