/**
 * Failure scores of servers that fail part of their requests: failures seen by many proxies add up and decay, raise the
 * cost of a server without excluding it, and apply neither to a whole group nor to more of it than may be ejected.
 */
import assert from 'node:assert/strict';
import { afterEach, describe, it, mock } from 'node:test';
import { FailureAggregator } from '../src/duty/failure-aggregator.js';
import type { Compiled } from '../src/manifest/compiled.js';
import type { Candidate } from '../src/upstream/candidate.js';
import { FailureScores } from '../src/upstream/failure-scores.js';
import { InFlight } from '../src/upstream/in-flight.js';
import { Placement } from '../src/upstream/placement.js';
import type { Frame } from '../src/wire/frame.js';
import { Random } from '../tools/random.js';

const clock = () => {
  let now = 1000;
  mock.method(process, 'hrtime', () => [Math.floor(now / 1000), (now % 1000) * 1e6]);
  return (span: number) => {
    now += span;
  };
};
afterEach(() => mock.restoreAll());

const names = Array.from({ length: 10 }, (_none, index) => `s${index}`);
const group = {
  name: 'g',
  memory: undefined,
  ejection: { consecutive: 5, base: 5000, percent: 30 },
  servers: names.map((instance) => ({ instance, group: 'g', region: 'a', zone: 'a-1', slots: 64 })),
} as unknown as Compiled.Group;
const candidates = group.servers.map((server) => ({ server, group })) as unknown as readonly Candidate[];
const request = { parts: [], wall: '', tokens: 100, bytes: 100, aim: 1000, gap: 500 };

describe('failure scores', () => {
  it('add up over proxies, each of which saw one failure, and decay', () => {
    const pass = clock();
    const proxies = Array.from({ length: 6 }, () => FailureScores.of());
    for (const one of proxies) one.see('s3', 1);
    assert.equal(proxies[0]!.costs(group).size, 0, 'one failure costs nothing');
    const reports = proxies.flatMap((one) => one.takeUnreported());
    assert.deepEqual(proxies[0]!.takeUnreported(), [], 'reported once');
    pass(200);
    for (const one of proxies) one.addReported(reports);
    for (const one of proxies) assert.deepEqual([...one.costs(group).keys()], ['s3']);
    assert.ok(proxies[0]!.costs(group).get('s3')! <= 600);
    proxies[1]!.addReported([{ instance: 's3', count: 1e9 }]);
    pass(200);
    assert.equal(proxies[1]!.costs(group).get('s3'), 600, 'reports are bounded');
    pass(12_000);
    assert.equal(proxies[0]!.costs(group).size, 0);
    pass(60_000);
    assert.equal(proxies[1]!.costs(group).size, 0);
  });

  it('fall with each success', () => {
    const pass = clock();
    const one = FailureScores.of();
    for (let count = 0; count < 5; count += 1) one.see('s1', 1);
    assert.equal(one.costs(group).size, 1);
    pass(200);
    for (let count = 0; count < 4; count += 1) one.good('s1');
    assert.equal(one.costs(group).size, 0);
  });

  it('apply to no more than the share that may be ejected, and not where all fail alike', () => {
    const pass = clock();
    const one = FailureScores.of();
    one.addReported(names.slice(0, 4).map((instance, index) => ({ instance, count: 4 + index })));
    assert.deepEqual([...one.costs(group).keys()], ['s3', 's2', 's1']);
    pass(200);
    one.addReported(names.map((instance) => ({ instance, count: 8 })));
    assert.equal(one.costs(group).size, 0);
    one.retain(() => false);
    pass(200);
    assert.equal(one.costs(group).size, 0);
  });

  it('raise the cost of a server, which still gets a share of the choices', () => {
    clock();
    const random = Random.of(9);
    const failures = FailureScores.of();
    failures.addReported([{ instance: 's4', count: 12 }]);
    const placement = Placement.of({
      region: () => 'a',
      zone: 'a-1',
      inFlight: InFlight.of(),
      hasIdle: () => true,
      failureCosts: failures.costs,
      random: () => random.below(1_000_000) / 1_000_000,
    });
    const counts = new Map<string, number>();
    for (let count = 0; count < 4000; count += 1) {
      const name = placement.choose(candidates, request)!.server.instance;
      counts.set(name, (counts.get(name) ?? 0) + 1);
    }
    assert.ok(counts.get('s4')! > 0 && counts.get('s4')! < 100, `${counts.get('s4')} of 4000`);
    assert.ok(counts.get('s5')! > 300, `${counts.get('s5')} of 4000`);
  });

  it('are summed at a control node, which forwards the highest', async () => {
    const reports = await new Promise<readonly Frame.Failed[]>((resolve) => {
      const sums = FailureAggregator.of((failed) => {
        sums.stop();
        resolve(failed);
      });
      for (const instance of Array.from({ length: 40 }, (_none, index) => `x${index}`))
        sums.add([{ instance, count: 1 }]);
      sums.add([{ instance: 'x39', count: 2.5 }]);
    });
    assert.equal(reports.length, 16);
    assert.deepEqual(reports[0], { instance: 'x39', count: 3.5 });
  });
});
