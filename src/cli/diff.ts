/** The difference between two JSON documents, as a list of places with the value before and after. */

/** A place at which the documents differ; a value is undefined where it is absent. */
export type Diff = {
  readonly place: string;
  readonly before: unknown;
  readonly after: unknown;
};

const isRecord = (value: unknown): value is Record<string, unknown> =>
  typeof value === 'object' && value !== null;

const walk = (before: unknown, after: unknown, place: string): Diff[] => {
  if (Object.is(before, after)) return [];
  if (!isRecord(before) || !isRecord(after) || Array.isArray(before) !== Array.isArray(after))
    return [{ place: place === '' ? '/' : place, before, after }];
  const keys = [...new Set([...Object.keys(before), ...Object.keys(after)])];
  return keys.flatMap((key) => walk(before[key], after[key], `${place}/${key}`));
};

/** Compares JSON documents. */
export const Diff = {
  /** All differences, by JSON pointer. */
  of: (before: unknown, after: unknown): readonly Diff[] => walk(before, after, ''),
  /** The differences as lines that begin with - or +. */
  text: (diffs: readonly Diff[]): string =>
    diffs
      .flatMap(({ place, before, after }) => [
        ...(before === undefined ? [] : [`- ${place} ${JSON.stringify(before)}`]),
        ...(after === undefined ? [] : [`+ ${place} ${JSON.stringify(after)}`]),
      ])
      .join('\n'),
};
