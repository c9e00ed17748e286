/**
 * A short seeded soak: clients that go on using their open connections, and signals, restarts, faults of servers and changes of
 * tenants in overlapping series. The long run is started by hand (`node dist/tools/platform/soak.js --seeds 50`).
 */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { Soak } from '../tools/platform/soak.js';

describe('a soak on the platform', { timeout: 150_000 }, () => {
  for (const seed of [3, 38])
    it(`keeps the rules that hold for every machine, seed ${seed}`, async () => {
      const { verdicts, counts, notes } = await Soak.play({ seed, seconds: 14, frontsPerZone: 2 });
      const breaches = Object.entries(verdicts).flatMap(([name, verdict]) =>
        verdict.breaches.map((breach) => `${name}: ${breach}`),
      );
      assert.deepEqual(breaches, []);
      assert.deepEqual(notes, ['first configuration: 200']);
      for (const name of [
        'tenant',
        'revoked',
        'quota',
        'unasked',
        'mixed',
        'twice',
        'back',
        'race',
        'lost',
        'order',
      ])
        assert.ok(verdicts[name]!.occasions > 0, `${name} met no occasion`);
      for (const name of ['front', 'control', 'change', 'limits', 'server', 'hot'])
        assert.ok((counts[name] ?? 0) > 0, `${name}: ${JSON.stringify(counts)}`);
    });
});
