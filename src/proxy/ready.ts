/**
 * When a proxy may be sent callers: it has a configuration in force, and it knows which servers there are. A list that
 * is known and empty is knowledge too; one that doesn't come is not waited for longer than a bound.
 */
import { Instant } from '../common/instant.js';
import type { Compiled } from '../manifest/compiled.js';

/** Tells whether callers may come. */
export type Ready = {
  /** Why no callers should come now; undefined when they may. */
  readonly reason: () => string | undefined;
};

export declare namespace Ready {
  type Dependencies = {
    readonly zone: string;
    readonly isDraining: () => boolean;
    readonly compiled: () => Compiled | undefined;
    /** The number of the newest list of servers that was heard; 0 before the first. */
    readonly listSerial: () => number;
  };
}

/** How long after its start a proxy waits for the first list of servers, in milliseconds. */
const maxListWaitMs = 3000;

export const Ready = {
  maxListWaitMs: maxListWaitMs,
  of({ zone, isDraining, compiled, listSerial }: Ready.Dependencies): Ready {
    const began = Instant.now();
    const isListMissing = () => listSerial() === 0 && Instant.since(began) < maxListWaitMs;
    return {
      reason() {
        if (isDraining()) return 'draining';
        const inForce = compiled();
        if (!inForce) return 'no manifest yet';
        if (isListMissing()) return 'no list of servers yet';
        return inForce.isEvacuated(zone) ? 'zone evacuated' : undefined;
      },
    };
  },
};
