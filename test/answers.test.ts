// Responses of a core that has lost contact with the others. Guards against a refusal made under one term being confirmed
// under a later one, a command that hangs at a primary without a majority, and quota grants by a core without a primary.
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { Epoch } from '../src/common/epoch.js';
import { Failure } from '../src/common/failure.js';
import { Instant } from '../src/common/instant.js';
import { Stamp } from '../src/common/stamp.js';
import { PrimaryGateway } from '../src/control/primary-gateway.js';
import { Responses } from '../src/control/responses.js';
import { BudgetDuty } from '../src/duty/budget-duty.js';
import type { QuotaDuty } from '../src/duty/quota-duty.js';
import type { Proposer } from '../src/epoch/proposer.js';
import type { Primary } from '../src/replica/primary.js';
import { State } from '../src/store/state.js';

const term = { epoch: Epoch.of(1), formed: Epoch.none, primary: 'a', inSync: ['a'], cores: [] };

const createPrimary = (parts: Partial<Primary>): Primary =>
  ({
    term: () => term,
    state: () => State.empty,
    isLeading: () => true,
    confirmedAt: Instant.now,
    confirm: async () => true,
    async commit(make) {
      make(State.empty, Stamp.of(1, 1));
      return State.empty;
    },
    depose: () => {},
    ...parts,
  }) as Primary;

const proposer = { read: async () => undefined } as unknown as Proposer;
const refuse = () => Responses.fail(412, 'stale', 'another version is current');
const readTaken = async (work: Promise<unknown>): Promise<unknown> => {
  try {
    assert.fail(`answered ${JSON.stringify(await work)}`);
  } catch (error) {
    if (error instanceof assert.AssertionError) throw error;
    return Failure.info(error).taken;
  }
};

describe('responses of an isolated core', () => {
  it('confirms a refusal only with the primary that made it, not with one of a later term', async () => {
    const later = createPrimary({});
    let leading = createPrimary({
      async confirm() {
        leading = later;
        return false;
      },
    });
    const gateway = PrimaryGateway.of({ leading: () => leading, proposer });
    assert.equal(await readTaken(gateway.change(refuse, refuse)), 'no');
    assert.equal((await gateway.change(refuse, refuse)).status, 412);
  });

  it('answers a command at once if no majority has been in contact', async () => {
    let isAsked = false;
    const primary = createPrimary({
      confirmedAt: () => Instant.past,
      commit: () => {
        isAsked = true;
        return new Promise(() => {});
      },
    });
    const gateway = PrimaryGateway.of({ leading: () => primary, proposer });
    const began = Instant.now();
    assert.equal(await readTaken(gateway.change(refuse, refuse)), 'no');
    assert.equal(isAsked, true);
    assert.ok(Instant.since(began) < 3000);
    isAsked = false;
    const again = Instant.now();
    assert.equal(await readTaken(gateway.change(refuse, refuse)), 'no');
    assert.deepEqual([isAsked, Instant.since(again) < 100], [false, true]);
  });

  it('grants quotas only while in contact with a primary', () => {
    let isInTouch = false;
    const answered: string[] = [];
    const budget = BudgetDuty.of({
      own: 'a',
      term: () => ({ ...term, cores: [{ disk: 'a', node: 'a', wire: '', http: '' }] }),
      isLive: () => true,
      hasRecentPrimary: () => isInTouch,
      forward: () => {},
      poolCapacity: () => 0,
      respond: ({ node }) => void answered.push(node),
      allowance: { grant: () => undefined, observeMembership() {} },
      quotas: {
        observeTerm: () => {},
        maintain() {},
        handleHorizonReply() {},
        usage: () => ({}),
        receive: (frame: QuotaDuty.Tokens) => frame,
      },
    });
    const question = {
      kind: 'tokens',
      node: 'proxy',
      epoch: 1,
      batches: [],
      wanted: 0,
      serial: 1,
      uses: [],
      grants: [],
    } as const;
    budget.receive(question);
    assert.deepEqual(answered, []);
    isInTouch = true;
    budget.receive(question);
    assert.deepEqual(answered, ['proxy']);
  });
});
