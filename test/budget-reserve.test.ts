/**
 * The token reserve of a proxy: fresh tokens replace those about to expire before any are passed on, and each token
 * exists only once, whether it is kept, passed on or expired.
 */
import assert from 'node:assert/strict';
import { afterEach, beforeEach, describe, it } from 'node:test';
import { TokenPool } from '../src/duty/token-pool.js';
import { Budget } from '../src/upstream/budget.js';
import { ManualClock } from './manual-clock.js';

const earnedPerRequest = 200;
/** In thousandths of a token, as in the budget. */
const oneToken = 1000;
const group = 'llm';

describe('token reserve', () => {
  let clock: ManualClock;
  let passedOn: number;
  let requestedAmount: number;
  let budget: Budget;

  beforeEach(() => {
    clock = ManualClock.install();
    passedOn = 0;
    requestedAmount = 0;
    budget = Budget.of((transfers) => {
      for (const { group: of, batches, wanted } of transfers) {
        assert.equal(of, group);
        for (const batch of batches) passedOn += batch.amount;
        requestedAmount += wanted;
      }
      return true;
    });
  });
  afterEach(() => clock.uninstall());
  const earn = (count: number) => {
    for (let index = 0; index < count; index += 1) budget.earn(group);
  };

  it('keeps fresh tokens instead of those that expire during a try', () => {
    earn(5);
    clock.advance(TokenPool.lifetimeMs - 1000);
    earn(12);
    budget.maintain();
    clock.advance(1200);
    assert.equal(budget.spend(group), 'token');
  });

  it('passes on everything beyond a reserve of long-lived tokens, newest first', () => {
    earn(5);
    clock.advance(1000);
    earn(12);
    budget.maintain();
    assert.equal(passedOn, 12 * earnedPerRequest);
    clock.advance(TokenPool.lifetimeMs - 1000 + 1);
    assert.equal(budget.held(group), 0);
  });

  it('requests only what is missing from the reserve', () => {
    earn(5);
    clock.advance(TokenPool.lifetimeMs - 1000);
    budget.maintain();
    assert.equal(requestedAmount, 0);
    clock.advance(1001);
    budget.maintain();
    assert.equal(requestedAmount, oneToken);
  });

  it('holds a token under steady requests except for a second after spending one, and never spends and passes on more than was earned', () => {
    let earnedTotal = 0;
    let spent = 0;
    let turnsWithoutToken = 0;
    for (let turn = 0; turn < 400; turn += 1) {
      earn(2);
      earnedTotal += 2 * earnedPerRequest;
      budget.maintain();
      if (turn > 2 && budget.held(group) < 1) turnsWithoutToken += 1;
      if (turn % 40 === 39 && budget.spend(group)) spent += oneToken;
      clock.advance(500);
    }
    assert.equal(spent, 10 * oneToken);
    assert.ok(turnsWithoutToken <= 2 * 10, `${turnsWithoutToken} turns without a token`);
    assert.ok(spent + passedOn + budget.held(group) * oneToken <= earnedTotal);
    assert.ok(passedOn > 0);
  });
});
