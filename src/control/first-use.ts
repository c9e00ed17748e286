/**
 * Until when certainly no proxy of this cluster has admitted a request, since no manifest was put yet. A holder of the quota duty
 * needs to know nothing of what was granted before.
 */
import { Instant } from '../common/instant.js';
import type { Frame } from '../wire/frame.js';

/** Observes that there is no manifest. */
export type FirstUse = {
  /** Called several times a second. */
  readonly observe: () => void;
  /** Until when nothing was admitted; `Instant.past` if this core cannot know. */
  readonly unusedUntil: () => Instant;
  /** Whether this core has known all terms since the cluster was formed with nothing in it. */
  readonly hasTakenPartAlways: () => boolean;
  /** Whether this core has been the only primary since the cluster was formed with nothing in it. */
  readonly hasAlwaysLed: () => boolean;
};

/** What it needs from the core. */
export declare namespace FirstUse {
  type Dependencies = {
    readonly hasManifest: () => boolean;
    /** Whether this core is a member of a term, and heard recently of a primary that a majority confirms. */
    readonly isMemberInTouch: () => boolean;
    /** The identity of this core in terms. */
    readonly disk: string;
    /** Whether this core knows no term yet. */
    readonly isBlank: boolean;
    /** Calls back with each term that this core accepts. */
    readonly watchTerms: (listener: (term: Frame.Term) => void) => void;
  };
}

/** Creates an observer; at that time the core has read its disk and joined nobody. */
export const FirstUse = {
  of({ hasManifest, isMemberInTouch, disk, isBlank, watchTerms }: FirstUse.Dependencies): FirstUse {
    const wasBlank = isBlank && !hasManifest();
    let unusedUntil = Instant.past;
    let firstTerm: Frame.Term | undefined;
    let hasOtherLed = false;
    watchTerms((term) => {
      firstTerm ??= term;
      hasOtherLed ||= term.primary !== disk;
    });
    const hasTakenPartAlways = () =>
      wasBlank && firstTerm !== undefined && firstTerm.formed === firstTerm.epoch;
    return {
      observe() {
        if (wasBlank && !hasManifest() && isMemberInTouch()) unusedUntil = Instant.now();
      },
      unusedUntil: () => unusedUntil,
      hasTakenPartAlways,
      hasAlwaysLed: () => hasTakenPartAlways() && !hasOtherLed,
    };
  },
};
