// Rebuilds a state from the records of its file, one after the other: the parts and the head of a snapshot, and the
// changes after it. Files of earlier versions begin with a whole state, or with nothing.
import { Failure } from '../kinds/failure.js';
import { EncodedChange } from './encoded-change.js';
import { Snapshot } from './snapshot.js';
import { State } from './state.js';

/** What the records read so far make, and what reading them cost. */
export class Replay {
  state = State.empty;
  snapshotCost = 0;
  tailCost = 0;
  #parts: Buffer[] = [];

  /** Reads one record, unsealed. */
  take(payload: Buffer): void {
    if (Snapshot.isPart(payload)) {
      this.#parts.push(Snapshot.readPart(payload));
      return;
    }
    const change = EncodedChange.decode(payload);
    const { cost } = EncodedChange.encoded(change);
    const record = change as State.Change | Snapshot.Head;
    if (Snapshot.isHead(record)) this.#begin(record, cost);
    else this.#apply(record, cost);
  }

  /** Says that the file is at its end. */
  finish(): void {
    if (this.#parts.length > 0) throw Failure.of('store', 'damaged snapshot: its head is missing');
  }

  #begin(head: Snapshot.Head, cost: number): void {
    const state = Snapshot.readHead(head, this.#parts);
    this.state = State.apply(this.state, { kind: 'whole', stamp: head.stamp, state });
    this.snapshotCost = head.costs.reduce((total, part) => total + part, cost);
    this.tailCost = 0;
    this.#parts = [];
  }

  #apply(change: State.Change, cost: number): void {
    this.state = State.apply(this.state, change);
    if (change.kind === 'whole') [this.snapshotCost, this.tailCost] = [cost, 0];
    else this.tailCost += cost;
  }
}
