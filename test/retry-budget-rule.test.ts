/**
 * The retry budget of a whole fleet on a simulated clock: in any window, the extra tries at each group stay within a share of
 * the requests for that group and a fixed number, whichever group fails, while proxies are killed and start again, the holder
 * of the pools changes, and messages take their time.
 */
import assert from 'node:assert/strict';
import { afterEach, beforeEach, describe, it } from 'node:test';
import { RetryLimits } from '../src/duty/retry-limits.js';
import { TokenPools } from '../src/duty/token-pools.js';
import { Budget } from '../src/upstream/budget.js';
import type { Frame } from '../src/wire/frame.js';
import { countBetween } from '../tools/count-between.js';
import { Random } from '../tools/random.js';
import { ManualClock } from './manual-clock.js';

const stepMs = 50;
const maintainMs = 500;
const transitMs = 100;
const limits = { ratio: 0.2, count: 58, window: 10_000 };

type Message = { readonly at: number; readonly deliver: () => void };
type Traffic = { readonly perSecond: number; readonly failsFrom: number; readonly failsUntil: number };
type Counts = { readonly sentAt: number[]; readonly extraAt: number[] };

/** Proxies with the pools that they share, and what each group received. */
class Fleet {
  readonly counts = new Map<string, Counts>();
  private budgets: Budget[];
  private pools = this.createPools();
  private messages: Message[] = [];
  private now = 0;

  constructor(
    private readonly clock: ManualClock,
    private readonly random: Random,
    private readonly traffic: ReadonlyMap<string, Traffic>,
    proxies: number,
  ) {
    for (const group of traffic.keys()) this.counts.set(group, { sentAt: [], extraAt: [] });
    this.budgets = Array.from({ length: proxies }, (_none, index) => this.createBudget(index, proxies));
  }

  advance(): void {
    this.clock.advance(stepMs);
    this.now += stepMs;
    const due = this.messages.filter(({ at }) => at <= this.now);
    this.messages = this.messages.filter(({ at }) => at > this.now);
    for (const { deliver } of due) deliver();
    if (this.now % maintainMs === 0) for (const budget of this.budgets) budget.maintain();
    for (const [group, traffic] of this.traffic) this.request(group, traffic);
  }

  restartProxy(): void {
    const index = this.random.below(this.budgets.length);
    this.budgets[index] = this.createBudget(index, this.budgets.length);
  }

  replaceHolder(): void {
    this.pools = this.createPools();
  }

  private createPools(): TokenPools {
    return TokenPools.of(() => RetryLimits.poolCapacity(limits, this.budgets.length));
  }

  private createBudget(index: number, proxies: number): Budget {
    const budget: Budget = Budget.of(
      (transfers) => {
        this.send(() => this.exchange(index, budget, transfers));
        return true;
      },
      limits,
      () => proxies,
    );
    budget.retain(this.traffic.keys());
    return budget;
  }

  private send(deliver: () => void): void {
    this.messages.push({ at: this.now + transitMs, deliver });
  }

  private exchange(index: number, budget: Budget, transfers: readonly Frame.Transfer[]): void {
    const granted = this.pools.exchange(transfers);
    this.send(() => {
      if (this.budgets[index] === budget) budget.grant(1, granted);
    });
  }

  /** Sends the requests of one step; a failing one asks for tokens, and is tried once more if it can be paid for. */
  private request(group: string, { perSecond, failsFrom, failsUntil }: Traffic): void {
    const { sentAt, extraAt } = this.counts.get(group)!;
    const expected = (perSecond * stepMs) / 1000;
    const count = Math.floor(expected) + (this.random.below(1000) < (expected % 1) * 1000 ? 1 : 0);
    for (let index = 0; index < count; index += 1) {
      const budget = this.random.pick(this.budgets);
      budget.earn(group);
      sentAt.push(this.now);
      if (this.now < failsFrom || this.now >= failsUntil) continue;
      if (budget.spend(group)) extraAt.push(this.now);
      else budget.requestTokens(group);
    }
  }
}

/** The worst excess of extra tries over what is allowed, in any window. */
const worstExcess = ({ sentAt, extraAt }: Counts): number => {
  const { window, ratio, count } = limits;
  return Math.max(
    ...extraAt.map((end) => {
      const begin = end - window;
      const requests = Math.max(
        ...[0, window / 2, window].map((shift) => countBetween(sentAt, begin - shift, end - shift)),
      );
      return countBetween(extraAt, begin, end) - (ratio * requests + count);
    }),
  );
};

describe('retry budget of a fleet', () => {
  let clock: ManualClock;
  beforeEach(() => {
    clock = ManualClock.install();
  });
  afterEach(() => clock.uninstall());

  const play = (
    seed: number,
    traffic: ReadonlyMap<string, Traffic>,
    disturb: (fleet: Fleet) => void,
  ): Fleet => {
    const fleet = new Fleet(clock, Random.of(seed), traffic, 9);
    for (let step = 0; step < 40_000 / stepMs; step += 1) {
      fleet.advance();
      disturb(fleet);
    }
    return fleet;
  };
  const expectWithinLimits = (fleet: Fleet, label: string) => {
    for (const [group, counts] of fleet.counts)
      if (counts.extraAt.length > 0)
        assert.ok(worstExcess(counts) <= 0, `${label}, ${group}: ${worstExcess(counts)} too many`);
  };
  const failing = { failsFrom: 16_000, failsUntil: 36_000 };
  const healthy = { failsFrom: Number.POSITIVE_INFINITY, failsUntil: Number.POSITIVE_INFINITY };

  it('pays for the extra tries at one group from the requests for that group alone', () => {
    for (let seed = 1; seed <= 10; seed += 1) {
      const traffic = new Map([
        ['busy', { perSecond: 120, ...healthy }],
        ['failing', { perSecond: 40, ...failing }],
      ]);
      const fleet = play(seed, traffic, () => {});
      assert.ok(fleet.counts.get('failing')!.extraAt.length > 100);
      expectWithinLimits(fleet, `seed ${seed}`);
    }
  });

  it('does not add tokens from before the window to the share and the fixed number', () => {
    for (let seed = 1; seed <= 10; seed += 1)
      expectWithinLimits(
        play(seed, new Map([['only', { perSecond: 150, ...failing }]]), () => {}),
        `seed ${seed}`,
      );
  });

  it('holds while proxies are killed in series and the holder of the pools changes', () => {
    for (let seed = 1; seed <= 30; seed += 1) {
      const random = Random.of(seed + 1000);
      const perSecond = 20 + random.below(130);
      const traffic = new Map([
        ['busy', { perSecond: 100, ...healthy }],
        ['failing', { perSecond, ...failing }],
      ]);
      const fleet = play(seed, traffic, (running) => {
        if (random.below(10) === 0) running.restartProxy();
        if (random.below(200) === 0) running.replaceHolder();
      });
      expectWithinLimits(fleet, `seed ${seed}`);
    }
  });
});
