/**
 * Rebuilds a state from the records of its file, in order: the parts and the index of a snapshot, then the changes made
 * after it. Files of earlier versions begin with a whole state, or with no state at all.
 */
import { Failure } from '../common/failure.js';
import { EncodedChange } from './encoded-change.js';
import { Snapshot } from './snapshot.js';
import { State } from './state.js';

/** The state that the records read so far make, and the cost of reading them. */
export class Replay {
  state = State.empty;
  snapshotCost = 0;
  tailCost = 0;
  #parts: Buffer[] = [];

  /** Adds the next record, already decrypted. */
  add(payload: Buffer): void {
    if (Snapshot.isPart(payload)) {
      this.#parts.push(Snapshot.readPart(payload));
      return;
    }
    const change = EncodedChange.decode(payload);
    const { cost } = EncodedChange.encode(change);
    const record = change as State.Change | Snapshot.Index;
    if (Snapshot.isIndex(record)) this.#loadSnapshot(record, cost);
    else this.#applyChange(record, cost);
  }

  /** Ends the replay; throws if the file ends inside a snapshot. */
  finish(): void {
    if (this.#parts.length > 0) throw Failure.of('store', 'damaged snapshot: its index record is missing');
  }

  #loadSnapshot(index: Snapshot.Index, cost: number): void {
    const state = Snapshot.readIndex(index, this.#parts);
    this.state = State.apply(this.state, { kind: 'whole', stamp: index.stamp, state });
    this.snapshotCost = index.costs.reduce((total, part) => total + part, cost);
    this.tailCost = 0;
    this.#parts = [];
  }

  #applyChange(change: State.Change, cost: number): void {
    this.state = State.apply(this.state, change);
    if (change.kind === 'whole') [this.snapshotCost, this.tailCost] = [cost, 0];
    else this.tailCost += cost;
  }
}
