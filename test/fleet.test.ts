// A small fleet of both deployments' shape under its mix while the manifest changes, judged by the
// checkers; and each checker shown to catch a planted breach.
import assert from 'node:assert/strict';
import { join } from 'node:path';
import { describe, it } from 'node:test';
import { Caller } from '../tools/caller.js';
import { Checkers } from '../tools/checkers.js';
import { Baobab } from '../tools/deployments/baobab.js';
import { Deployment } from '../tools/deployments/deployment.js';
import { Likhet } from '../tools/deployments/likhet.js';
import { FleetFolder } from '../tools/fleet-folder.js';
import { FleetKit } from '../tools/fleet-kit.js';
import { InForce } from '../tools/in-force.js';
import { Journal } from '../tools/journal.js';
import { Random } from '../tools/random.js';
import { Report } from '../tools/report.js';

const timeouts = { connect: 10_000, first_byte: 20_000, per_try: 30_000, total: 60_000, idle: 20_000 };

const runMix = async (whole: Deployment): Promise<void> => {
  const small = Deployment.shrink(whole);
  const rules = small.manifest.rules.map((rule) => ({ ...rule, timeouts }));
  const deployment = { ...small, manifest: { ...small.manifest, rules } };
  const folder = FleetFolder.make();
  const kit = await FleetKit.start({ folder, deployment, stand: { pace: 2, prefill: 4, slots: 12 } });
  try {
    await InForce.putWhenReady(kit, deployment.manifest);
    await kit.putServers(1);
    await InForce.everywhere(kit);
    const random = Random.of(7);
    const journal = Journal.open(join(folder, 'callers.journal'));
    let left = 120;
    const work = async () => {
      while (left > 0) {
        left -= 1;
        const kind = random.pick(deployment.mix);
        const terms = {
          id: `${kind.name}-${left}`,
          proxy: random.pick(kit.fronts).listen,
          home: random.pick(kind.homes),
          prefix: random.below(kind.prefixes),
        };
        journal.write({ event: 'sent', id: terms.id, kind: kind.name, runs: kind.runs, home: terms.home });
        journal.write({ event: 'ended', ...(await Caller.once(kind, terms)) });
      }
    };
    const changes = async () => {
      for (let change = 0; change < 3; change += 1) {
        const put = await kit.putManifest({ ...deployment.manifest, note: `change ${change}` });
        assert.equal(put.status, 200);
        await InForce.everywhere(kit);
      }
    };
    await Promise.all([changes(), ...Array.from({ length: 8 }, work)]);
    const report = Report.of(kit);
    assert.equal(report.requests, 120);
    for (const [name, { breaches }] of Object.entries(report.verdicts)) assert.deepEqual(breaches, [], name);
    const unserved = Report.read(kit).ended.filter((entry) => entry.outcome !== 'whole');
    assert.deepEqual(unserved, []);
  } finally {
    await kit.stop();
    FleetFolder.remove(folder);
  }
};

describe('fleet', () => {
  it('serves Baobab’s mix while the manifest changes', () => runMix(Baobab));
  it('serves Likhet’s mix while the manifest changes', () => runMix(Likhet));

  const run = (caller: string, more: object = {}) => ({
    at: 1,
    event: 'run',
    instance: 'a1',
    run: `run-${caller}`,
    caller,
    ...more,
  });
  const entry = (id: string, more: object = {}) =>
    ({
      at: 1,
      id,
      kind: 'k',
      runs: 'once',
      home: 'h',
      proxy: 'p',
      outcome: 'whole',
      status: 200,
      tries: 1,
      firstToken: 1,
      took: 2,
      ...more,
    }) as Caller.Entry;
  const clean: Checkers.Journals = {
    sent: Array.from({ length: 10 }, (_none, index) => ({ at: 1, id: `c${index}`, home: 'h' })),
    ended: Array.from({ length: 10 }, (_none, index) => entry(`c${index}`)),
    runs: Array.from({ length: 10 }, (_none, index) => run(`c${index}`)),
    regionOf: (instance) => (instance === 'far' ? 'elsewhere' : 'here'),
    groupOf: (instance) => (instance.startsWith('b') ? 'b' : 'a'),
    homes: { h: ['here'], others: ['here', 'elsewhere'] },
  };
  const planted: Record<keyof typeof Checkers, Checkers.Journals> = {
    runsOnce: {
      ...clean,
      ended: [...clean.ended, entry('c1', { tries: 2 })],
      runs: [...clean.runs, run('c1', { instance: 'a2' })],
    },
    streamsWhole: {
      ...clean,
      ended: [...clean.ended, entry('c10', { outcome: 'wrong', fault: 'two runs joined' })],
    },
    notRunIsFinal: { ...clean, ended: [entry('c1', { outcome: 'dropped', status: 503, ran: 'no' })] },
    homesKept: { ...clean, runs: [...clean.runs, run('c2', { instance: 'far' })] },
    extraTriesFew: {
      ...clean,
      runs: [...clean.runs, ...clean.runs, ...['c1', 'c2', 'c3', 'c4'].map((id) => run(id))].map((one) => ({
        ...one,
        event: 'arrived',
      })),
    },
  };
  it('counts extra tries for each group of servers by itself', () => {
    const more = (count: number, instance: string, from: number) =>
      Array.from({ length: count }, (_none, index) =>
        run(`c${from + index}`, { instance, event: 'arrived' }),
      );
    const sent = Array.from({ length: 50 }, (_none, index) => ({ at: 1, id: `c${index}`, home: 'h' }));
    const runs = [...more(40, 'a1', 0), ...more(10, 'b1', 40), ...more(4, 'b2', 40)];
    const { breaches } = Checkers.extraTriesFew({ ...clean, sent, runs });
    assert.ok(
      breaches.length > 0 && breaches.every((breach) => breach.startsWith('b: 4 extra tries for 10 ')),
    );
    const fewer = [...more(40, 'a1', 0), ...more(10, 'b1', 40), ...more(4, 'a2', 0)];
    assert.deepEqual(Checkers.extraTriesFew({ ...clean, sent, runs: fewer }).breaches, []);
  });
  for (const [name, check] of Object.entries(Checkers))
    it(`has a checker ${name} that catches a planted breach and passes a clean run`, () => {
      assert.deepEqual(check(clean).breaches, []);
      const verdict = check(planted[name as keyof typeof Checkers]);
      assert.ok(verdict.breaches.length > 0 && verdict.occasions > 0);
    });
  it('tells a skipped, repeated or joined token from a whole stream', () => {
    const text = (tokens: readonly string[]) => tokens.map((token) => `{"content":"${token} "}`).join('');
    assert.equal(Caller.judgeTokens(text(['r:0', 'r:1', 'r:2']), 3), undefined);
    for (const wrong of [
      ['r:0', 'r:2'],
      ['r:0', 'r:0'],
      ['r:0', 's:1'],
      ['r:1', 'r:0'],
    ])
      assert.notEqual(Caller.judgeTokens(text(wrong), 2), undefined, wrong.join());
    assert.notEqual(Caller.judgeTokens(`${text(['r:0'])}[DONE]`, 2), undefined);
  });
});
