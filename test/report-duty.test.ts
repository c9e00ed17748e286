// How often servers are asked for their load: one at ease ever more seldom, one that is not every round.
import assert from 'node:assert/strict';
import { describe, it, mock } from 'node:test';
import { ReportDuty } from '../src/duty/report-duty.js';
import type { ReportSource } from '../src/duty/report-source.js';
import type { Document } from '../src/manifest/document.js';

const round = 500;
const turns = async () => {
  for (let count = 0; count < 5; count += 1) await new Promise<void>((resolve) => setImmediate(resolve));
};

describe('the report duty', () => {
  it('asks a server at ease less often, and every round again once something waits or more runs', async () => {
    mock.timers.enable({ apis: ['setTimeout'] });
    const loads: Record<string, ReportSource.Load> = {
      calm: { instance: 'calm', queued: 0, active: 5, bound: 0.2 },
      busy: { instance: 'busy', queued: 3, active: 64, bound: 0.5 },
      full: { instance: 'full', queued: 0, active: 5, bound: 0.9 },
    };
    const asked: Record<string, number> = {};
    const told: string[] = [];
    const duty = ReportDuty.run({
      source: {
        async read({ instance }) {
          asked[instance] = (asked[instance] ?? 0) + 1;
          return loads[instance];
        },
      },
      isHeld: () => true,
      servers: () => Object.keys(loads).map((instance) => ({ instance }) as Document.Server),
      publish: (fresh) => told.push(...fresh.map(({ instance }) => instance)),
    });
    const rounds = async (count: number) => {
      for (const name of Object.keys(loads)) asked[name] = 0;
      told.length = 0;
      for (let index = 0; index < count; index += 1) {
        await turns();
        mock.timers.tick(round);
      }
      await turns();
    };
    try {
      await rounds(8);
      await rounds(16);
      assert.deepEqual(asked, { calm: 4, busy: 16, full: 16 });
      assert.ok(told.filter((name) => name === 'calm').length >= 3, told.join());
      loads.calm = { instance: 'calm', queued: 1, active: 64, bound: 0.2 };
      await rounds(4);
      await rounds(8);
      assert.equal(asked.calm, 8);
    } finally {
      const stopped = duty.stop();
      mock.timers.tick(round);
      mock.timers.reset();
      await stopped;
    }
  });
});
