/**
 * How often servers are polled for their load: an idle one less and less often, a busy one every round.
 */
import assert from 'node:assert/strict';
import { describe, it, mock } from 'node:test';
import { ReportDuty } from '../src/duty/report-duty.js';
import type { ReportSource } from '../src/duty/report-source.js';
import type { Document } from '../src/manifest/document.js';

const roundMs = 500;
const eventLoopTurns = async () => {
  for (let count = 0; count < 5; count += 1) await new Promise<void>((resolve) => setImmediate(resolve));
};

describe('the report duty', () => {
  it('polls an idle server less often, and every round again once requests queue or more are active', async () => {
    mock.timers.enable({ apis: ['setTimeout'] });
    const loads: Record<string, ReportSource.Load> = {
      calm: { instance: 'calm', queued: 0, active: 5, bound: 0.2 },
      busy: { instance: 'busy', queued: 3, active: 64, bound: 0.5 },
      full: { instance: 'full', queued: 0, active: 5, bound: 0.9 },
    };
    const polled: Record<string, number> = {};
    const published: string[] = [];
    const duty = ReportDuty.run({
      source: {
        async read({ instance }) {
          polled[instance] = (polled[instance] ?? 0) + 1;
          return loads[instance];
        },
      },
      isHeld: () => true,
      servers: () => Object.keys(loads).map((instance) => ({ instance }) as Document.Server),
      publish: (fresh) => published.push(...fresh.map(({ instance }) => instance)),
    });
    const rounds = async (count: number) => {
      for (const name of Object.keys(loads)) polled[name] = 0;
      published.length = 0;
      for (let index = 0; index < count; index += 1) {
        await eventLoopTurns();
        mock.timers.tick(roundMs);
      }
      await eventLoopTurns();
    };
    try {
      await rounds(8);
      await rounds(16);
      assert.deepEqual(polled, { calm: 4, busy: 16, full: 16 });
      assert.ok(published.filter((name) => name === 'calm').length >= 3, published.join());
      loads.calm = { instance: 'calm', queued: 1, active: 64, bound: 0.2 };
      await rounds(4);
      await rounds(8);
      assert.equal(polled.calm, 8);
    } finally {
      const stopped = duty.stop();
      mock.timers.tick(roundMs);
      mock.timers.reset();
      await stopped;
    }
  });
});
