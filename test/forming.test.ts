/**
 * When cores may form a new cluster: not while a merely silent core may still hold the register, even if the newest term
 * that answers was never chosen.
 */

import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { Epoch } from '../src/common/epoch.js';
import { Stamp } from '../src/common/stamp.js';
import { FormationRules } from '../src/control/formation-rules.js';
import type { Term } from '../src/epoch/term.js';
import type { Vote } from '../src/epoch/vote.js';

const core = (disk: string, host = disk) => ({ disk, node: host, wire: `${host}:1`, http: `${host}:2` });
const [a, b, c, newcomer] = [core('a'), core('b'), core('c'), core('newcomer')] as const;
const emptied = core('emptied', 'b');

const term = (cores: readonly ReturnType<typeof core>[], epoch: number): Term => ({
  epoch: Epoch.of(epoch),
  formed: Epoch.of(1),
  primary: a.disk,
  inSync: [a.disk, b.disk],
  cores: [...cores],
});
const holder = (of: ReturnType<typeof core>, held: Term, round: number): Vote => ({
  isGranted: true,
  isBlank: false,
  promised: { round, disk: a.disk },
  accepted: { round, disk: a.disk },
  term: held,
  core: of,
  highest: held.epoch,
  isAble: true,
  held: Stamp.of(1, 1),
});
const blank = (of: ReturnType<typeof core>): Vote => ({
  isGranted: true,
  isBlank: true,
  promised: null,
  accepted: null,
  term: null,
  core: of,
  highest: Epoch.of(2),
  isAble: true,
  held: Stamp.none,
});

const forming = FormationRules.of({ losses: 1, isInitial: false, seeds: [] });

describe('formation rules', () => {
  it('waits for a silent core whose slot is given away by a term that only its proposer may hold', () => {
    const proposed = term([a, b, newcomer], 2);
    const votes = [holder(a, proposed, 2), blank(emptied), blank(newcomer)];
    assert.equal(forming.isAllowed(votes), false);
  });
  it('forms when the newcomer of that term has lost its disk as well', () => {
    const proposed = term([a, b, newcomer], 2);
    const again = core('another', 'newcomer');
    assert.equal(forming.isAllowed([holder(a, proposed, 2), blank(emptied), blank(again)]), true);
  });
  it('waits for a silent core of the newest term, and forms when its address answers with another disk', () => {
    const held = term([a, b, c], 2);
    assert.equal(forming.isAllowed([holder(a, held, 2), blank(emptied), blank(newcomer)]), false);
    assert.equal(forming.isAllowed([holder(a, held, 2), blank(emptied), blank(core('other', 'c'))]), true);
  });
});
