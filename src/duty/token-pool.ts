// A purse holds tokens by the moment each was earned. A token exists once: it is added, and taken out to
// be spent or passed on; one that has grown old is gone. Amounts are counted in thousandths, so that
// fifths add up exactly.
import { Instant } from '../common/instant.js';

export type TokenPool = {
  readonly add: (batches: readonly TokenPool.Batch[]) => void;
  readonly take: (amount: number, newest?: boolean) => readonly TokenPool.Batch[] | undefined;
  /** How much is held of what stays good for at least the span given, in milliseconds, or else of all. */
  readonly total: (lasting?: number) => number;
};

export declare namespace TokenPool {
  type Batch = { readonly amount: number; readonly age: number };
}

type Held = { amount: number; readonly born: Instant };

const lifetimeMs = 5000;
const grain = 500;

export const TokenPool = {
  lifetimeMs: lifetimeMs,
  of(): TokenPool {
    let held: Held[] = [];
    const expire = () => {
      if (held.length > 0 && Instant.since(held[0]!.born) > lifetimeMs)
        held = held.filter((one) => Instant.since(one.born) <= lifetimeMs);
    };
    const total = (lasting = 0) => {
      expire();
      return held
        .filter((one) => Instant.since(one.born) <= lifetimeMs - lasting)
        .reduce((sum, one) => sum + one.amount, 0);
    };
    return {
      total,
      add(batches) {
        for (const { amount, age } of batches) {
          if (!(amount > 0) || !(age >= 0) || age > lifetimeMs) continue;
          const born = Instant.after(-age);
          const near = held.find((one) => born >= one.born && born - one.born < grain);
          if (near) near.amount += amount;
          else held = [...held, { amount, born }].sort((a, b) => a.born - b.born);
        }
      },
      take(amount, newest = false) {
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
      },
    };
  },
};
