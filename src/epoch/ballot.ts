// Ballots order the attempts to change the register; the disk's name settles equal rounds.
import type { Frame } from '../wire/frame.js';

export type Ballot = Frame.Ballot;

export const Ballot = {
  none: { round: 0, disk: '' } as Ballot,
  compare: (a: Ballot, b: Ballot): number =>
    a.round - b.round || (a.disk < b.disk ? -1 : a.disk > b.disk ? 1 : 0),
  after: (round: number, disk: string): Ballot => ({ round: round + 1, disk }),
};
