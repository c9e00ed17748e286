/**
 * Readiness of a proxy: it needs an active manifest and a list of servers, which may be empty; the wait for a list is limited.
 */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { Compiled } from '../src/manifest/compiled.js';
import { Ready } from '../src/proxy/ready.js';
import { ManualClock } from './manual-clock.js';

const manifestWith = (evacuated: readonly string[] = []) =>
  ({ isEvacuated: (zone: string) => evacuated.includes(zone) }) as unknown as Compiled;

const start = () => {
  const state = { isDraining: false, compiled: undefined as Compiled | undefined, serial: 0 };
  const ready = Ready.of({
    zone: 'a-1',
    isDraining: () => state.isDraining,
    compiled: () => state.compiled,
    listSerial: () => state.serial,
  });
  return { state, reason: ready.reason };
};

describe('the readiness of a proxy', () => {
  it('waits for a configuration, then for a list of servers', () => {
    const { state, reason } = start();
    state.serial = 1;
    assert.equal(reason(), 'no manifest yet');
    state.serial = 0;
    state.compiled = manifestWith();
    assert.equal(reason(), 'no list of servers yet');
    state.serial = 7;
    assert.equal(reason(), undefined);
  });
  it('accepts an empty list', () => {
    const { state, reason } = start();
    state.compiled = manifestWith();
    state.serial = 1;
    assert.equal(reason(), undefined);
  });
  it('waits for a list only for a limited time', () => {
    const clock = ManualClock.install();
    try {
      const { state, reason } = start();
      state.compiled = manifestWith();
      clock.advance(Ready.maxListWaitMs - 1);
      assert.equal(reason(), 'no list of servers yet');
      clock.advance(1);
      assert.equal(reason(), undefined);
    } finally {
      clock.uninstall();
    }
  });
  it('is withdrawn while the proxy drains or its zone is evacuated', () => {
    const { state, reason } = start();
    state.serial = 1;
    state.compiled = manifestWith(['a-1']);
    assert.equal(reason(), 'zone evacuated');
    state.compiled = manifestWith(['b-1']);
    assert.equal(reason(), undefined);
    state.isDraining = true;
    assert.equal(reason(), 'draining');
  });
});
