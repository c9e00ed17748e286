// A small seeded generator (mulberry32), so that a run can be made again from its seed.
export type Random = {
  readonly next: () => number;
  readonly below: (count: number) => number;
  readonly pick: <T>(list: readonly T[]) => T;
  readonly gap: (perSecond: number) => number;
};

export const Random = {
  of(seed: number): Random {
    let state = seed >>> 0;
    const next = (): number => {
      state = (state + 0x6d2b79f5) >>> 0;
      let value = state;
      value = Math.imul(value ^ (value >>> 15), value | 1);
      value ^= value + Math.imul(value ^ (value >>> 7), value | 61);
      return ((value ^ (value >>> 14)) >>> 0) / 4294967296;
    };
    return {
      next,
      below: (count) => Math.floor(next() * count),
      pick: (list) => list[Math.floor(next() * list.length)]!,
      gap: (perSecond) => (-Math.log(1 - next()) / perSecond) * 1000,
    };
  },
};
