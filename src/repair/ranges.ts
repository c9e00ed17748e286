// A view cut into ranges, each with a digest, so that two copies can be compared and mended by sending
// only the ranges that differ. The seal is a digest over all ranges in order: a copy put together from
// ranges is taken only when its seal is the one that came with them.
import { createHash } from 'node:crypto';
import { Failure } from '../kinds/failure.js';
import type { View } from '../manifest/view.js';

export type Ranges = ReadonlyMap<string, Ranges.Range>;

export declare namespace Ranges {
  type Range = { readonly body: string; readonly digest: string };
  type Patch = {
    readonly seal: string;
    readonly ranges: readonly { readonly name: string; readonly digest: string; readonly body: string }[];
  };
}

const perRange = 32;

const digestOf = (text: string): string => createHash('sha256').update(text).digest('base64').slice(0, 24);

const chunks = (name: string, list: readonly unknown[]): [string, unknown][] =>
  Array.from({ length: Math.ceil(list.length / perRange) }, (_none, index) => [
    `${name}/${index}`,
    list.slice(index * perRange, (index + 1) * perRange),
  ]);

const join = (parts: ReadonlyMap<string, string>, name: string): unknown[] =>
  [...parts]
    .filter(([key]) => key.startsWith(`${name}/`))
    .sort(([a], [b]) => Number(a.slice(name.length + 1)) - Number(b.slice(name.length + 1)))
    .flatMap(([, body]) => JSON.parse(body) as unknown[]);

export const Ranges = {
  cut(view: View): Ranges {
    const { manifest, platform, stamp } = view;
    const { rules = [], ...others } = manifest?.document ?? {};
    const { servers, ...rest } = platform;
    const parts: [string, unknown][] = [
      [
        'meta',
        { stamp, platform: rest, manifest: manifest && { ...manifest, document: Object.keys(others) } },
      ],
      ...Object.entries(others).map(([key, value]): [string, unknown] => [`part:${key}`, value]),
      ...chunks('rules', rules),
      ...chunks('servers', servers),
    ];
    return new Map(
      parts.map(([name, value]) => {
        const body = JSON.stringify(value);
        return [name, { body, digest: digestOf(body) }];
      }),
    );
  },
  seal: (ranges: Ranges): string =>
    digestOf([...ranges].map(([name, { digest }]) => `${name}=${digest}`).join()),
  digests: (ranges: Ranges): string[] => [...ranges.values()].map(({ digest }) => digest),
  patch(ranges: Ranges, held: ReadonlySet<string>): Ranges.Patch {
    return {
      seal: Ranges.seal(ranges),
      ranges: [...ranges].map(([name, { digest, body }]) => ({
        name,
        digest,
        body: held.has(digest) ? '' : body,
      })),
    };
  },
  mend(held: Ranges, patch: Ranges.Patch): View {
    const known = new Map([...held.values()].map(({ digest, body }) => [digest, body]));
    const parts = new Map<string, string>();
    for (const { name, digest, body } of patch.ranges) {
      const text = body === '' ? known.get(digest) : body;
      if (text === undefined || digestOf(text) !== digest)
        throw Failure.of('frame', 'a range cannot be mended', { name });
      parts.set(name, text);
    }
    const meta = JSON.parse(parts.get('meta') ?? '{}') as {
      stamp: View['stamp'];
      platform: Omit<View.Platform, 'servers'>;
      manifest: (Omit<NonNullable<View['manifest']>, 'document'> & { document: string[] }) | null;
    };
    const readPart = (key: string): unknown => JSON.parse(parts.get(`part:${key}`) ?? 'null');
    const view = {
      stamp: meta.stamp,
      manifest: meta.manifest && {
        ...meta.manifest,
        document: {
          ...Object.fromEntries(meta.manifest.document.map((key) => [key, readPart(key)])),
          rules: join(parts, 'rules'),
        },
      },
      platform: { ...meta.platform, servers: join(parts, 'servers') },
    } as unknown as View;
    if (Ranges.seal(Ranges.cut(view)) !== patch.seal)
      throw Failure.of('frame', 'the mended view has another seal');
    return view;
  },
};
