/**
 * Cuts a view into ranges, each with a digest, so that two copies can be compared and brought up to date by sending
 * only the ranges that differ. A run of ranges that the other copy holds in the same order is one entry. The seal is a
 * digest over all ranges in order: a view assembled from ranges is taken only when its seal is the one sent with the
 * patch.
 */
import { createHash } from 'node:crypto';
import { Failure } from '../common/failure.js';
import type { View } from '../manifest/view.js';
import { Chunks } from './chunks.js';

/** The ranges of a view, by name and in order. */
export type Ranges = ReadonlyMap<string, Ranges.Range>;

/** Ranges and patches. Field names are those of the protobuf schema. */
export declare namespace Ranges {
  /** `value` is the parsed body: a patched view holds the same objects for its unchanged ranges. */
  type Range = { readonly body: string; readonly digest: string; readonly value: unknown };
  /** One range of a patch, or with an empty body a run of `count` ranges that the receiver holds. */
  type Part = {
    readonly name: string;
    readonly digest: string;
    readonly body: string;
    readonly count: number;
  };
  type Patch = { readonly seal: string; readonly ranges: readonly Ranges.Part[] };
}

const hash = (text: string): string => createHash('sha256').update(text).digest('base64').slice(0, 24);

/** Includes the name, so that two parts with the same content have different digests and a run is unambiguous. */
const digestOf = (name: string, body: string, cut: Chunks.Cut): string =>
  hash(cut === 'position' ? body : `${name.startsWith('part:') ? name : name.split('/')[0]}=${body}`);

const cutList = (name: string, list: readonly unknown[], cut: Chunks.Cut): [string, unknown][] =>
  Chunks.of(list, cut).map((chunk, index) => [`${name}/${index}`, chunk]);

const entriesOf = (teams: unknown): readonly unknown[] | undefined =>
  typeof teams === 'object' && teams !== null && !Array.isArray(teams) ? Object.entries(teams) : undefined;

type Named = Ranges.Range & { readonly name: string };

/** Renumbers the parts of a list, whose positions a change may shift; all others keep their names. */
const createRenumbering = (): ((name: string) => string) => {
  const counts = new Map<string, number>();
  return (name) => {
    const slash = name.indexOf('/');
    if (slash < 0 || name.startsWith('part:')) return name;
    const list = name.slice(0, slash);
    const count = counts.get(list) ?? 0;
    counts.set(list, count + 1);
    return `${list}/${count}`;
  };
};

const readReceived = ({ name, digest, body, count }: Ranges.Part, cut: Chunks.Cut): Named => {
  if (body === '' || count > 1 || digestOf(name, body, cut) !== digest)
    throw Failure.of('frame', 'range is missing or its digest differs', { name });
  return { name, digest, body, value: JSON.parse(body) };
};

/** The ranges of the patched view in order: unchanged ones from those held, the others read from the patch. */
const resolvePatch = (held: Ranges, patch: Ranges.Patch, cut: Chunks.Cut): Ranges => {
  const known = [...held].map(([name, range]): Named => ({ name, ...range }));
  const positions = new Map([...known.keys()].reverse().map((at) => [known[at]!.digest, at]));
  const parts = patch.ranges.flatMap((part): readonly Named[] => {
    const { name, digest, body, count } = part;
    const at = positions.get(digest);
    if (body === '' && at !== undefined && count > 1 && at + count <= known.length)
      return known.slice(at, at + count);
    if (body === '' && at !== undefined && count <= 1) return [{ ...known[at]!, name }];
    return [readReceived(part, cut)];
  });
  const rename = createRenumbering();
  return new Map(parts.map(({ name, ...range }) => [rename(name), range]));
};

const sealCache = new WeakMap<Ranges, string>();
const digestCache = new WeakMap<Ranges, readonly string[]>();
const patchedRanges: Readonly<Record<Chunks.Cut, WeakMap<View, Ranges>>> = {
  position: new WeakMap(),
  name: new WeakMap(),
};

const sealOf = (ranges: Ranges): string =>
  hash([...ranges].map(([name, { digest }]) => `${name}=${digest}`).join());

