// The campaign's checkers of operators, platform and nodes: each passes a clean record and catches a
// planted breach. The breakers' preloaded module is shown to break what it says it breaks.
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { Judge } from '../tools/campaign/judge.js';
import { Reach } from '../tools/campaign/reach.js';
import type { World } from '../tools/campaign/world.js';

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

const cores = [1, 2, 3].map((index) => ({ node: `core-${index}`, ip: `10.0.0.${index}` }));
const fronts = [1, 2].map((index) => ({ node: `front-${index}`, ip: `10.0.1.${index}` }));
const fault = (from: number, to: number, marks: World.Marks): World.Made => ({
  kind: 'k',
  from,
  to,
  ...marks,
});
const reachOf = (made: readonly World.Made[]) => Reach.of({ made, cores, fronts, until: 100_000 });
const cutOff = (ip: string, among: readonly { readonly ip: string }[]) => ({
  cuts: among.flatMap((one) => [`${ip}>${one.ip}`, `${one.ip}>${ip}`]),
});

const clean: Records = {
  operators: [answer(2, 1000), answer(3, 2000), read(2, 1500), read(3, 2500)],
  held: [held(2, 1100), held(3, 2100), held(3, 5300)],
  made: [],
  reach: reachOf([]),
  runs: [run(500)],
  ended: [],
  sent: [{ at: 400, id: 'c1', proxy: 'p1' }],
  zoneOf: () => 'z1',
  nodeOf: () => 'front-1',
  startedAt: 100,
  finalAt: 100_000,
  lostAt: 100_000,
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
  coldFedGently: {
    ...clean,
    runs: [
      run(3000, { event: 'up' }),
      ...[1, 2, 3, 4, 5, 6].map((index) => run(3000 + index, { event: 'arrived' })),
    ],
  },
};

describe('judge', () => {
  for (const [name, check] of Object.entries(Judge))
    it(`has a checker ${name} that catches a planted breach and passes a clean record`, () => {
      assert.deepEqual(check(clean).breaches, []);
      assert.ok(check(planted[name as keyof typeof Judge]).breaches.length > 0);
    });

  it('follows a node across its boots, and what it served under', () => {
    const reborn = { ...clean, held: [...clean.held, held(2, 6000, { boot: 'b2' })] };
    assert.equal(Judge.noDriftBack(reborn).breaches.length, 1);
    const empty = { ...clean, held: [...clean.held, held(0, 6000, { boot: 'b2', epoch: 0 })] };
    assert.deepEqual(Judge.noDriftBack(empty), { occasions: 1, breaches: [] });
    const served = { id: 'c1', proxy: 'p1', at: 6000, took: 10, stamp: '1.2' } as Records['ended'][number];
    assert.equal(Judge.noDriftBack({ ...clean, ended: [served] }).breaches.length, 1);
  });

  it('excuses a proxy only while it is down or has no path, and then starts the time anew', () => {
    const spans = (made: readonly World.Made[]) => reachOf(made).spans('front-1');
    const whole = [{ from: 0, to: 100_000 }];
    const without = [
      { from: 0, to: 5000 },
      { from: 8000, to: 100_000 },
    ];
    for (const one of [
      fault(5000, 8000, { down: ['core-1'] }),
      fault(5000, 8000, { disks: ['core-2'] }),
      fault(5000, 8000, cutOff('10.0.0.1', [...cores.slice(1), ...fronts])),
      fault(5000, 8000, cutOff('10.0.1.1', cores)),
      fault(5000, 8000, { down: ['front-2-agent'] }),
    ])
      assert.deepEqual(spans([one]), whole, JSON.stringify(one));
    for (const one of [
      fault(5000, 8000, { down: ['front-1'] }),
      fault(5000, 8000, { down: ['front-1-agent'] }),
      fault(5000, 8000, cutOff('10.0.1.1', [...cores, ...fronts.slice(1)])),
    ])
      assert.deepEqual(spans([one]), without, JSON.stringify(one));
    const two = [fault(5000, 6000, { down: ['core-1'] }), fault(7000, 9000, { down: ['core-2'] })];
    assert.deepEqual(spans(two), [
      { from: 0, to: 7000 },
      { from: 10_000, to: 100_000 },
    ]);
    assert.equal(reachOf(two).first('front-1', 5000, 3000), 13_000);
    assert.equal(reachOf(two).first('front-1', 2000, 3000), 5000);
  });
});
