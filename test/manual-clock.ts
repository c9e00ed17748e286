/** A monotonic clock that only a test advances, in place of the one that `Instant` reads. */

/** An installed manual clock. */
export type ManualClock = {
  /** Advances the clock, in milliseconds. */
  readonly advance: (span: number) => void;
  /** Restores the real clock. */
  readonly uninstall: () => void;
};

/** Replaces `process.hrtime`. */
export const ManualClock = {
  install(): ManualClock {
    const real = process.hrtime;
    const [seconds, rest] = real();
    let elapsed = 0;
    const read = (from: readonly [number, number] = [0, 0]): [number, number] => {
      const nanoseconds = (seconds - from[0]) * 1e9 + rest - from[1] + Math.round(elapsed * 1e6);
      const whole = Math.floor(nanoseconds / 1e9);
      return [whole, nanoseconds - whole * 1e9];
    };
    process.hrtime = Object.assign(read, { bigint: real.bigint }) as typeof process.hrtime;
    return {
      advance(span) {
        elapsed += span;
      },
      uninstall() {
        process.hrtime = real;
      },
    };
  },
};
