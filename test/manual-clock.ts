// A steady clock that moves only when a test says so, in place of the one that Moment reads.
export type ManualClock = {
  readonly advance: (span: number) => void;
  readonly uninstall: () => void;
};

export const ManualClock = {
  install(): ManualClock {
    const real = process.hrtime;
    const [seconds, rest] = real();
    let passed = 0;
    const read = (from: readonly [number, number] = [0, 0]): [number, number] => {
      const nanoseconds = (seconds - from[0]) * 1e9 + rest - from[1] + Math.round(passed * 1e6);
      const whole = Math.floor(nanoseconds / 1e9);
      return [whole, nanoseconds - whole * 1e9];
    };
    process.hrtime = Object.assign(read, { bigint: real.bigint }) as typeof process.hrtime;
    return {
      advance(span) {
        passed += span;
      },
      uninstall() {
        process.hrtime = real;
      },
    };
  },
};
