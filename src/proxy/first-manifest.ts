// Requests that come to a proxy which has just started and holds no manifest yet. Most often one is on its way, so
// they wait for it a moment: never longer than a quarter of the time their client has, and only in the first
// moments of this process. Who waited in vain is refused then, and whoever comes after those moments at once.
import { Instant } from '../common/instant.js';
import { Timer } from '../common/timer.js';

export type FirstManifest = {
  readonly markArrived: () => void;
  readonly wait: (left: number | undefined) => Promise<void>;
};

const hopefulFor = 1500;
const longest = 800;

export const FirstManifest = {
  of(): FirstManifest {
    const began = Instant.now();
    const waiting = new Set<() => void>();
    let hasCome = false;
    return {
      markArrived() {
        hasCome = true;
        for (const goOn of waiting) goOn();
      },
      wait: (left = Number.POSITIVE_INFINITY) =>
        new Promise((resolve) => {
          const span = Math.min(longest, left / 4, hopefulFor - Instant.since(began));
          if (hasCome || span <= 0) return resolve();
          const goOn = () => {
            waiting.delete(goOn);
            late.stop();
            resolve();
          };
          const late = Timer.after(span, goOn);
          waiting.add(goOn);
        }),
    };
  },
};
