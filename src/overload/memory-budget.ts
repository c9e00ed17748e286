/**
 * A bound on the bytes that clients make a process hold. Each holder reserves what it takes before it keeps it. When the bound
 * is reached, the holding that has occupied most for longest is shed, if it may be: a body that does not arrive to its end, or
 * a response that is not read. So a request that arrives quickly is served while others occupy all of the memory.
 */
import { Instant } from '../common/instant.js';

/** A bound on held bytes. */
export type MemoryBudget = {
  readonly limitBytes: number;
  readonly usedBytes: () => number;
  /** How many holdings were shed, and how many reservations were refused. */
  readonly shedCount: () => number;
  readonly refusedCount: () => number;
  /** Whether one holding of that size, in bytes, fits beside others of `besides` bytes while clients hold nothing else. */
  readonly canFit: (bytes: number, besides?: number) => boolean;
  /** Opens an empty holding; with `shed`, it may be shed to make room until it is settled. */
  readonly hold: (shed?: () => void) => MemoryBudget.Holding;
  /** Sheds the oldest holding that may be shed and is at least that old, in milliseconds; false if there is none. */
  readonly shedOldest: (minAgeMs?: number) => boolean;
};

export declare namespace MemoryBudget {
  /** What one holder occupies. */
  type Holding = {
    /** Reserves further bytes; false if there is no room for them, or the holding is no longer open. */
    readonly grow: (bytes: number) => boolean;
    /** Keeps the bytes, which from now on may not be shed. */
    readonly settle: () => void;
    /** Returns all bytes. */
    readonly release: () => void;
  };
}

/** A holding above this size, in bytes, leaves a part of the budget to smaller ones. */
const largeBytes = 64 * 1024;
/** The part of the budget that large holdings may fill. */
const largeShare = 3 / 4;

class Holding implements MemoryBudget.Holding {
  bytes = 0;
  readonly since = Instant.now();
  private isOpen = true;

  constructor(
    private readonly budget: Budget,
    readonly shed: (() => void) | undefined,
  ) {}

  grow(bytes: number): boolean {
    if (!this.isOpen || !this.budget.makeRoom(this, bytes)) return false;
    this.bytes += bytes;
    this.budget.used += bytes;
    return true;
  }

  settle(): void {
    this.budget.sheddable.delete(this);
  }

  release(): void {
    if (!this.isOpen) return;
    this.isOpen = false;
    this.budget.sheddable.delete(this);
    this.budget.used -= this.bytes;
  }

  /** Bytes times milliseconds. */
  weight(now: Instant): number {
    return this.bytes * (now - this.since + 1);
  }
}

class Budget implements MemoryBudget {
  used = 0;
  /** In the order of their beginning. */
  readonly sheddable = new Set<Holding>();
  private shedTotal = 0;
  private refusedTotal = 0;

  constructor(readonly limitBytes: number) {}

  readonly usedBytes = () => this.used;
  readonly shedCount = () => this.shedTotal;
  readonly refusedCount = () => this.refusedTotal;

  readonly canFit = (bytes: number, besides = 0): boolean => besides + bytes <= this.limitFor(bytes);

  readonly hold = (shed?: () => void): MemoryBudget.Holding => {
    const holding = new Holding(this, shed);
    if (shed) this.sheddable.add(holding);
    return holding;
  };

  readonly shedOldest = (minAgeMs = 0): boolean => {
    const [oldest] = this.sheddable;
    if (!oldest || Instant.since(oldest.since) < minAgeMs) return false;
    this.evict(oldest);
    return true;
  };

  /** Sheds other holdings until the bytes fit; false where the holding itself occupies most. */
  makeRoom(holding: Holding, bytes: number): boolean {
    const limit = this.limitFor(holding.bytes + bytes);
    const isPossible = this.canFit(holding.bytes + bytes);
    while (isPossible && this.used + bytes > limit) {
      const heaviest = this.findHeaviest();
      if (heaviest === undefined || heaviest === holding) break;
      this.evict(heaviest);
    }
    const fits = isPossible && this.used + bytes <= limit;
    if (!fits) this.refusedTotal += 1;
    return fits;
  }

  /** What all holdings together may take for one of that size to grow. */
  private limitFor(bytes: number): number {
    return bytes > largeBytes ? this.limitBytes * largeShare : this.limitBytes;
  }

  private findHeaviest(): Holding | undefined {
    const now = Instant.now();
    let heaviest: Holding | undefined;
    for (const holding of this.sheddable)
      if (holding.bytes > 0 && (heaviest === undefined || holding.weight(now) > heaviest.weight(now)))
        heaviest = holding;
    return heaviest;
  }

  private evict(holding: Holding): void {
    this.shedTotal += 1;
    holding.release();
    holding.shed?.();
  }
}

/** Creates budgets. */
export const MemoryBudget = {
  of: (limitBytes: number): MemoryBudget => new Budget(limitBytes),
};
