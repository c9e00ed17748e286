/**
 * The drain of a proxy: from the signal on it is not ready, takes requests for a while since clients learn of it late, and cuts
 * what still runs when the time for it is over. Requests that come late and may last longer than that are not taken any more.
 */
import { Instant } from '../common/instant.js';

/** Whether the proxy drains, and which requests it still takes. */
export type Drain = {
  readonly begin: () => void;
  readonly isDraining: () => boolean;
  /** Whether a request that arrived and must end by the given moments is taken. */
  readonly takes: (arrivedAt: Instant, deadline: Instant) => boolean;
};

export declare namespace Drain {
  type Limits = {
    /** Time from the signal until running requests are cut, in milliseconds. */
    readonly total: () => number;
    /** Time from the signal after which no request is taken that may last until the cut, in milliseconds. */
    readonly takesLong: () => number;
  };
}

/** Creates the drain of a proxy. */
export const Drain = {
  of({ total, takesLong }: Drain.Limits): Drain {
    let beganAt: Instant | undefined;
    return {
      begin() {
        beganAt ??= Instant.now();
      },
      isDraining: () => beganAt !== undefined,
      takes(arrivedAt, deadline) {
        if (beganAt === undefined || arrivedAt <= Instant.after(takesLong(), beganAt)) return true;
        return deadline < Instant.after(total(), beganAt);
      },
    };
  },
};
