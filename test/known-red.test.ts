// The list of known failures lets pass what it names and nothing else.
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { KnownRed } from '../tools/known-red.js';

const printed = `TAP version 13
# Subtest: cores
    # Subtest: keeps all
    ok 1 - keeps all
      ---
      ...
    # Subtest: comes back
    not ok 2 - comes back
      ---
      location: '/a/folder/dist/test/cores.test.js:79:5'
      failureType: 'testCodeFailure'
      ...
    1..2
not ok 1 - cores
  ---
  failureType: 'subtestsFailed'
  ...
# Subtest: alone
not ok 2 - alone
  ---
  failureType: 'testCodeFailure'
  ...`.split('\n');

describe('known red', () => {
  it('finds the tests that failed by themselves, by their path', () => {
    assert.deepEqual(KnownRed.failures(printed), ['cores > comes back', 'alone']);
    assert.deepEqual(KnownRed.failures(['ok 1 - cores']), []);
  });

  it('finds the files of the tests that failed by themselves', () => {
    assert.deepEqual(KnownRed.files(printed), ['/a/folder/dist/test/cores.test.js']);
    assert.deepEqual(KnownRed.files(['ok 1 - cores']), []);
  });

  it('passes over what is listed, and over nothing else', () => {
    const list = KnownRed.read(
      '# a note\n\ncores > comes back | it is slow | 13\ncores > keeps all | rare | 13\n',
    );
    const verdict = KnownRed.judge(KnownRed.failures(printed), list);
    assert.deepEqual(verdict.known, [{ name: 'cores > comes back', cause: 'it is slow' }]);
    assert.deepEqual(verdict.fresh, ['alone']);
    assert.deepEqual(verdict.green, [{ name: 'cores > keeps all', cause: 'rare' }]);
    assert.deepEqual(KnownRed.judge(['keeps all'], list).fresh, ['keeps all']);
  });
});
