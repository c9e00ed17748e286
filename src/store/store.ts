/**
 * One core's copy of the state: held in memory, rebuilt from its file at start, and extended by one synced change at a
 * time. The file begins with a snapshot. Once the changes after it would be too expensive to read again, a new
 * snapshot replaces them while changes go on.
 *
 * A damaged file does not open, and the whole data folder is then untrusted. After a failed write the copy recovers by
 * writing all that it holds to a new file.
 *
 * With a key file each record is encrypted on disk, and a file found in plaintext is rewritten. Without one no manifest
 * with walls is kept, as its secret must not be stored in plaintext.
 */
import { Failure } from '../common/failure.js';
import { Mutex } from '../common/mutex.js';
import { Stamp } from '../common/stamp.js';
import { Timer } from '../common/timer.js';
import { EncodedChange } from './encoded-change.js';
import { File } from './file.js';
import { Replay } from './replay.js';
import type { Seal } from './seal.js';
import { Snapshot } from './snapshot.js';
import { State } from './state.js';

/** One core's copy of the state, in memory and on disk. */
export type Store = {
  readonly state: () => State;
  /** Whether no write to the disk has failed and none has stalled. */
  readonly isHealthy: () => boolean;
  /** Applies a change and resolves once it is synced; throws if the state held is not `previous`. */
  readonly apply: (change: State.Change, previous?: Stamp) => Promise<void>;
  /** Resolves when all changes asked for before are done. */
  readonly idle: () => Promise<void>;
  /** Rewrites the file with the whole state if a write has failed. */
  readonly recover: () => Promise<void>;
  /** Whether a snapshot is being written in the background. */
  readonly isCompacting: () => boolean;
  /** Resolves when no snapshot is being written. */
  readonly compacted: () => Promise<void>;
  readonly close: () => Promise<void>;
};

export declare namespace Store {
  /** Logs a failure that caused no harm. */
  type Log = (text: string, facts: Record<string, unknown>) => void;
}

const fileName = 'state.log';
/** The first byte of a sealed record; neither JSON nor a compressed record or a part begins with it. */
const sealedMark = 1;

/**
 * The tail, which is the changes after the snapshot, may cost as much to read as the snapshot itself, and at least this
 * many characters.
 */
const minimumTailCost = 2 * 1024 * 1024;

const documentsOf = (change: State.Change): readonly State.Manifest['document'][] => {
  if (change.kind === 'whole') return change.state.manifests.map(({ document }) => document);
  if (change.kind === 'manifest') return [change.document];
  if (change.kind === 'settled' && change.view.manifest) return [change.view.manifest.document];
  return [];
};

const hasSecret = (change: State.Change): boolean =>
  documentsOf(change).some(({ walls }) => walls?.secret !== undefined);

const wholeChange = (state: State): State.Change => ({ kind: 'whole', stamp: state.stamp, state });

const sealIfNeeded = (payload: Buffer, seal: Seal | undefined): Buffer =>
  seal ? Buffer.concat([Buffer.of(sealedMark), seal.seal(payload)]) : payload;

const openIfSealed = (payload: Buffer, seal: Seal | undefined): Buffer => {
  if (payload[0] !== sealedMark) return payload;
  if (!seal) throw Failure.of('store', 'the state is sealed: set its key file in the startup file');
  return seal.open(payload.subarray(1));
};

/** The store on one file. Its methods are bound because they are passed on one by one. */
class StateStore implements Store {
  readonly #file: File;
  readonly #seal: Seal | undefined;
  readonly #log: Store.Log;
  readonly #turns = Mutex.of();
  #state: State;
  #snapshotCost: number;
  #tailCost: number;
  /** After a failed snapshot, the cost that the tail must reach before the next attempt. */
  #retryTailCost = 0;
  #compaction: Promise<void> | undefined;

  constructor(file: File, replay: Replay, seal: Seal | undefined, log: Store.Log) {
    this.#file = file;
    this.#seal = seal;
    this.#log = log;
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
    return this.#turns.runExclusive(async () => {});
  };

