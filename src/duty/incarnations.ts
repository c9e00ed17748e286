/**
 * The processes of proxies that a holder of the quota duty has heard. A proxy that starts again is a new incarnation: its former
 * one ended before the new one started, and what it was granted stays its own.
 */
import { Instant } from '../common/instant.js';
import type { Incarnation } from './incarnation.js';

/** The newest incarnation of each proxy. */
export type Incarnations = {
  /** Registers a message; undefined if a later process of the same proxy was heard already. */
  readonly heardFrom: (message: Incarnations.Sender) => Incarnation | undefined;
  readonly all: () => readonly Incarnation[];
  readonly forget: (incarnation: Incarnation) => void;
};

/** Messages. */
export declare namespace Incarnations {
  /** Who sent a message: a proxy, its process, and for how long that has run in milliseconds; both absent in old versions. */
  type Sender = { readonly node: string; readonly boot?: string; readonly uptime?: number };
}

type Known = Incarnation & {
  /** The clock of the holder less the running time of the process, at most. */
  clockOffset: number;
};

const start = ({ node, boot = '', uptime = 0 }: Incarnations.Sender): Known => ({
  node,
  boot,
  startedAt: Instant.after(-uptime),
  lastHeardAt: Instant.now(),
  lastSentAt: Instant.now(),
  endedAt: Instant.never,
  isRegistered: false,
  clockOffset: Number.POSITIVE_INFINITY,
});

const isLate = ({ boot = '', uptime = 0 }: Incarnations.Sender, newest: Incarnation): boolean =>
  boot !== '' && boot !== newest.boot && Instant.after(-uptime) < newest.startedAt;

/** Creates an empty record. */
export const Incarnations = {
  of(): Incarnations {
    const newest = new Map<string, Known>();
    const replace = (message: Incarnations.Sender, former: Known | undefined): Known => {
      const incarnation = start(message);
      if (former) former.endedAt = incarnation.startedAt;
      newest.set(message.node, incarnation);
      return incarnation;
    };
    return {
      all: () => [...newest.values()],
      forget(incarnation) {
        if (newest.get(incarnation.node) === incarnation) newest.delete(incarnation.node);
      },
      heardFrom(message) {
        const { node, boot = '', uptime = 0 } = message;
        const known = newest.get(node);
        if (known && isLate(message, known)) return undefined;
        const incarnation = known?.boot === boot ? known : replace(message, known);
        incarnation.lastHeardAt = Instant.now();
        incarnation.clockOffset = Math.min(incarnation.clockOffset, Instant.now() - uptime);
        incarnation.lastSentAt = (uptime + incarnation.clockOffset) as Instant;
        return incarnation;
      },
    };
  },
};
