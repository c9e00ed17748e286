/**
 * A short seeded soak with crowds that do not behave, in overlapping series with signals, restarts, faults of servers and changes
 * of tenants: the rules hold, and no process goes over the memory or the descriptors that its settings state. The long run is
 * started by hand (`node dist/tools/platform/soak.js --seeds 50`).
 */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { Soak } from '../tools/platform/soak.js';

describe('a soak with clients that do not behave', { timeout: 150_000 }, () => {
  for (const seed of [7, 52])
    it(`keeps the rules and the limits of every machine, seed ${seed}`, async () => {
      const { verdicts, counts, notes } = await Soak.play({
        seed,
        seconds: 14,
        frontsPerZone: 2,
        hasHostile: true,
      });
      const breaches = Object.entries(verdicts).flatMap(([name, verdict]) =>
        verdict.breaches.map((breach) => `${name}: ${breach}`),
      );
      assert.deepEqual(breaches, []);
      assert.deepEqual(notes, ['first configuration: 200']);
      for (const name of ['limits', 'tenant', 'unasked', 'mixed', 'twice', 'refused', 'lost', 'order'])
        assert.ok(verdicts[name]!.occasions > 0, `${name} met no occasion`);
      assert.ok((counts.hostile ?? 0) > 0, JSON.stringify(counts));
    });
});
