/** Operators restricted to teams: what they may change and what they may not. */

import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { Evacuate } from '../src/control/commands/evacuate.js';
import { Rights } from '../src/control/rights.js';
import type { Document } from '../src/manifest/document.js';
import { Bench } from './bench.js';

const { manifest } = Bench;
const [rule] = manifest.rules;
const ownRule = { ...rule, name: 'own', teams: ['testers'] } as unknown as Document.Rule;
const ruleOfOthers = { ...rule, name: 'foreign', teams: ['others'] } as unknown as Document.Rule;
const teamOperator = { name: 'nurse', teams: ['testers'] };
const denied = (after: Document, before: Document = manifest) =>
  Rights.denied(teamOperator, Rights.affected(before, after));

const failIfCalled = () => Promise.reject(new Error('the state was read'));

describe('rights', () => {
  it('let a team’s operator change the team’s entry and its own rules', () => {
    assert.equal(denied({ ...manifest, rules: [...manifest.rules, ownRule] }), undefined);
    const teams = { ...manifest.teams, testers: { ...manifest.teams.testers!, keys: [] } };
    assert.equal(denied({ ...manifest, teams }), undefined);
  });
  it('keep the operator from other teams, common rules, their order, and all else', () => {
    assert.match(denied({ ...manifest, rules: [...manifest.rules, ruleOfOthers] })!, /others/);
    assert.match(denied({ ...manifest, rules: manifest.rules.slice(1) })!, /rules of all teams/);
    assert.match(denied({ ...manifest, rules: [...manifest.rules].reverse() })!, /rules of all teams/);
    assert.match(denied({ ...manifest, evacuations: ['a-1'] as never })!, /evacuations/);
    assert.match(denied({ ...manifest, homes: {} })!, /homes/);
    assert.match(denied({ ...manifest, walls: { generation: 1 } } as Document)!, /walls/);
    const shared = { ...rule, name: 'shared', teams: ['testers', 'others'] } as unknown as Document.Rule;
    assert.match(denied({ ...manifest, rules: [...manifest.rules, shared] })!, /others/);
  });
  it('keep the operator from evacuations', async () => {
    const gateway = { isSettled: () => true, confirm: failIfCalled, change: failIfCalled };
    const denied = await Evacuate.run(gateway, { zone: 'a-1', isEvacuated: true, by: teamOperator });
    assert.equal(denied.status, 403);
    assert.match(JSON.stringify(denied.body), /nurse may not change evacuations/);
  });
  it('let an operator without teams change everything', () => {
    assert.equal(
      Rights.denied(
        { name: 'chief', teams: undefined },
        Rights.affected(manifest, { ...manifest, homes: {} }),
      ),
      undefined,
    );
  });
});
