// The regression command: it reads the closing lines of a bench, plays a plan in turn, and fails when one part does.
import assert from 'node:assert/strict';
import { chmodSync, mkdtempSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { describe, it } from 'node:test';
import { Regress } from '../tools/regress.js';

const scored = 'score on the standard days of a site (set 1): 0.758\nGATE passed\n';

describe('the regression', () => {
  it('reads what a bench says, and takes silence for a failure', () => {
    assert.equal(Regress.read('score', scored).isGood, true);
    assert.equal(Regress.read('score', scored.replace('passed', 'failed: day: fault')).isGood, false);
    assert.equal(Regress.read('score', '').isGood, false);
    assert.equal(Regress.read('hunt', '4 days on a site, 0 with a rule broken\n').isGood, true);
    assert.equal(Regress.read('hunt', '4 days on a site, none with a rule broken\n').isGood, true);
    assert.equal(Regress.read('hunt', '4 days on a site, 3 with a rule broken\n').isGood, false);
    assert.equal(Regress.read('hunt', 'it ended early').isGood, false);
  });

  it('plays a plan in turn, with days and jobs as told', async () => {
    const bench = join(mkdtempSync(join(tmpdir(), 'bramblebend-regress-')), 'bench.sh');
    writeFileSync(
      bench,
      `#!/bin/sh\n[ "$1" = score ] && printf '${scored.replaceAll('\n', '\\n')}' && exit\necho "$4 days on a site, $4 with a rule broken"\n`,
    );
    chmodSync(bench, 0o755);
    const plan = [{ deployment: 'folder/site.toml', bench, score: true, hunt: 3 }];
    const outcomes = await Regress.play(plan, 2, 'a test');
    assert.deepEqual(
      outcomes.map(({ verb, isGood }) => [verb, isGood]),
      [
        ['score', true],
        ['hunt', false],
      ],
    );
    assert.match(Regress.table(outcomes), /site\.toml +hunt .*BAD .*3 days on a site/);
  });
});
