// The ranges and the bytes of the view that a feed holds, and what changes of it for a child that holds given
// ranges: made and packed once for each view however many children ask. Only children that said so get packed frames.
import { deflateRawSync, inflateRawSync } from 'node:zlib';
import { Failure } from '../kinds/failure.js';
import { View } from '../manifest/view.js';
import { Ranges } from './ranges.js';

export type Copies = { readonly ranges: () => Ranges };

type News = { readonly kind: 'news'; readonly view: Uint8Array; readonly packed?: Uint8Array };
type Patch = Ranges.Patch & { readonly kind: 'patch'; readonly packed?: Uint8Array };

const packedFrom = 512;
const longestUnpacked = 32 * 1024 * 1024;
const nothing = new Uint8Array();
const kept = new WeakMap<View, Ranges>();
const encoded = new WeakMap<View, Uint8Array>();
const changes = new WeakMap<View, Map<string, Patch>>();
const packed = new WeakMap<object, Uint8Array>();

const pack = (owner: object, write: () => Uint8Array): Uint8Array => {
  const known = packed.get(owner);
  if (known) return known;
  const bytes = write();
  const made = bytes.length < packedFrom ? nothing : deflateRawSync(bytes, { level: 3 });
  packed.set(owner, made);
  return made;
};
const unpack = (bytes: Uint8Array): Buffer => {
  try {
    return inflateRawSync(bytes, { maxOutputLength: longestUnpacked });
  } catch (cause) {
    throw Failure.of('frame', 'what was packed cannot be read', { length: bytes.length }, cause);
  }
};

export const Copies = {
  of(view: View): Ranges {
    const known = kept.get(view);
    if (known) return known;
    const ranges = Ranges.cut(view);
    kept.set(view, ranges);
    return ranges;
  },
  bytes(view: View): Uint8Array {
    const known = encoded.get(view);
    if (known) return known;
    const bytes = View.encode(view);
    encoded.set(view, bytes);
    return bytes;
  },
  news(view: View, unpacks: boolean): News {
    const short = unpacks ? pack(view, () => Copies.bytes(view)) : nothing;
    return short.length > 0
      ? { kind: 'news', view: nothing, packed: short }
      : { kind: 'news', view: Copies.bytes(view) };
  },
  /** What changes of the view for one that holds these ranges, or nothing where the whole is no more. */
  patch(view: View, held: ReadonlySet<string>, unpacks: boolean): Patch | undefined {
    const made = changes.get(view) ?? new Map<string, Patch>();
    changes.set(view, made);
    const key = [...held].sort().join();
    const patch = made.get(key) ?? { kind: 'patch', ...Ranges.patch(Copies.of(view), held) };
    made.set(key, patch);
    if (!patch.ranges.some(({ body }) => body === '')) return undefined;
    const short = unpacks ? pack(patch, () => Buffer.from(JSON.stringify(patch.ranges))) : nothing;
    return short.length > 0 ? { kind: 'patch', seal: patch.seal, ranges: [], packed: short } : patch;
  },
  viewOf: ({ view, packed: bytes }: News): View =>
    View.decode(bytes && bytes.length > 0 ? unpack(bytes) : view),
  patchOf({ seal, ranges, packed: bytes }: Patch): Ranges.Patch {
    if (!bytes || bytes.length === 0) return { seal, ranges };
    const text = unpack(bytes).toString('utf8');
    try {
      return { seal, ranges: JSON.parse(text) as Ranges.Patch['ranges'] };
    } catch (cause) {
      throw Failure.of('frame', 'a patch cannot be read', {}, cause);
    }
  },
};
