/** The pools of retry tokens at a core, one for each group of servers. */
import type { Frame } from '../wire/frame.js';
import { TokenPool } from './token-pool.js';

/** Pools by group. */
export type TokenPools = {
  /** Adds tokens to the pools of their groups, and takes up to the wanted amounts from these; returns what was taken. */
  readonly exchange: (transfers: readonly Frame.Transfer[]) => readonly Frame.Transfer[];
  /** Amounts by group, in thousandths of a token. */
  readonly totals: () => Readonly<Record<string, number>>;
  /** Removes all tokens. */
  readonly clear: () => void;
};

export declare namespace TokenPools {
  /** Tokens of a group that are handed over, and the amount wanted in return. */
  type Transfer = Frame.Transfer;
}

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
    const exchangeOne = ({ group, batches, wanted }: Frame.Transfer): readonly Frame.Transfer[] => {
      const pool = poolOf(group);
      pool.add(batches);
      const amount = Math.min(wanted, pool.total());
      const taken = amount > 0 ? pool.take(amount) : undefined;
      if (pool.total() === 0) pools.delete(group);
      return taken ? [{ group, batches: taken, wanted: 0 }] : [];
    };
    return {
      exchange: (transfers) => transfers.flatMap(exchangeOne),
      totals: () => Object.fromEntries([...pools].map(([group, pool]) => [group, pool.total()])),
      clear: () => pools.clear(),
    };
  },
};
