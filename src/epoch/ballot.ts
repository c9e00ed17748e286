/** Ballots order the attempts to change the register. */
import type { Frame } from '../wire/frame.js';

/** A ballot number: a round, and the disk of its proposer, which breaks ties between equal rounds. */
export type Ballot = Frame.Ballot;

/** Comparison and creation of ballots. */
export const Ballot = {
  none: { round: 0, disk: '' } as Ballot,
  compare: (a: Ballot, b: Ballot): number =>
    a.round - b.round || (a.disk < b.disk ? -1 : a.disk > b.disk ? 1 : 0),
  /** The ballot of a disk in the round after the given one. */
  after: (round: number, disk: string): Ballot => ({ round: round + 1, disk }),
};
