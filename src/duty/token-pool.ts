/**
 * A pool of retry tokens that expire. A token exists only once: it is added, and then taken to be spent or passed on. Amounts
 * are counted in thousandths of a token, so that fractions such as a fifth add up exactly.
 */
import { Instant } from '../common/instant.js';
import type { Frame } from '../wire/frame.js';

/** A pool of tokens with their ages. */
export type TokenPool = {
  /** Adds batches; expired ones are ignored. */
  readonly add: (batches: readonly TokenPool.Batch[]) => void;
  /** Takes the oldest tokens, or the newest ones; undefined if there are not enough. */
  readonly take: (amount: number, newest?: boolean) => readonly TokenPool.Batch[] | undefined;
  /** The amount that stays valid for at least the given number of milliseconds. */
  readonly total: (minRemainingMs?: number) => number;
};

/** Amounts of tokens. */
export declare namespace TokenPool {
  /** An amount in thousandths of a token, and its age in milliseconds. */
  type Batch = Frame.Batch;
}

type Held = { amount: number; readonly born: Instant };

const lifetimeMs = 5000;
/** Tokens earned within this time share one batch. */
const batchMs = 500;

/** Creates token pools. */
export const TokenPool = {
  lifetimeMs,
  /** `capacity` is the most that the pool holds, in thousandths of a token; the oldest tokens beyond it are removed. */
  of(capacity?: () => number): TokenPool {
    let held: Held[] = [];
    const removeExpired = () => {
      if (held.length > 0 && Instant.since(held[0]!.born) > lifetimeMs)
        held = held.filter((one) => Instant.since(one.born) <= lifetimeMs);
    };
    const total = (minRemainingMs = 0) => {
      removeExpired();
      return held
        .filter((one) => Instant.since(one.born) <= lifetimeMs - minRemainingMs)
        .reduce((sum, one) => sum + one.amount, 0);
    };
    const take = (amount: number, newest = false): readonly TokenPool.Batch[] | undefined => {
      if (total() < amount) return undefined;
      const taken: TokenPool.Batch[] = [];
      let left = amount;
      for (const one of newest ? [...held].reverse() : held) {
        const part = Math.min(one.amount, left);
        one.amount -= part;
        left -= part;
        if (part > 0) taken.push({ amount: part, age: Instant.since(one.born) });
        if (left === 0) break;
      }
      held = held.filter((one) => one.amount > 0);
      return taken;
    };
    return {
      total,
      take,
      add(batches) {
        for (const { amount, age } of batches) {
          if (!(amount > 0) || !(age >= 0) || age > lifetimeMs) continue;
          const born = Instant.after(-age);
          const existing = held.find((one) => born >= one.born && born - one.born < batchMs);
          if (existing) existing.amount += amount;
          else held = [...held, { amount, born }].sort((a, b) => a.born - b.born);
        }
        const excess = capacity ? total() - capacity() : 0;
        if (excess > 0) take(excess);
      },
    };
  },
};
