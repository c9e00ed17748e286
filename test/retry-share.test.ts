/**
 * The share of a proxy in the fixed number of extra tries, with a mocked clock: its limit over any window and all proxies, across
 * restarts, while the roster fills, and with more proxies than tries.
 */
import assert from 'node:assert/strict';
import { afterEach, describe, it, mock } from 'node:test';
import { Budget } from '../src/upstream/budget.js';
import { Random } from '../tools/random.js';
import { clock, maxInWindow } from './window-kit.js';

afterEach(() => mock.restoreAll());

describe('retry budget', () => {
  const group = 'llm';

  it('uses its share of the fixed number in any window over all proxies, each restarted three times in a row', () => {
    const time = clock();
    const random = Random.of(11);
    const limits = { count: 60, window: 10_000 };
    const make = () =>
      Budget.of(
        () => false,
        limits,
        () => 4,
      );
    const nextLife = (deaths: number) => time.now() + (deaths % 3 === 0 ? 10_000 + random.below(6000) : 1000);
    const lives = Array.from({ length: 4 }, () => ({ budget: make(), deaths: 0, endsAt: nextLife(0) }));
    const spent: number[] = [];
    for (let step = 0; step < 20_000; step += 1) {
      time.advance(10);
      for (const life of lives) {
        if (time.now() >= life.endsAt) {
          life.deaths += 1;
          life.budget = make();
          life.endsAt = nextLife(life.deaths);
        } else if (random.below(2) === 0 && life.budget.spend(group)) spent.push(time.now());
      }
    }
    const most = 0.35 * limits.count;
    assert.ok(spent.length >= most, `${spent.length} in all`);
    assert.ok(maxInWindow(spent, limits.window) <= most, `${maxInWindow(spent, limits.window)} in a window`);
  });

  it('grants nothing on its own while the roster fills, and adds to what was earned', () => {
    const time = clock();
    let proxies = 0;
    const budget = Budget.of(
      () => false,
      { count: 10, window: 1000 },
      () => proxies,
    );
    assert.equal(budget.spend(group), undefined);
    proxies = 1;
    assert.equal(budget.spend(group), undefined);
    time.advance(1999);
    assert.equal(budget.spend(group), undefined);
    proxies = 2;
    budget.maintain();
    time.advance(1999);
    assert.equal(budget.spend(group), undefined);
    proxies = 1;
    time.advance(1);
    for (let count = 0; count < 5; count += 1) budget.earn(group);
    assert.deepEqual(
      Array.from({ length: 4 }, () => budget.spend(group)),
      ['token', 'allowance', undefined, undefined],
    );
    time.advance(1000);
    assert.equal(budget.spend(group), 'allowance');
  });

  it('gives each of many proxies its turn where an equal share rounds down to zero, without a burst', () => {
    const time = clock();
    const limits = { count: 200, window: 10_000 };
    let known = 1;
    const budgets = Array.from({ length: 80 }, () =>
      Budget.of(
        () => false,
        limits,
        () => known,
      ),
    );
    const spent: number[] = [];
    const each = budgets.map(() => 0);
    for (let step = 0; step < 600; step += 1) {
      time.advance(100);
      known = Math.min(80, known + 4);
      budgets.forEach((budget, index) => {
        while (budget.spend(group)) {
          spent.push(time.now());
          each[index]! += 1;
        }
      });
    }
    assert.ok(Math.min(...each) >= 4, `${Math.min(...each)} tries of some proxy in a minute`);
    assert.ok(
      maxInWindow(spent, limits.window) <= limits.count / 2,
      `${maxInWindow(spent, limits.window)} in a window of ${limits.count}`,
    );
    const crowded = Budget.of(
      () => false,
      { count: 10, window: limits.window },
      () => 80,
    );
    crowded.maintain();
    time.advance(limits.window);
    assert.equal(
      crowded.spend(group),
      undefined,
      'with more proxies than allowed tries, a proxy gets none on its own',
    );
  });
});
