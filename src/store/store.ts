// A core machine's copy of the state: held in memory, rebuilt from its file at start, and extended one
// synced change at a time. The file begins with a snapshot; once the changes after it would cost too much to read
// again, a new snapshot takes their place, beside the changes that go on. A damaged file does not open: the whole
// folder is then untrusted. After a failed write the copy is mended by writing all of what it holds anew. Under a
// key file each record is sealed on the disk, and a file found in plain is written anew; without one no manifest
// with walls is kept, for its secret may not lie there in plain.
import { Failure } from '../kinds/failure.js';
import { Stamp } from '../kinds/stamp.js';
import { Timer } from '../kinds/timer.js';
import { Turns } from '../kinds/turns.js';
import { EncodedChange } from './encoded-change.js';
import { File } from './file.js';
import { Replay } from './replay.js';
import type { Seal } from './seal.js';
import { Snapshot } from './snapshot.js';
import { State } from './state.js';

/** One core's copy of the state, in memory and on its disk. */
export type Store = {
  readonly state: () => State;
  /** Whether the disk may be counted on: no write failed, and none has been under way for long. */
  readonly isHealthy: () => boolean;
  /** Applies a change and resolves once it is synced; throws where another state than `previous` is held. */
  readonly apply: (change: State.Change, previous?: Stamp) => Promise<void>;
  /** Resolves when what was asked for before is done. */
  readonly idle: () => Promise<void>;
  /** Writes the whole state anew where a write has failed. */
  readonly recover: () => Promise<void>;
  /** Whether a snapshot is being written beside the changes. */
  readonly isCompacting: () => boolean;
  /** Resolves when no snapshot is being written. */
  readonly compacted: () => Promise<void>;
  readonly close: () => Promise<void>;
};

export declare namespace Store {
  /** Tells operators of what went wrong without harm. */
  type Note = (text: string, facts: Record<string, unknown>) => void;
}

const name = 'state.log';
const sealed = 1;

/** The changes after a snapshot may cost as much to read as the snapshot itself, and at least so many characters. */
const leastTail = 2 * 1024 * 1024;

const documentsOf = (change: State.Change): readonly State.Manifest['document'][] => {
  if (change.kind === 'whole') return change.state.manifests.map(({ document }) => document);
  if (change.kind === 'manifest') return [change.document];
  if (change.kind === 'settled' && change.view.manifest) return [change.view.manifest.document];
  return [];
};

const hasSecret = (change: State.Change): boolean =>
  documentsOf(change).some(({ walls }) => walls?.secret !== undefined);

const wholeOf = (state: State): State.Change => ({ kind: 'whole', stamp: state.stamp, state });

const sealFor = (payload: Buffer, seal: Seal | undefined): Buffer =>
  seal ? Buffer.concat([Buffer.of(sealed), seal.seal(payload)]) : payload;

const openSealed = (payload: Buffer, seal: Seal | undefined): Buffer => {
  if (payload[0] !== sealed) return payload;
  if (!seal) throw Failure.of('store', 'the state is sealed: name its key file in the startup file');
  return seal.open(payload.subarray(1));
};

/** The store over one file. Its methods are bound, for they are handed on one by one. */
class StateStore implements Store {
  readonly #file: File;
  readonly #seal: Seal | undefined;
  readonly #note: Store.Note;
  readonly #turns = Turns.of();
  #state: State;
  #snapshotCost: number;
  #tailCost: number;
  /** After a failed snapshot the next is tried only when the tail has reached this cost. */
  #notBefore = 0;
  #compaction: Promise<void> | undefined;

  constructor(file: File, replay: Replay, seal: Seal | undefined, note: Store.Note) {
    this.#file = file;
    this.#seal = seal;
    this.#note = note;
    this.#state = replay.state;
    this.#snapshotCost = replay.snapshotCost;
    this.#tailCost = replay.tailCost;
  }

  readonly state = (): State => {
    return this.#state;
  };

  readonly isHealthy = (): boolean => {
    return this.#file.isHealthy();
  };

  readonly idle = (): Promise<void> => {
    return this.#turns.take(async () => {});
  };

