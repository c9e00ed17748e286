/**
 * Guards against comparing each rule with every other to find what a change affects: with thousands of rules that would block
 * the primary for longer than its peers wait.
 */

import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { Rights } from '../src/control/rights.js';
import type { Document } from '../src/manifest/document.js';

const ruleCount = 2000;

describe('rights over many rules', () => {
  it('reads each rule only a few times', () => {
    let reads = 0;
    const rule = (index: number, groups: string) => ({
      get name() {
        reads += 1;
        return `rule-${index}`;
      },
      teams: [`team-${index}`],
      groups: [groups],
    });
    const documentOf = (changed: string) =>
      ({
        zones: {},
        groups: {},
        homes: {},
        teams: {},
        rules: Array.from({ length: ruleCount }, (_none, index) =>
          rule(index, index === 7 ? changed : 'same'),
        ),
      }) as unknown as Document;
    const affected = Rights.affected(documentOf('before'), documentOf('after'));
    assert.deepEqual(affected, { teams: ['team-7'], others: [] });
    assert.ok(reads <= 16 * ruleCount, `${reads} reads of ${ruleCount} rules`);
  });
});
