/** The words of the audit log for changes of teams: what came, went and changed, without any key. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { Document } from '../src/manifest/document.js';
import { TeamChange } from '../src/manifest/team-change.js';

const documentOf = (teams: object) => ({ teams }) as unknown as Document;
const [first, second, third] = ['1'.repeat(64), '2'.repeat(64), '3'.repeat(64)];

describe('a change of teams', () => {
  it('names teams that come and go, and counts the keys and limits that change', () => {
    const before = documentOf({
      kept: { keys: [first], priority: 1 },
      changed: { keys: [second], quota: { span: 5000, requests: 30 } },
      gone: { keys: [third] },
    });
    const after = documentOf({
      kept: { keys: [first], priority: 2 },
      changed: { keys: [third], quota: { span: 5000, requests: 60 } },
      made: { keys: [], quota: { span: 1000, prompt: 9 } },
    });
    const { teams, lines } = TeamChange.of(before, after);
    assert.deepEqual(teams, ['changed', 'gone', 'made']);
    assert.deepEqual(lines, [
      'team changed: 1 keys added, 1 removed; 60 requests in 5000 ms instead of 30 requests in 5000 ms',
      'team gone removed: 1 keys',
      'team made added: 0 keys, 9 prompt in 1000 ms',
    ]);
    assert.ok(!lines.join().includes(third.slice(0, 8)));
  });

  it('is empty when nothing of keys and limits changes', () => {
    const same = documentOf({ a: { keys: [first], quota: { span: 1000, requests: 1 } } });
    assert.deepEqual(TeamChange.of(same, structuredClone(same)), { teams: [], lines: [] });
  });
});
