// What the two ends of a session both know, as a number that each tells on joining; the lower one holds. A program
// from before the numbers tells none, which reads as 0. Fields and kinds of frames are still only ever added.
export type Protocol = number;

export const Protocol = {
  none: 0,
  rangesByName: 1,
  heartbeats: 2,
  /** States go between cores as transfers in pieces (`offer`, `piece`, `position`); told with every vote. */
  transfers: 3,
  newest: 3,
  negotiate: (theirs: number | undefined): Protocol => Math.min(theirs ?? 0, Protocol.newest),
};
