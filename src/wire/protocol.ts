/**
 * Versions of the protocol between processes. Each end sends its version when it joins, and the lower one applies.
 * Programs older than the version numbers send none, which counts as 0. Fields and frame kinds are only ever added.
 */

/** A protocol version. */
export type Protocol = number;

/** The versions that added something, and their negotiation. */
export const Protocol = {
  none: 0,
  rangesByName: 1,
  heartbeats: 2,
  /** Cores transfer states in chunks (`offer`, `piece`, `position`); the version is also sent with every vote. */
  transfers: 3,
  newest: 3,
  /** The version that both ends support. */
  negotiate: (theirs: number | undefined): Protocol => Math.min(theirs ?? 0, Protocol.newest),
};
