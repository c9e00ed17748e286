// The table of a verdict names each test that was red in any run, how often of each kind, and its logs.
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { VerdictTable } from '../tools/verdict-table.js';

const run = (number: number, failed: readonly string[], seconds = 200): VerdictTable.Run => ({
  isLoaded: number % 2 === 1,
  log: `run-${number}.log`,
  code: failed.length > 0 ? 1 : 0,
  failed,
  seconds,
});

describe('the table of a verdict', () => {
  it('names no test where all runs are green, and how long they took', () => {
    assert.equal(
      VerdictTable.text([run(0, [], 210), run(1, [], 400), run(2, [], 220)], '4 busy processes'),
      'alone: 2 of 2 green, 210 to 220 s\nbeside 4 busy processes: 1 of 1 green, 400 to 400 s\n',
    );
  });
  it('counts the failures of each test alone and beside load, with their logs', () => {
    const text = VerdictTable.text([run(0, ['b']), run(1, ['a', 'b']), run(2, []), run(3, ['a'])], 'load');
    assert.match(text, /\| a \| 0 \| 2 \| run-1\.log run-3\.log \|/);
    assert.match(text, /\| b \| 1 \| 1 \| run-0\.log run-1\.log \|/);
    assert.match(text, /alone: 1 of 2 green/);
    assert.match(text, /beside load: 0 of 2 green/);
  });
  it('shows a run that is red without a test that failed', () => {
    assert.match(VerdictTable.text([{ ...run(0, []), code: 1 }], 'load'), /alone: 0 of 1 green/);
  });
});
