/** The pools of retry tokens at a core, one for each group of servers. */
import { TokenPool } from './token-pool.js';

/** Pools by group. */
export type TokenPools = {
  /** Adds tokens to the pool of a group, and takes up to the wanted amount from it; undefined if it is empty. */
  readonly exchange: (
    group: string,
    batches: readonly TokenPool.Batch[],
    wanted: number,
  ) => readonly TokenPool.Batch[] | undefined;
  /** Amounts by group, in thousandths of a token. */
  readonly totals: () => Readonly<Record<string, number>>;
  /** Removes all tokens. */
  readonly clear: () => void;
};

/** Creates pools. */
export const TokenPools = {
  /** `capacity` is the most that the pool of a group holds, in thousandths of a token. */
  of(capacity: () => number): TokenPools {
    const pools = new Map<string, TokenPool>();
    const poolOf = (group: string): TokenPool => {
      const existing = pools.get(group);
      if (existing) return existing;
      const pool = TokenPool.of(capacity);
      pools.set(group, pool);
      return pool;
    };
    return {
      exchange(group, batches, wanted) {
        const pool = poolOf(group);
        pool.add(batches);
        const amount = Math.min(wanted, pool.total());
        const taken = amount > 0 ? pool.take(amount) : undefined;
        if (pool.total() === 0) pools.delete(group);
        return taken;
      },
      totals: () => Object.fromEntries([...pools].map(([group, pool]) => [group, pool.total()])),
      clear: () => pools.clear(),
    };
  },
};
