// Operators bound to teams: what they may change and what not.
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { Evacuate } from '../src/control/commands/evacuate.js';
import { Rights } from '../src/control/rights.js';
import type { Document } from '../src/manifest/document.js';
import { Bench } from './bench.js';

const { manifest } = Bench;
const [rule] = manifest.rules;
const own = { ...rule, name: 'own', teams: ['testers'] } as unknown as Document.Rule;
const foreign = { ...rule, name: 'foreign', teams: ['others'] } as unknown as Document.Rule;
const person = { name: 'nurse', teams: ['testers'] };
const denied = (after: Document, before: Document = manifest) =>
  Rights.denied(person, Rights.affected(before, after));

const unused = () => Promise.reject(new Error('the state was asked for'));

describe('rights', () => {
  it('let a team’s operator change the team’s entry and its own rules', () => {
    assert.equal(denied({ ...manifest, rules: [...manifest.rules, own] }), undefined);
    const teams = { ...manifest.teams, testers: { ...manifest.teams.testers!, keys: [] } };
    assert.equal(denied({ ...manifest, teams }), undefined);
  });
  it('keep the operator from other teams, common rules, their order, and all else', () => {
    assert.match(denied({ ...manifest, rules: [...manifest.rules, foreign] })!, /others/);
    assert.match(denied({ ...manifest, rules: manifest.rules.slice(1) })!, /rules of all teams/);
    assert.match(denied({ ...manifest, rules: [...manifest.rules].reverse() })!, /rules of all teams/);
    assert.match(denied({ ...manifest, evacuations: ['a-1'] as never })!, /evacuations/);
    assert.match(denied({ ...manifest, homes: {} })!, /homes/);
    assert.match(denied({ ...manifest, walls: { generation: 1 } } as Document)!, /walls/);
    const shared = { ...rule, name: 'shared', teams: ['testers', 'others'] } as unknown as Document.Rule;
    assert.match(denied({ ...manifest, rules: [...manifest.rules, shared] })!, /others/);
  });
  it('keep the operator from evacuations', async () => {
    const office = { isSettled: () => true, confirm: unused, change: unused };
    const denied = await Evacuate.run(office, { zone: 'a-1', isEvacuated: true, by: person });
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
