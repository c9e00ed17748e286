/** Frames and bytes of one process by kind, a sample of them, and what lies between two samples. */
/** Counts frames as they are sent and got. */
export type Counts = {
  readonly sent: (kind: string, bytes: number) => void;
  readonly got: (kind: string, bytes: number) => void;
  /** Notes how many proxies stand on the roster that the process has. */
  readonly knows: (proxies: number) => void;
  readonly sample: () => Counts.Sample;
};

/** Tallies, samples and rates. */
export declare namespace Counts {
  type Tally = Readonly<Record<string, { readonly frames: number; readonly bytes: number }>>;
  type Sample = {
    readonly at: number;
    readonly processor: number;
    readonly resident: number;
    readonly sent: Counts.Tally;
    readonly got: Counts.Tally;
    /** How many proxies stand on the roster that the process has. */
    readonly roster: number;
  };
  type Rate = {
    readonly seconds: number;
    readonly processor: number;
    readonly resident: number;
    readonly sent: { readonly frames: number; readonly bytes: number };
    readonly got: { readonly frames: number; readonly bytes: number };
    readonly kinds: Readonly<Record<string, { readonly frames: number; readonly bytes: number }>>;
  };
}

type Held = Record<string, { frames: number; bytes: number }>;

const add = (held: Held, kind: string, bytes: number) => {
  held[kind] ??= { frames: 0, bytes: 0 };
  held[kind].frames += 1;
  held[kind].bytes += bytes;
};

const less = (after: Counts.Tally, before: Counts.Tally): Counts.Tally =>
  Object.fromEntries(
    Object.entries(after).map(([kind, { frames, bytes }]) => [
      kind,
      { frames: frames - (before[kind]?.frames ?? 0), bytes: bytes - (before[kind]?.bytes ?? 0) },
    ]),
  );

const sum = (tally: Counts.Tally) =>
  Object.values(tally).reduce(
    (all, one) => ({ frames: all.frames + one.frames, bytes: all.bytes + one.bytes }),
    { frames: 0, bytes: 0 },
  );

const both = (a: Counts.Tally, b: Counts.Tally): Counts.Tally =>
  Object.fromEntries(
    [...new Set([...Object.keys(a), ...Object.keys(b)])].map((kind) => [
      kind,
      sum(Object.fromEntries([a[kind], b[kind]].flatMap((one, index) => (one ? [[index, one]] : [])))),
    ]),
  );

const now = () => performance.timeOrigin + performance.now();

/** Makes counts, and tells what lies between two samples. */
export const Counts = {
  now,
  of(): Counts {
    const sent: Held = {};
    const got: Held = {};
    let roster = 0;
    return {
      sent: (kind, bytes) => add(sent, kind, bytes),
      got: (kind, bytes) => add(got, kind, bytes),
      knows(proxies) {
        roster = proxies;
      },
      sample() {
        const { user, system } = process.cpuUsage();
        const { rss } = process.memoryUsage();
        return {
          at: now(),
          processor: (user + system) / 1e6,
          resident: rss,
          sent: structuredClone(sent),
          got: structuredClone(got),
          roster,
        };
      },
    };
  },
  between(before: Counts.Sample, after: Counts.Sample): Counts.Rate {
    const sent = less(after.sent, before.sent);
    const got = less(after.got, before.got);
    return {
      seconds: (after.at - before.at) / 1000,
      processor: after.processor - before.processor,
      resident: after.resident,
      sent: sum(sent),
      got: sum(got),
      kinds: both(sent, got),
    };
  },
};
