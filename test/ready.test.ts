// When a proxy may be sent callers: with a configuration in force and a list of servers heard, be it empty; a list that
// does not come is waited for within a bound.
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { Compiled } from '../src/manifest/compiled.js';
import { Ready } from '../src/proxy/ready.js';
import { ManualClock } from './manual-clock.js';

const inForce = (evacuated: readonly string[] = []) =>
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
    state.compiled = inForce();
    assert.equal(reason(), 'no list of servers yet');
    state.serial = 7;
    assert.equal(reason(), undefined);
  });
  it('takes a list that is empty for known', () => {
    const { state, reason } = start();
    state.compiled = inForce();
    state.serial = 1;
    assert.equal(reason(), undefined);
  });
  it('waits for a slow list no longer than its bound', () => {
    const clock = ManualClock.install();
    try {
      const { state, reason } = start();
      state.compiled = inForce();
      clock.advance(Ready.maxListWaitMs - 1);
      assert.equal(reason(), 'no list of servers yet');
      clock.advance(1);
      assert.equal(reason(), undefined);
    } finally {
      clock.uninstall();
    }
  });
  it('is none while the proxy drains or its zone is evacuated', () => {
    const { state, reason } = start();
    state.serial = 1;
    state.compiled = inForce(['a-1']);
    assert.equal(reason(), 'zone evacuated');
    state.compiled = inForce(['b-1']);
    assert.equal(reason(), undefined);
    state.isDraining = true;
    assert.equal(reason(), 'draining');
  });
});
