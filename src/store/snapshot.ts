/**
 * A whole state as records of its file. Each kept manifest is a record of its own, in the same bytes in which its
 * change came, so that writing a snapshot is cheap however long the manifests are. The index record comes last: it
 * holds the rest of the state and names, for each manifest, the record that holds its document.
 */
import { Failure } from '../common/failure.js';
import type { Stamp } from '../common/stamp.js';
import { EncodedChange } from './encoded-change.js';
import { Manifests } from './manifests.js';
import type { State } from './state.js';

/** The records of one state, in order, and the total cost of reading them. */
export type Snapshot = { readonly payloads: readonly Buffer[]; readonly cost: number };

export declare namespace Snapshot {
  /** A manifest without its document, which is in the part with this number. */
  type Entry = Manifests.Difference & {
    readonly manifest: Omit<State.Manifest, 'document'>;
    readonly part: number;
  };
  /** The last record of a snapshot. */
  type Index = {
    readonly kind: 'snapshot';
    readonly stamp: Stamp;
    readonly state: Omit<State, 'manifests'>;
    readonly manifests: readonly Entry[];
    /** The cost of reading each part. */
    readonly costs: readonly number[];
  };
}

/** The first byte of a part; JSON never begins with it. */
const partMark = 2;

const isPart = (payload: Uint8Array): boolean => payload[0] === partMark;

const isIndex = (record: State.Change | Snapshot.Index): record is Snapshot.Index =>
  record.kind === 'snapshot';

const sum = (values: readonly number[]): number => values.reduce((total, value) => total + value, 0);

/** The parts that hold the manifests' documents; manifests with the same origin share one part. */
const split = async (manifests: Manifests, pause: () => Promise<void>) => {
  const parts: EncodedChange[] = [];
  const entries: Snapshot.Entry[] = [];
  for (const manifest of manifests) {
    const { origin, ...entry } = Manifests.pack(manifest);
    const found = parts.indexOf(origin);
    entries.push({ ...entry, part: found >= 0 ? found : parts.push(origin) - 1 });
    await pause();
  }
  return { parts, entries };
};

/** Reads and writes snapshots. */
export const Snapshot = {
  isPart,
  isIndex,
  /** The encoded change in a part. */
  readPart: (payload: Buffer): Buffer => Buffer.from(payload.subarray(1)),
  /** The state of an index record and of the parts before it. */
  readIndex(index: Snapshot.Index, parts: readonly Buffer[]): State {
    if (parts.length !== index.costs.length) throw Failure.of('store', 'damaged snapshot: a part is missing');
    const origins = parts.map((payload, part): EncodedChange => ({ payload, cost: index.costs[part]! }));
    const packed = index.manifests.map(({ part, ...entry }) => ({ ...entry, origin: origins[part]! }));
    return { ...index.state, manifests: Manifests.unpack(packed) };
  },
  /** The records of a state. Pauses after each manifest, as encoding one whose bytes are not at hand takes a while. */
  async of(state: State, pause: () => Promise<void>): Promise<Snapshot> {
    const { manifests, ...rest } = state;
    const { parts, entries } = await split(manifests, pause);
    const costs = parts.map((part) => part.cost);
    const index: Snapshot.Index = {
      kind: 'snapshot',
      stamp: state.stamp,
      state: rest,
      manifests: entries,
      costs,
    };
    const text = JSON.stringify(index);
    const marked = parts.map(({ payload }) => Buffer.concat([Buffer.of(partMark), payload]));
    return { payloads: [...marked, EncodedChange.compress(text)], cost: sum(costs) + text.length };
  },
};
