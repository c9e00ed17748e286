/**
 * One process of a proxy, as a holder of the quota duty knows it. A proxy that starts again is a new incarnation: what its former
 * one was granted stays counted by itself.
 */
import type { Instant } from '../common/instant.js';

/** One process of a proxy. */
export type Incarnation = {
  readonly node: string;
  readonly boot: string;
  /** Not earlier than its start. */
  readonly startedAt: Instant;
  lastHeardAt: Instant;
  /** When its last message was sent, at the latest. */
  lastSentAt: Instant;
  /** Not earlier than its end; `Instant.never` until a later process of the same proxy was heard. */
  endedAt: Instant;
  /** Whether the holder has a full report of it, so that any message renews all of its leases. */
  isRegistered: boolean;
};
