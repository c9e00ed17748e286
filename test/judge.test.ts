// The campaign's checkers of operators, platform and nodes: each passes a clean record and catches a
// planted breach. The breakers' preloaded module is shown to break what it says it breaks.
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { Judge } from '../tools/campaign/judge.js';

type Records = Judge.Records;

const answer = (revision: number, at: number, more: object = {}) => ({
  event: 'answer',
  at,
  begun: at - 10,
  note: `n:${revision}`,
  status: 200,
  revision,
  ifMatch: `"${revision - 1}"`,
  isInvalid: false,
  evacuations: [],
  ...more,
});
const read = (revision: number, at: number, more: object = {}) => ({
  event: 'read',
  at,
  begun: at - 10,
  revision,
  note: `n:${revision}`,
  rules: false,
  ...more,
});
const held = (revision: number, at: number, more: object = {}) => ({
  at,
  node: 'front-1',
  boot: 'b1',
  epoch: 1,
  revision,
  ...more,
});
const run = (at: number, more: object = {}) => ({
  event: 'run',
  at,
  run: `r${at}`,
  caller: 'c1',
  instance: 'a1',
  ...more,
});

const clean: Records = {
  operators: [answer(2, 1000), answer(3, 2000), read(2, 1500), read(3, 2500)],
  held: [held(2, 1100), held(3, 2100), held(3, 5300)],
  made: [],
  runs: [run(500)],
  ended: [],
  sent: [{ at: 400, id: 'c1', proxy: 'p1' }],
  zoneOf: () => 'z1',
  nodeOf: () => 'front-1',
  finalAt: 100_000,
};

const planted: Record<keyof typeof Judge, Records> = {
  oneOfARace: { ...clean, operators: [...clean.operators, answer(4, 2010, { ifMatch: '"2"' })] },
  invalidNeverTaken: { ...clean, operators: [...clean.operators, answer(4, 3000, { isInvalid: true })] },
  newestIsRead: { ...clean, operators: [...clean.operators, read(2, 2600)] },
  noDriftBack: { ...clean, held: [...clean.held, held(2, 6000)] },
  inForceInTime: { ...clean, held: [held(2, 1100), held(2, 2100), held(2, 5200)] },
  leavingGetsNothing: {
    ...clean,
    operators: [...clean.operators, { event: 'leaving', at: 3000, instance: 'a1' }],
    runs: [run(9000)],
  },
  evacuatedGetsNothing: {
    ...clean,
    operators: [...clean.operators, answer(4, 3000, { evacuations: ['z1'] })],
    runs: [run(9000)],
  },
  strangersGetNothing: { ...clean, runs: [run(9000, { instance: 'stranger-1' })] },
};

describe('judge', () => {
  for (const [name, check] of Object.entries(Judge))
    it(`has a checker ${name} that catches a planted breach and passes a clean record`, () => {
      assert.deepEqual(check(clean), []);
      assert.notDeepEqual(check(planted[name as keyof typeof Judge]), []);
    });
});