  readonly recover = (): Promise<void> => {
    return this.#turns.runExclusive(async () => {
      if (this.#file.isBroken()) await this.#rewrite(wholeChange(this.#state));
    });
  };

  readonly apply = (change: State.Change, previous?: Stamp): Promise<void> => {
    return this.#turns.runExclusive(async () => {
      this.#check(change, previous);
      const next = State.apply(this.#state, change);
      if (change.kind === 'whole') await this.#rewrite(change);
      else if (this.#file.isBroken()) await this.#rewrite(wholeChange(next));
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

  /** Rewrites a plaintext file with the whole state, sealed. */
  rewriteSealed(): Promise<void> {
    return this.#rewrite(wholeChange(this.#state));
  }

  /** Starts writing a snapshot if the changes after the last one cost too much to read again. */
  compactIfDue(): void {
    const limit = Math.max(minimumTailCost, this.#snapshotCost, this.#retryTailCost);
    if (this.#compaction || this.#tailCost <= limit) return;
    this.#compaction = this.#compact().finally(() => {
      this.#compaction = undefined;
    });
  }

  #check(change: State.Change, previous: Stamp | undefined): void {
    if (previous && !Stamp.isSame(previous, this.#state.stamp))
      throw Failure.of('stale', 'another state is held', { held: Stamp.text(this.#state.stamp) });
    if (change.kind !== 'whole' && !Stamp.isNewer(change.stamp, this.#state.stamp))
      throw Failure.of('stale', 'the change is not newer than the state', {
        held: Stamp.text(this.#state.stamp),
        offered: Stamp.text(change.stamp),
      });
    if (!this.#seal && hasSecret(change))
      throw Failure.of('store', 'a manifest with walls cannot be stored without a key file', {
        key_file: 'missing',
      });
  }

  async #append(change: State.Change): Promise<void> {
    const { payload, cost } = EncodedChange.encode(change);
    await this.#file.append(sealIfNeeded(payload, this.#seal));
    this.#tailCost += cost;
  }

  async #rewrite(whole: State.Change): Promise<void> {
    const { payload, cost } = EncodedChange.encode(whole);
    await this.#file.rewrite([sealIfNeeded(payload, this.#seal)]);
    this.#snapshotCost = cost;
    this.#tailCost = 0;
    this.#retryTailCost = 0;
  }

  /** Replaces all records so far by a snapshot; later ones follow it, so no append may be in progress at the call. */
  async #compact(): Promise<void> {
    const state = this.#state;
    const replacedCost = this.#tailCost;
    let cost = 0;
    try {
      await this.#file.replace(async () => {
        const snapshot = await Snapshot.of(state, () => Timer.sleep(0));
        cost = snapshot.cost;
        return snapshot.payloads.map((payload) => sealIfNeeded(payload, this.#seal));
      });
      this.#snapshotCost = cost;
      this.#tailCost -= replacedCost;
      this.#retryTailCost = 0;
    } catch (error) {
      this.#retryTailCost = this.#tailCost + minimumTailCost;
      this.#log('writing a snapshot failed', { why: Failure.text(error) });
    }
  }
}

/** Opens stores, and encodes and decodes changes. */
export const Store = {
  /** The bytes of a change, as on disk and on the way to a backup. */
  encode: (change: State.Change): Buffer => EncodedChange.encode(change).payload,
  /** The change in bytes that `encode` made, in this or an earlier version. */
  decode: EncodedChange.decode,
  /** Reads the state in a folder; with a seal, its file holds no plaintext afterwards. */
  async open(folder: string, seal?: Seal, log: Store.Log = () => {}): Promise<Store> {
    const file = await File.open(folder, fileName);
    const replay = new Replay();
    try {
      for (const payload of file.payloads) replay.add(openIfSealed(payload, seal));
      replay.finish();
    } catch (error) {
      await file.close();
      throw error;
    }
    const store = new StateStore(file, replay, seal, log);
    const hasPlaintext = seal !== undefined && file.payloads.some((payload) => payload[0] !== sealedMark);
    if (hasPlaintext) await store.rewriteSealed().catch(() => undefined);
    else store.compactIfDue();
    return store;
  },
};
