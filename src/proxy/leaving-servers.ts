// Servers that a core without a primary saw leaving. They get nothing new until a primary renews the list, which is
// then what counts, or until nobody has said so again for a while.
import { Instant } from '../common/instant.js';
import { Timer } from '../common/timer.js';
import type { View } from '../manifest/view.js';

export type LeavingServers = {
  readonly add: (instances: readonly string[]) => void;
  /** The view with what was heard; what an older list was told of is forgotten. */
  readonly applyTo: (view: View) => View;
  readonly instances: () => readonly string[];
  readonly stop: () => void;
};

const keptFor = 10_000;

export const LeavingServers = {
  of(needs: { readonly serial: () => number; readonly onChange: () => void }): LeavingServers {
    const until = new Map<string, Instant>();
    let serial = 0;
    const forget = (isOver: (end: Instant) => boolean): boolean => {
      const before = until.size;
      for (const [instance, end] of until) if (isOver(end)) until.delete(instance);
      return until.size < before;
    };
    const late = Timer.after(keptFor, () => {
      if (forget(Instant.isPast)) needs.onChange();
    });
    late.stop();
    return {
      add(instances) {
        if (serial !== needs.serial()) forget(() => true);
        serial = needs.serial();
        const isNew = instances.some((instance) => !until.has(instance));
        for (const instance of instances) until.set(instance, Instant.after(keptFor));
        late.reschedule(keptFor + 1);
        if (isNew) needs.onChange();
      },
      applyTo(view) {
        if (view.platform.serial !== serial) forget(() => true);
        if (until.size === 0) return view;
        const leaving = [...new Set([...view.platform.leaving, ...until.keys()])];
        return { ...view, platform: { ...view.platform, leaving } };
      },
      instances: () => [...until.keys()],
      stop: late.stop,
    };
  },
};
