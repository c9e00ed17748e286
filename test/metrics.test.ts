/** The written metrics, compared with the same values recorded by the library itself. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { Counter, Gauge, Histogram, Registry } from 'prom-client';
import { Metrics } from '../src/startup/metrics.js';

const help = 'a help with a \\ and a\nnew line';
const observed = [
  ['a', 0.0005],
  ['a', 0.001],
  ['b "quoted"', 0.3],
  ['a', 31],
  ['b "quoted"', 2.25],
] as const;

describe('metrics', () => {
  it('are written exactly as the library writes them', async () => {
    const metrics = Metrics.of();
    const registers = [new Registry()];
    const bounds = [0.001, 0.1, 1];
    metrics.gauge('age', help, () => 1.5);
    new Gauge({ name: 'bramblebend_age', help, registers }).set(1.5);
    const ourCounter = metrics.counter('calls_total', help, ['rule', 'outcome']);
    const libraryCounter = new Counter({
      name: 'bramblebend_calls_total',
      help,
      labelNames: ['rule', 'outcome'] as const,
      registers,
    });
    const ourHistogram = metrics.histogram('spans_seconds', help, ['rule'], bounds);
    const libraryHistogram = new Histogram({
      name: 'bramblebend_spans_seconds',
      help,
      labelNames: ['rule'] as const,
      buckets: bounds,
      registers,
    });
    const compareOutput = async () => {
      const { text, type } = await metrics.write();
      assert.equal(text, await registers[0]!.metrics());
      assert.equal(type, registers[0]!.contentType);
    };
    await compareOutput();
    for (const [rule, value] of observed) {
      for (const outcome of ['done', 'left']) {
        ourCounter.inc({ rule, outcome });
        libraryCounter.inc({ rule, outcome });
      }
      ourHistogram.observe({ rule }, value);
      libraryHistogram.observe({ rule }, value);
    }
    await compareOutput();
    assert.match((await metrics.write()).text, /bramblebend_spans_seconds_bucket\{le="\+Inf",rule="a"\} 3/);
  });
});