  readonly recover = (): Promise<void> => {
    return this.#turns.take(async () => {
      if (this.#file.isBroken()) await this.#rewrite(wholeOf(this.#state));
    });
  };

  readonly apply = (change: State.Change, previous?: Stamp): Promise<void> => {
    return this.#turns.take(async () => {
      this.#check(change, previous);
      const next = State.apply(this.#state, change);
      if (change.kind === 'whole') await this.#rewrite(change);
      else if (this.#file.isBroken()) await this.#rewrite(wholeOf(next));
      else await this.#append(change);
      this.#state = next;
      this.compactIfDue();
    });
  };

  readonly isCompacting = (): boolean => this.#compaction !== undefined;

  readonly compacted = async (): Promise<void> => {
    await this.#compaction;
  };

  readonly close = async (): Promise<void> => {
    await this.#file.close();
    await this.#compaction;
  };

  /** Writes the whole state in place of the file, in plain no longer. */
  sealWhole(): Promise<void> {
    return this.#rewrite(wholeOf(this.#state));
  }

  /** Begins to write a snapshot where the changes after the last one cost too much to read again. */
  compactIfDue(): void {
    const limit = Math.max(leastTail, this.#snapshotCost, this.#notBefore);
    if (this.#compaction || this.#tailCost <= limit) return;
    this.#compaction = this.#compact().finally(() => {
      this.#compaction = undefined;
    });
  }

  #check(change: State.Change, previous: Stamp | undefined): void {
    if (previous && !Stamp.isSame(previous, this.#state.stamp))
      throw Failure.of('stale', 'another state is held', { held: Stamp.text(this.#state.stamp) });
    if (change.kind !== 'whole' && !Stamp.isNewer(change.stamp, this.#state.stamp))
      throw Failure.of('stale', 'change is not newer', {
        held: Stamp.text(this.#state.stamp),
        offered: Stamp.text(change.stamp),
      });
    if (!this.#seal && hasSecret(change))
      throw Failure.of('store', 'a manifest with walls is not kept without a key file', {
        key_file: 'missing',
      });
  }

  async #append(change: State.Change): Promise<void> {
    const { payload, cost } = EncodedChange.encoded(change);
    await this.#file.append(sealFor(payload, this.#seal));
    this.#tailCost += cost;
  }

  async #rewrite(whole: State.Change): Promise<void> {
    const { payload, cost } = EncodedChange.encoded(whole);
    await this.#file.rewrite([sealFor(payload, this.#seal)]);
    this.#snapshotCost = cost;
    this.#tailCost = 0;
    this.#notBefore = 0;
  }

  /** What is appended from this moment on stays behind the snapshot, so no change may be on its way to the file. */
  async #compact(): Promise<void> {
    const state = this.#state;
    const replacedCost = this.#tailCost;
    let cost = 0;
    try {
      await this.#file.replace(async () => {
        const snapshot = await Snapshot.of(state, () => Timer.pause(0));
        cost = snapshot.cost;
        return snapshot.payloads.map((payload) => sealFor(payload, this.#seal));
      });
      this.#snapshotCost = cost;
      this.#tailCost -= replacedCost;
      this.#notBefore = 0;
    } catch (error) {
      this.#notBefore = this.#tailCost + leastTail;
      this.#note('no snapshot was written', { why: Failure.text(error) });
    }
  }
}

export const Store = {
  /** The bytes of a change, as on the disk and on the way to a backup. */
  encode: (change: State.Change): Buffer => EncodedChange.encoded(change).payload,
  /** The change that bytes of `encode` hold, of this or an earlier version. */
  decode: EncodedChange.decode,
  /** Reads the state that a folder holds; under a seal its file holds nothing in plain. */
  async open(folder: string, seal?: Seal, note: Store.Note = () => {}): Promise<Store> {
    const file = await File.open(folder, name);
    const replay = new Replay();
    try {
      for (const payload of file.payloads) replay.take(openSealed(payload, seal));
      replay.finish();
    } catch (error) {
      await file.close();
      throw error;
    }
    const store = new StateStore(file, replay, seal, note);
    const isInPlain = seal !== undefined && file.payloads.some((payload) => payload[0] !== sealed);
    if (isInPlain) await store.sealWhole().catch(() => undefined);
    else store.compactIfDue();
    return store;
  },
};
