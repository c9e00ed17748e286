// Whose change a change is must be known without comparing each rule with every other: at thousands of rules that
// would hold the primary up for longer than its mates wait.
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { Rights } from '../src/control/rights.js';
import type { Document } from '../src/manifest/document.js';

const count = 2000;

describe('rights over many rules', () => {
  it('looks at each rule a few times only', () => {
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
        rules: Array.from({ length: count }, (_none, index) => rule(index, index === 7 ? changed : 'same')),
      }) as unknown as Document;
    const touched = Rights.affected(documentOf('before'), documentOf('after'));
    assert.deepEqual(touched, { teams: ['team-7'], others: [] });
    assert.ok(reads <= 16 * count, `${reads} reads of ${count} rules`);
  });
});
