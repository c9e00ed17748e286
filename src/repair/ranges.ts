// A view cut into ranges, each with a digest, so that two copies can be compared and mended by sending
// only the ranges that differ; a run of ranges that the other copy holds in the same order is one line. The seal is
// a digest over all ranges in order: a copy put together from ranges is taken only when its seal is the one that
// came with them.
import { createHash } from 'node:crypto';
import { Failure } from '../common/failure.js';
import type { View } from '../manifest/view.js';
import { Chunks } from './chunks.js';

export type Ranges = ReadonlyMap<string, Ranges.Range>;

export declare namespace Ranges {
  /** The value is what the body says: a view mended with an unchanged range holds the very same objects. */
  type Range = { readonly body: string; readonly digest: string; readonly value: unknown };
  type Part = {
    readonly name: string;
    readonly digest: string;
    readonly body: string;
    readonly count: number;
  };
  type Patch = { readonly seal: string; readonly ranges: readonly Ranges.Part[] };
}

const hash = (text: string): string => createHash('sha256').update(text).digest('base64').slice(0, 24);

/** Two parts of the same content have digests of their own, so that a run says which parts it means. */
const digestOf = (name: string, body: string, cut: Chunks.Cut): string =>
  hash(cut === 'position' ? body : `${name.startsWith('part:') ? name : name.split('/')[0]}=${body}`);

const pieces = (name: string, list: readonly unknown[], cut: Chunks.Cut): [string, unknown][] =>
  Chunks.of(list, cut).map((chunk, index) => [`${name}/${index}`, chunk]);

const entriesOf = (teams: unknown): readonly unknown[] | undefined =>
  typeof teams === 'object' && teams !== null && !Array.isArray(teams) ? Object.entries(teams) : undefined;

type Named = Ranges.Range & { readonly name: string };

/** A part of a list is named by its place in the list, which a change may move; all others keep their names. */
const nameInOrder = (): ((name: string) => string) => {
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

const readSent = ({ name, digest, body, count }: Ranges.Part, cut: Chunks.Cut): Named => {
  if (body === '' || count > 1 || digestOf(name, body, cut) !== digest)
    throw Failure.of('frame', 'a range cannot be mended', { name });
  return { name, digest, body, value: JSON.parse(body) };
};

/** The ranges that a patch means, in their order: those held as they are, the others read from the patch. */
const restore = (held: Ranges, patch: Ranges.Patch, cut: Chunks.Cut): Ranges => {
  const known = [...held].map(([name, range]): Named => ({ name, ...range }));
  const places = new Map([...known.keys()].reverse().map((at) => [known[at]!.digest, at]));
  const parts = patch.ranges.flatMap((part): readonly Named[] => {
    const { name, digest, body, count } = part;
    const at = places.get(digest);
    if (body === '' && at !== undefined && count > 1 && at + count <= known.length)
      return known.slice(at, at + count);
    if (body === '' && at !== undefined && count <= 1) return [{ ...known[at]!, name }];
    return [readSent(part, cut)];
  });
  const rename = nameInOrder();
  return new Map(parts.map(({ name, ...range }) => [rename(name), range]));
};

const seals = new WeakMap<Ranges, string>();
const digestLists = new WeakMap<Ranges, readonly string[]>();
const mended: Readonly<Record<Chunks.Cut, WeakMap<View, Ranges>>> = {
  position: new WeakMap(),
  name: new WeakMap(),
};

const sealOf = (ranges: Ranges): string =>
  hash([...ranges].map(([name, { digest }]) => `${name}=${digest}`).join());

/** The entries of each list, whose parts stand one after another. */
const listsIn = (ranges: Ranges): Readonly<Record<'teams' | 'rules' | 'servers', unknown[]>> => {
  const lists = { teams: [] as unknown[], rules: [] as unknown[], servers: [] as unknown[] };
  for (const [name, { value }] of ranges) {
    const list = name.slice(0, name.indexOf('/')) as keyof typeof lists;
    if (name.startsWith('part:') || !Object.hasOwn(lists, list)) continue;
    for (const entry of value as unknown[]) lists[list].push(entry);
  }
  return lists;
};

/** The view that these ranges are cut from. */
const join = (ranges: Ranges): View => {
  const { teams, rules, servers } = listsIn(ranges);
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
      ...pieces('teams', teams ?? [], cut),
      ...pieces('rules', rules, cut),
      ...pieces('servers', servers, cut),
    ];
    return new Map(
      parts.map(([name, value]) => {
        const body = JSON.stringify(value);
        return [name, { body, digest: digestOf(name, body, cut), value }];
      }),
    );
  },
  seal(ranges: Ranges): string {
    const seal = seals.get(ranges) ?? sealOf(ranges);
    seals.set(ranges, seal);
    return seal;
  },
  /** The same list each time for the same ranges, so that what is made for one who holds them is made once. */
  digests(ranges: Ranges): readonly string[] {
    const digests = digestLists.get(ranges) ?? [...ranges.values()].map(({ digest }) => digest);
    digestLists.set(ranges, digests);
    return digests;
  },
  /** The ranges that this view was put together from, where it was: they need not be cut again. */
  ofPatchedView: (view: View, cut: Chunks.Cut): Ranges | undefined => mended[cut].get(view),
  patch(ranges: Ranges, held: readonly string[], hasRuns = true): Ranges.Patch {
    const places = new Map([...held.keys()].reverse().map((at) => [held[at]!, at]));
    const parts: { name: string; digest: string; body: string; count: number }[] = [];
    let next = -1;
    for (const [name, { digest, body }] of ranges) {
      const run = parts.at(-1);
      if (hasRuns && run?.body === '' && held[next] === digest) {
        run.count += 1;
        next += 1;
        continue;
      }
      const at = places.get(digest);
      parts.push({ name, digest, body: at === undefined ? body : '', count: 1 });
      next = at === undefined ? -1 : at + 1;
    }
    return { seal: Ranges.seal(ranges), ranges: parts };
  },
  /** Reads and checks only what the patch brings; the seal, over the digests of all, says that nothing is missing. */
  applyPatch(held: Ranges, patch: Ranges.Patch, cut: Chunks.Cut = 'name'): View {
    const ranges = restore(held, patch, cut);
    if (Ranges.seal(ranges) !== patch.seal) throw Failure.of('frame', 'the mended view has another seal');
    const view = join(ranges);
    mended[cut].set(view, ranges);
    return view;
  },
};
