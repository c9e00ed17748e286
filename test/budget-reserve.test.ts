// The reserve of tokens that a proxy keeps: fresh ones replace those that soon expire before any are passed on, and a
// token exists once whatever is kept, passed on or expired.
import assert from 'node:assert/strict';
import { afterEach, beforeEach, describe, it } from 'node:test';
import { Purse } from '../src/duty/purse.js';
import { Budget } from '../src/upstream/budget.js';
import { ManualClock } from './manual-clock.js';

const earned = 200;
const whole = 1000;

describe('the reserve of tokens', () => {
  let clock: ManualClock;
  let passedOn: number;
  let asked: number;
  let budget: Budget;

  beforeEach(() => {
    clock = ManualClock.install();
    passedOn = 0;
    asked = 0;
    budget = Budget.of((batches, wanted) => {
      for (const batch of batches) passedOn += batch.amount;
      asked += wanted;
      return true;
    });
  });
  afterEach(() => clock.uninstall());
  const earn = (count: number) => {
    for (let index = 0; index < count; index += 1) budget.earn();
  };

  it('keeps fresh tokens in place of those that expire while a try waits', () => {
    earn(5);
    clock.pass(Purse.lifetime - 1000);
    earn(12);
    budget.maintain();
    clock.pass(1200);
    assert.equal(budget.spend(), true);
  });

  it('passes on all that is beyond a reserve that lasts, the newest first', () => {
    earn(5);
    clock.pass(1000);
    earn(12);
    budget.maintain();
    assert.equal(passedOn, 12 * earned);
    clock.pass(Purse.lifetime - 1000 + 1);
    assert.equal(budget.held(), 0);
  });

  it('asks for what is missing of the reserve, and not while it holds one', () => {
    earn(5);
    clock.pass(Purse.lifetime - 1000);
    budget.maintain();
    assert.equal(asked, 0);
    clock.pass(1001);
    budget.maintain();
    assert.equal(asked, whole);
  });

  it('holds a token under steady requests but for the second after it spent one, and spends and passes on no more than was earned', () => {
    let earnedInAll = 0;
    let spent = 0;
    let turnsWithout = 0;
    for (let turn = 0; turn < 400; turn += 1) {
      earn(2);
      earnedInAll += 2 * earned;
      budget.maintain();
      if (turn > 2 && budget.held() < 1) turnsWithout += 1;
      if (turn % 40 === 39 && budget.spend()) spent += whole;
      clock.pass(500);
    }
    assert.equal(spent, 10 * whole);
    assert.ok(turnsWithout <= 2 * 10, `${turnsWithout} turns without a token`);
    assert.ok(spent + passedOn + budget.held() * whole <= earnedInAll);
    assert.ok(passedOn > 0);
  });
});
