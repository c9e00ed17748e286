/** A core without a slot asks the primary for one, and less and less often while it is declined. */

import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { setTimeout as pause } from 'node:timers/promises';
import type { CoreContext } from '../src/control/lifecycle/core-context.js';
import { Joining } from '../src/control/lifecycle/joining.js';

const createContext = (onAsk: () => void) => {
  let epoch = 1;
  const core = { disk: 'disk-1', node: 'core-1', wire: '10.0.0.1:7000' };
  const term = () => ({ epoch, primary: 'disk-1', inSync: ['disk-1'], cores: [core] });
  const client = {
    async ask() {
      onAsk();
      return { kind: 'done', serial: 1, why: 'all cores are alive' };
    },
  };
  const context = {
    options: {
      register: { disk: 'disk-9', isBlank: () => true },
      clientFor: () => client,
      self: () => ({ ...core, disk: 'disk-9' }),
      note() {},
      alert() {},
    },
    knownTerm: { term },
    isLeaving: false,
  } as unknown as CoreContext;
  return {
    context,
    nextEpoch() {
      epoch += 1;
    },
  };
};

describe('asking to join', () => {
  it('waits longer after each declined request, and not at all once the term has changed', async () => {
    let asked = 0;
    const { context, nextEpoch } = createContext(() => {
      asked += 1;
    });
    const joining = Joining.of(context);
    const until = performance.now() + 1200;
    while (performance.now() < until) {
      await joining.ask();
      await pause(20);
    }
    assert.ok(asked >= 2 && asked <= 3, `asked ${asked} times in 1.2 s`);
    const before = asked;
    nextEpoch();
    await joining.ask();
    assert.equal(asked, before + 1);
  });
});
