/**
 * Servers that a core without a primary reported as leaving. They get no new requests until a primary publishes a new list,
 * which then takes precedence, or until the report has not been repeated for some time.
 */
import { Instant } from '../common/instant.js';
import { Timer } from '../common/timer.js';
import type { View } from '../manifest/view.js';

/** Tracks the servers reported as leaving. */
export type LeavingServers = {
  /** Records or renews a report. */
  readonly add: (instances: readonly string[]) => void;
  /** The view with the reported servers marked as leaving; reports that refer to an older list are discarded. */
  readonly applyTo: (view: View) => View;
  readonly instances: () => readonly string[];
  readonly stop: () => void;
};

/** How long a report that is not repeated stays valid. */
const lifetimeMs = 10_000;

/** Creates trackers of leaving servers. */
export const LeavingServers = {
  of(dependencies: { readonly serial: () => number; readonly onChange: () => void }): LeavingServers {
    const expiresAt = new Map<string, Instant>();
    let serial = 0;
    const removeIf = (isExpired: (end: Instant) => boolean): boolean => {
      const before = expiresAt.size;
      for (const [instance, end] of expiresAt) if (isExpired(end)) expiresAt.delete(instance);
      return expiresAt.size < before;
    };
    const expiryTimer = Timer.after(lifetimeMs, () => {
      if (removeIf(Instant.isPast)) dependencies.onChange();
    });
    expiryTimer.stop();
    return {
      add(instances) {
        if (serial !== dependencies.serial()) removeIf(() => true);
        serial = dependencies.serial();
        const isNew = instances.some((instance) => !expiresAt.has(instance));
        for (const instance of instances) expiresAt.set(instance, Instant.after(lifetimeMs));
        expiryTimer.reschedule(lifetimeMs + 1);
        if (isNew) dependencies.onChange();
      },
      applyTo(view) {
        if (view.platform.serial !== serial) removeIf(() => true);
        if (expiresAt.size === 0) return view;
        const leaving = [...new Set([...view.platform.leaving, ...expiresAt.keys()])];
        return { ...view, platform: { ...view.platform, leaving } };
      },
      instances: () => [...expiresAt.keys()],
      stop: expiryTimer.stop,
    };
  },
};
