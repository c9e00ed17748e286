/**
 * Validators for configuration and request bodies, composed from smaller type guards. A guard records every finding with
 * its JSON pointer and continues, so that the author of a document sees all of its errors at once.
 */
import { Address } from './address.js';

/** Checks a value, appends what is wrong with it to `findings`, and narrows its type. `place` is its JSON pointer. */
export type Guard<T> = (value: unknown, place: string, findings: Guard.Finding[]) => value is T;

/** Findings, and the types that guards of objects infer. */
export declare namespace Guard {
  type Finding = { readonly place: string; readonly text: string };
  type Of<G> = G extends Guard<infer T> ? T : never;
  type Shape = Record<string, Guard<unknown>>;
  type Required<S extends Shape> = { readonly [K in keyof S]: Of<S[K]> };
  type Optional<S extends Shape> = { readonly [K in keyof S]?: Of<S[K]> };
}

type Range = { min?: number; max?: number };
type Limits = Range & { like?: RegExp; as?: string };

/** Records a finding and returns false. */
const report = (findings: Guard.Finding[], place: string, text: string): false => {
  findings.push({ place: place === '' ? '/' : place, text });
  return false;
};

const isRecord = (value: unknown): value is Record<string, unknown> =>
  typeof value === 'object' && value !== null && !Array.isArray(value);

/** The JSON pointer (RFC 6901) of a key below another pointer. */
const pointerTo = (place: string, key: string): string =>
  `${place}/${key.replaceAll('~', '~0').replaceAll('/', '~1')}`;

const checkRange = (value: unknown, place: string, findings: Guard.Finding[], range: Range): boolean => {
  const number = value as number;
  if (range.min !== undefined && number < range.min)
    return report(findings, place, `must be at least ${range.min}`);
  if (range.max !== undefined && number > range.max)
    return report(findings, place, `must be at most ${range.max}`);
  return true;
};

/** The building blocks of guards. */
export const Guard = {
  /** A string of 1 to 1024 characters, unless the limits say otherwise. */
  string:
    <T extends string = string>(limits: Limits = {}): Guard<T> =>
    (value, place, findings): value is T => {
      if (typeof value !== 'string') return report(findings, place, 'must be a text');
      if (value.length < (limits.min ?? 1)) return report(findings, place, 'must not be empty');
      if (value.length > (limits.max ?? 1024)) return report(findings, place, 'is too long');
      if (limits.like && !limits.like.test(value))
        return report(findings, place, `must be ${limits.as ?? `like ${limits.like}`}`);
      return true;
    },
  /** A safe integer within the range. */
  integer:
    <T extends number = number>(range: Range = {}): Guard<T> =>
    (value, place, findings): value is T =>
      Number.isSafeInteger(value)
        ? checkRange(value, place, findings, range)
        : report(findings, place, 'must be a whole number'),
  number:
    (range: Range = {}): Guard<number> =>
    (value, place, findings): value is number =>
      Number.isFinite(value)
        ? checkRange(value, place, findings, range)
        : report(findings, place, 'must be a number'),
  boolean: ((value, place, findings): value is boolean =>
    typeof value === 'boolean' || report(findings, place, 'must be true or false')) as Guard<boolean>,
  oneOf:
    <const T extends string>(...choices: readonly T[]): Guard<T> =>
    (value, place, findings): value is T =>
      choices.includes(value as T) || report(findings, place, `must be one of ${choices.join(', ')}`),
  /** An array whose entries all pass the guard; 10,000 entries at most unless the range says otherwise. */
  list:
    <T>(each: Guard<T>, range: Range = {}): Guard<readonly T[]> =>
    (value, place, findings): value is readonly T[] => {
      if (!Array.isArray(value)) return report(findings, place, 'must be a list');
      if (value.length < (range.min ?? 0))
        return report(findings, place, `must hold at least ${range.min} entries`);
      if (value.length > (range.max ?? 10_000))
        return report(findings, place, `must hold at most ${range.max ?? 10_000} entries`);
      return value
        .map((entry, index) => each(entry, pointerTo(place, String(index)), findings))
        .every(Boolean);
    },
  /** An object whose keys and values all pass the guards. */
  map:
    <T>(
      each: Guard<T>,
      key: Guard<string> = Guard.string({ max: 128 }),
    ): Guard<Readonly<Record<string, T>>> =>
    (value, place, findings): value is Readonly<Record<string, T>> => {
      if (!isRecord(value)) return report(findings, place, 'must be an object');
      return Object.entries(value)
        .map(([name, entry]) => {
          const isValidKey = key(name, pointerTo(place, name), findings);
          return each(entry, pointerTo(place, name), findings) && isValidKey;
        })
        .every(Boolean);
    },
  /** An object with the given fields; an unknown key is a finding. */
  strictObject:
    <R extends Guard.Shape, O extends Guard.Shape = Record<never, never>>(
      required: R,
      optional: O = {} as O,
    ): Guard<Guard.Required<R> & Guard.Optional<O>> =>
    (value, place, findings): value is Guard.Required<R> & Guard.Optional<O> => {
      if (!isRecord(value)) return report(findings, place, 'must be an object');
      let isValid = true;
      for (const key of Object.keys(value))
        if (!Object.hasOwn(required, key) && !Object.hasOwn(optional, key))
          isValid = report(findings, pointerTo(place, key), 'is not known here');
      for (const [key, guard] of Object.entries(required))
        if (value[key] === undefined) isValid = report(findings, pointerTo(place, key), 'is missing');
        else isValid = guard(value[key], pointerTo(place, key), findings) && isValid;
      for (const [key, guard] of Object.entries(optional))
        if (value[key] !== undefined) isValid = guard(value[key], pointerTo(place, key), findings) && isValid;
      return isValid;
    },
  /** An object with the given fields; unknown keys are ignored. */
  looseObject:
    <R extends Guard.Shape, O extends Guard.Shape = Record<never, never>>(
      required: R,
      optional: O = {} as O,
    ): Guard<Guard.Required<R> & Guard.Optional<O>> =>
    (value, place, findings): value is Guard.Required<R> & Guard.Optional<O> => {
      if (!isRecord(value)) return report(findings, place, 'must be an object');
      const isKnown = ([key]: [string, unknown]) =>
        Object.hasOwn(required, key) || Object.hasOwn(optional, key);
      const known = Object.fromEntries(Object.entries(value).filter(isKnown));
      return Guard.strictObject(required, optional)(known, place, findings);
    },
  /** An IP address with a port, as a string. */
  address: ((value, place, findings): value is string =>
    (typeof value === 'string' && Address.parse(value) !== undefined) ||
    report(findings, place, 'must be an IP number and port, as 10.0.0.1:7000')) as Guard<string>,
  report,
};