/** The entries of each list, whose parts follow one another. */
const collectLists = (ranges: Ranges): Readonly<Record<'teams' | 'rules' | 'servers', unknown[]>> => {
  const lists = { teams: [] as unknown[], rules: [] as unknown[], servers: [] as unknown[] };
  for (const [name, { value }] of ranges) {
    const list = name.slice(0, name.indexOf('/')) as keyof typeof lists;
    if (name.startsWith('part:') || !Object.hasOwn(lists, list)) continue;
    for (const entry of value as unknown[]) lists[list].push(entry);
  }
  return lists;
};

/** The view that consists of these ranges. */
const assembleView = (ranges: Ranges): View => {
  const { teams, rules, servers } = collectLists(ranges);
  const meta = (ranges.get('meta')?.value ?? {}) as {
    stamp: View['stamp'];
    platform: Omit<View.Platform, 'servers'>;
    manifest: (Omit<NonNullable<View['manifest']>, 'document'> & { document: string[] }) | null;
  };
  const readPart = (key: string): unknown => {
    const range = ranges.get(`part:${key}`);
    if (key === 'teams' && range === undefined) return Object.fromEntries(teams as [string, unknown][]);
    return range?.value ?? null;
  };
  return {
    stamp: meta.stamp,
    manifest: meta.manifest && {
      ...meta.manifest,
      document: {
        ...Object.fromEntries(meta.manifest.document.map((key) => [key, readPart(key)])),
        rules,
      },
    },
    platform: { ...meta.platform, servers },
  } as unknown as View;
};

/** Cuts views into ranges, and makes and applies patches. */
export const Ranges = {
  cut(view: View, cut: Chunks.Cut = 'name'): Ranges {
    const { manifest, platform, stamp } = view;
    const { rules = [], ...others } = manifest?.document ?? {};
    const { servers, ...rest } = platform;
    const teams = cut === 'name' ? entriesOf((others as { teams?: unknown }).teams) : undefined;
    const parts: [string, unknown][] = [
      [
        'meta',
        { stamp, platform: rest, manifest: manifest && { ...manifest, document: Object.keys(others) } },
      ],
      ...Object.entries(others)
        .filter(([key]) => key !== 'teams' || !teams)
        .map(([key, value]): [string, unknown] => [`part:${key}`, value]),
      ...cutList('teams', teams ?? [], cut),
      ...cutList('rules', rules, cut),
      ...cutList('servers', servers, cut),
    ];
    return new Map(
      parts.map(([name, value]) => {
        const body = JSON.stringify(value);
        return [name, { body, digest: digestOf(name, body, cut), value }];
      }),
    );
  },
  seal(ranges: Ranges): string {
    const seal = sealCache.get(ranges) ?? sealOf(ranges);
    sealCache.set(ranges, seal);
    return seal;
  },
  /** Returns the same array each time for the same ranges, so that it can be the key of a cache. */
  digests(ranges: Ranges): readonly string[] {
    const digests = digestCache.get(ranges) ?? [...ranges.values()].map(({ digest }) => digest);
    digestCache.set(ranges, digests);
    return digests;
  },
  /** The ranges that a patched view was assembled from, which then need not be cut again. */
  ofPatchedView: (view: View, cut: Chunks.Cut): Ranges | undefined => patchedRanges[cut].get(view),
  /** The patch to these ranges for a holder of the digests; `hasRuns` combines consecutive held ranges. */
  patch(ranges: Ranges, held: readonly string[], hasRuns = true): Ranges.Patch {
    const positions = new Map([...held.keys()].reverse().map((at) => [held[at]!, at]));
    const parts: { name: string; digest: string; body: string; count: number }[] = [];
    let next = -1;
    for (const [name, { digest, body }] of ranges) {
      const run = parts.at(-1);
      if (hasRuns && run?.body === '' && held[next] === digest) {
        run.count += 1;
        next += 1;
        continue;
      }
      const at = positions.get(digest);
      parts.push({ name, digest, body: at === undefined ? body : '', count: 1 });
      next = at === undefined ? -1 : at + 1;
    }
    return { seal: Ranges.seal(ranges), ranges: parts };
  },
  /** Parses and checks only the ranges in the patch; the seal over all digests proves that the view is complete. */
  applyPatch(held: Ranges, patch: Ranges.Patch, cut: Chunks.Cut = 'name'): View {
    const ranges = resolvePatch(held, patch, cut);
    if (Ranges.seal(ranges) !== patch.seal)
      throw Failure.of('frame', 'the patched view has a different seal');
    const view = assembleView(ranges);
    patchedRanges[cut].set(view, ranges);
    return view;
  },
};
