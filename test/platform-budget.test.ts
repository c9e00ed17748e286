/**
 * The retry budget on whole programs: extra tries at a service stay within a share of the requests for that service and a
 * fixed slack, while all of its servers fail.
 */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { Day } from '../tools/platform/day.js';

describe('retry budget on the platform', () => {
  it('does not pay for the retries of a failing service with what the requests for other services earned', async () => {
    const day = await Day.play({ seed: 1, faults: ['failing'], span: 4000 });
    assert.deepEqual(day.verdicts.budget!.breaches, []);
    assert.ok((day.extraTries['orders token'] ?? 0) > 0);
  });
});
