// The one helper behind every check of what people write: type guards built from smaller ones. A
// guard reports each finding with its place and goes on, so that all of them come back together.
import { Address } from './address.js';

export type Guard<T> = (value: unknown, place: string, findings: Guard.Finding[]) => value is T;

export declare namespace Guard {
  type Finding = { readonly place: string; readonly text: string };
  type Of<G> = G extends Guard<infer T> ? T : never;
  type Shape = Record<string, Guard<unknown>>;
  type Required<S extends Shape> = { readonly [K in keyof S]: Of<S[K]> };
  type Optional<S extends Shape> = { readonly [K in keyof S]?: Of<S[K]> };
}

type Range = { min?: number; max?: number };
type Limits = Range & { like?: RegExp; as?: string };

const report = (findings: Guard.Finding[], place: string, text: string): false => {
  findings.push({ place: place === '' ? '/' : place, text });
  return false;
};

const isRecord = (value: unknown): value is Record<string, unknown> =>
  typeof value === 'object' && value !== null && !Array.isArray(value);

const at = (place: string, key: string): string =>
  `${place}/${key.replaceAll('~', '~0').replaceAll('/', '~1')}`;

const checkNumber = (value: unknown, place: string, findings: Guard.Finding[], range: Range): boolean => {
  const number = value as number;
  if (range.min !== undefined && number < range.min)
    return report(findings, place, `must be at least ${range.min}`);
  if (range.max !== undefined && number > range.max)
    return report(findings, place, `must be at most ${range.max}`);
  return true;
};

export const Guard = {
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
  integer:
    <T extends number = number>(range: Range = {}): Guard<T> =>
    (value, place, findings): value is T =>
      Number.isSafeInteger(value)
        ? checkNumber(value, place, findings, range)
        : report(findings, place, 'must be a whole number'),
  number:
    (range: Range = {}): Guard<number> =>
    (value, place, findings): value is number =>
      Number.isFinite(value)
        ? checkNumber(value, place, findings, range)
        : report(findings, place, 'must be a number'),
  boolean: ((value, place, findings): value is boolean =>
    typeof value === 'boolean' || report(findings, place, 'must be true or false')) as Guard<boolean>,
  oneOf:
    <const T extends string>(...choices: readonly T[]): Guard<T> =>
    (value, place, findings): value is T =>
      choices.includes(value as T) || report(findings, place, `must be one of ${choices.join(', ')}`),
  list:
    <T>(each: Guard<T>, range: Range = {}): Guard<readonly T[]> =>
    (value, place, findings): value is readonly T[] => {
      if (!Array.isArray(value)) return report(findings, place, 'must be a list');
      if (value.length < (range.min ?? 0))
        return report(findings, place, `must hold at least ${range.min} entries`);
      if (value.length > (range.max ?? 10_000))
        return report(findings, place, `must hold at most ${range.max ?? 10_000} entries`);
      return value.map((entry, index) => each(entry, at(place, String(index)), findings)).every(Boolean);
    },
  map:
    <T>(
      each: Guard<T>,
      key: Guard<string> = Guard.string({ max: 128 }),
    ): Guard<Readonly<Record<string, T>>> =>
    (value, place, findings): value is Readonly<Record<string, T>> => {
      if (!isRecord(value)) return report(findings, place, 'must be an object');
      return Object.entries(value)
        .map(([name, entry]) => {
          const isGoodKey = key(name, at(place, name), findings);
          return each(entry, at(place, name), findings) && isGoodKey;
        })
        .every(Boolean);
    },
  strictObject:
    <R extends Guard.Shape, O extends Guard.Shape = Record<never, never>>(
      required: R,
      optional: O = {} as O,
    ): Guard<Guard.Required<R> & Guard.Optional<O>> =>
    (value, place, findings): value is Guard.Required<R> & Guard.Optional<O> => {
      if (!isRecord(value)) return report(findings, place, 'must be an object');
      let isGood = true;
      for (const key of Object.keys(value))
        if (!Object.hasOwn(required, key) && !Object.hasOwn(optional, key))
          isGood = report(findings, at(place, key), 'is not known here');
      for (const [key, guard] of Object.entries(required))
        if (value[key] === undefined) isGood = report(findings, at(place, key), 'is missing');
        else isGood = guard(value[key], at(place, key), findings) && isGood;
      for (const [key, guard] of Object.entries(optional))
        if (value[key] !== undefined) isGood = guard(value[key], at(place, key), findings) && isGood;
      return isGood;
    },
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
  address: ((value, place, findings): value is string =>
    (typeof value === 'string' && Address.parse(value) !== undefined) ||
    report(findings, place, 'must be an IP number and port, as 10.0.0.1:7000')) as Guard<string>,
  report,
};
