// A whole state as records of its file. Each kept manifest is a record of its own, in the very bytes in which its
// change came, so that writing a snapshot costs little however long they are. The head comes last: the rest of the
// state, which names for each manifest the record that holds its document.
import { Failure } from '../kinds/failure.js';
import type { Stamp } from '../kinds/stamp.js';
import { EncodedChange } from './encoded-change.js';
import { Manifests } from './manifests.js';
import type { State } from './state.js';

/** The records of one state, in order, and the cost of reading them all. */
export type Snapshot = { readonly payloads: readonly Buffer[]; readonly cost: number };

export declare namespace Snapshot {
  /** A manifest without its document, which lies in a part. */
  type Entry = Manifests.Difference & {
    readonly manifest: Omit<State.Manifest, 'document'>;
    readonly part: number;
  };
  type Head = {
    readonly kind: 'snapshot';
    readonly stamp: Stamp;
    readonly state: Omit<State, 'manifests'>;
    readonly manifests: readonly Entry[];
    /** What reading each part costs. */
    readonly costs: readonly number[];
  };
}

const partMark = 2;

const isPart = (payload: Uint8Array): boolean => payload[0] === partMark;

const isHead = (record: State.Change | Snapshot.Head): record is Snapshot.Head => record.kind === 'snapshot';

const sum = (values: readonly number[]): number => values.reduce((total, value) => total + value, 0);

/** The parts of a state's manifests, each once: one part may hold the document of several. */
const cut = async (manifests: Manifests, pause: () => Promise<void>) => {
  const parts: EncodedChange[] = [];
  const entries: Snapshot.Entry[] = [];
  for (const kept of manifests) {
    const { origin, ...entry } = Manifests.pack(kept);
    const found = parts.indexOf(origin);
    entries.push({ ...entry, part: found >= 0 ? found : parts.push(origin) - 1 });
    await pause();
  }
  return { parts, entries };
};

export const Snapshot = {
  isPart,
  isHead,
  /** The bytes of a change that a part holds. */
  readPart: (payload: Buffer): Buffer => Buffer.from(payload.subarray(1)),
  /** The state that a head tells, with the documents of the parts before it, and what reading them all costs. */
  readHead(head: Snapshot.Head, parts: readonly Buffer[]): State {
    if (parts.length !== head.costs.length) throw Failure.of('store', 'damaged snapshot: a part is missing');
    const origins = parts.map((payload, index): EncodedChange => ({ payload, cost: head.costs[index]! }));
    const packed = head.manifests.map(({ part, ...entry }) => ({ ...entry, origin: origins[part]! }));
    return { ...head.state, manifests: Manifests.unpack(packed) };
  },
  /** Writes a state; between two parts other work may go on, for one without its bytes at hand takes a while. */
  async of(state: State, pause: () => Promise<void>): Promise<Snapshot> {
    const { manifests, ...rest } = state;
    const { parts, entries } = await cut(manifests, pause);
    const costs = parts.map((part) => part.cost);
    const head: Snapshot.Head = {
      kind: 'snapshot',
      stamp: state.stamp,
      state: rest,
      manifests: entries,
      costs,
    };
    const text = JSON.stringify(head);
    const marked = parts.map(({ payload }) => Buffer.concat([Buffer.of(partMark), payload]));
    return { payloads: [...marked, EncodedChange.pack(text)], cost: sum(costs) + text.length };
  },
};
