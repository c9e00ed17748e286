/**
 * Readiness of a proxy: it has an active manifest and knows the list of servers. A known list may be empty. A proxy waits for
 * a list that does not arrive only for a limited time.
 */
import { Instant } from '../common/instant.js';
import type { Compiled } from '../manifest/compiled.js';

/** Reports whether a proxy is ready for clients. */
export type Ready = {
  /** Why the proxy is not ready; undefined when it is. */
  readonly reason: () => string | undefined;
};

/** Dependencies of the readiness check. */
export declare namespace Ready {
  /** What readiness depends on. */
  type Dependencies = {
    readonly zone: string;
    readonly isDraining: () => boolean;
    readonly compiled: () => Compiled | undefined;
    /** Serial of the latest list of servers received; 0 before the first. */
    readonly listSerial: () => number;
  };
}

/** How long after its start a proxy waits for the first list of servers. */
const maxListWaitMs = 3000;

/** Creates readiness checks. */
export const Ready = {
  maxListWaitMs,
  of({ zone, isDraining, compiled, listSerial }: Ready.Dependencies): Ready {
    const startedAt = Instant.now();
    const isListMissing = () => listSerial() === 0 && Instant.since(startedAt) < maxListWaitMs;
    return {
      reason() {
        if (isDraining()) return 'draining';
        const manifest = compiled();
        if (!manifest) return 'no manifest yet';
        if (isListMissing()) return 'no list of servers yet';
        return manifest.isEvacuated(zone) ? 'zone evacuated' : undefined;
      },
    };
  },
};
