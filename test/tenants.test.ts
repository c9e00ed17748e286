// The judge of walls passes a clean record and catches each way over a wall; the stand-ins' prefix cache matches what
// has the same salt and the same beginning, and nothing else.
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { BlockCache } from '../tools/block-cache.js';
import { Tenants } from '../tools/campaign/tenants.js';

const answer = (revision: number, generation: number, status = 200) => ({
  event: 'answer',
  status,
  ...(status === 200 ? { revision } : {}),
  generation,
});
const asked = [
  { id: 'a-1', kind: 'a' },
  { id: 'a-2', kind: 'a' },
  { id: 'b-1', kind: 'b' },
];
const stamped = (id: string, stamp: string) => ({ id, stamp });
const clean = {
  asked,
  ended: [stamped('a-1', '1.2'), stamped('a-2', '1.3'), stamped('b-1', '1.6')],
  lookups: [
    { caller: 'a-1', instance: 's', of: [], alike: [] },
    { caller: 'a-2', instance: 's', of: ['a-1'], alike: [] },
    { caller: 'b-1', instance: 's', of: [], alike: ['a-1'] },
  ],
  tenants: { a: 'one', b: 'two' },
  generations: [answer(2, 1), answer(5, 2)],
} satisfies Tenants.Records;
const judge = (more: Partial<Tenants.Records>) => Tenants.judge({ ...clean, ...more });

describe('the judge of walls', () => {
  it('passes a clean record and tells what was kept apart', () => {
    const { verdict, figures } = judge({});
    assert.deepEqual(verdict, { occasions: 1, breaches: [] });
    assert.deepEqual(figures, {
      lookups: 3,
      within: 1,
      across: 0,
      overGenerations: 0,
      keptApart: 1,
      generations: 2,
    });
  });
  it('catches a match with another tenant’s work', () => {
    const { verdict } = judge({ lookups: [{ caller: 'b-1', instance: 's', of: ['a-1'], alike: [] }] });
    assert.deepEqual(verdict.breaches, ['b-1 of two matched work of a-1 of one at s']);
  });
  it('catches a match of somebody whom no journal of callers knows', () => {
    const of = { instance: 's', alike: [] };
    assert.equal(judge({ lookups: [{ ...of, caller: 'x', of: ['a-1'] }] }).verdict.breaches.length, 1);
    assert.equal(judge({ lookups: [{ ...of, caller: 'a-1', of: ['x'] }] }).verdict.breaches.length, 1);
  });
  it('catches a match with the tenant’s own work of another generation', () => {
    const ended = [stamped('a-1', '1.4'), stamped('a-2', '1.5')];
    assert.match(judge({ ended }).verdict.breaches[0]!, /generation 1 by 2/);
  });
  it('leaves out generations that a change of unknown outcome leaves in doubt', () => {
    const ended = [stamped('a-1', '1.4'), stamped('a-2', '1.5')];
    const generations = [...clean.generations, answer(0, 2, 503)];
    assert.deepEqual(judge({ ended, generations }).verdict.breaches, []);
  });
});

describe('the stand-ins’ prefix cache', () => {
  const text = (letter: string, blocks: number) => letter.repeat(blocks * BlockCache.size);

  it('matches from the beginning, block by block, under the same salt', () => {
    const cache = BlockCache.of(100);
    assert.deepEqual(cache.look('s', text('x', 3), 'first'), { blocks: 3, matched: 0, of: [], alike: [] });
    const second = cache.look('s', text('x', 2) + text('y', 2), 'second');
    assert.deepEqual(second, { blocks: 4, matched: 2, of: ['first'], alike: [] });
    assert.equal(cache.look('s', text('y', 2), 'third').matched, 0);
  });
  it('matches nothing under another salt, and tells whose work is alike', () => {
    const cache = BlockCache.of(100);
    cache.look('s', text('x', 3), 'first');
    assert.deepEqual(cache.look('t', text('x', 3), 'b'), { blocks: 3, matched: 0, of: [], alike: ['first'] });
    assert.deepEqual(cache.look('t', text('x', 3), 'c').of, ['b']);
  });
  it('forgets what was used least lately', () => {
    const cache = BlockCache.of(4);
    cache.look('s', text('x', 2), 'first');
    cache.look('s', text('y', 2), 'second');
    cache.look('s', text('x', 2), 'third');
    cache.look('s', text('z', 2), 'fourth');
    assert.equal(cache.look('s', text('y', 2), 'fifth').matched, 0);
  });
});
