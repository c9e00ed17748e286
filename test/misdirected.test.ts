/**
 * Misdirected requests: the list still has an instance at an address that another one uses already. After one such answer
 * this proxy sends no more requests there, until the list shows another address or a short time has passed.
 */
import assert from 'node:assert/strict';
import { after, before, beforeEach, describe, it } from 'node:test';
import { Bench } from './bench.js';

const regions = ['a', 'b'];
const manifest = Bench.openManifest({
  regions,
  rules: [
    {
      name: 'single',
      match: { path: '/single/*' },
      groups: ['lookup'],
      runs: 'once',
      home: { regions },
      aim: 1000,
      affinity: false,
      hops: 0,
      retry: { retry_on: ['connect-failure', 'refused-stream', 'reset', '5xx'], count: 0 },
    },
  ],
});

const answerServed: Bench.Handle = (_incoming, response) => void response.end('served');
const answerMisdirected: Bench.Handle = (_incoming, response) => {
  response.writeHead(421, { 'not-executed': 'true' });
  response.end();
};

describe('an address that another server uses now', () => {
  let bench: Bench;
  let stale: Bench.BackEnd;
  let other: Bench.BackEnd;

  const call = () => Bench.call(bench.kit.fronts[0]!.listen, '/single/x', undefined, { authorization: '' });
  const refusals = async (count: number): Promise<number> => {
    let refused = 0;
    for (let done = 0; done < count; done += 1) if ((await call()).status !== 200) refused += 1;
    return refused;
  };
  const untilReached = async (one: Bench.BackEnd): Promise<void> => {
    while (one.reached.length === 0) await call();
  };

  before(async () => {
    bench = await Bench.start({ manifest });
    stale = await bench.backEnd({ instance: 'r1', group: 'lookup', region: 'a', handle: answerServed });
    other = await bench.backEnd({ instance: 'r2', group: 'lookup', region: 'b', handle: answerServed });
    await bench.list([stale, other]);
  });
  after(() => bench.stop());
  beforeEach(() => {
    stale.handle = answerServed;
    stale.reached.length = 0;
    other.reached.length = 0;
  });

  it('fails one request on a route that allows one server, and gets no more', async () => {
    await untilReached(stale);
    stale.reached.length = 0;
    stale.handle = answerMisdirected;
    while (stale.reached.length === 0) await call();
    const began = performance.now();
    assert.equal(await refusals(60), 0);
    assert.ok(performance.now() - began < 4500, 'the machine was too slow for this test');
    assert.equal(stale.reached.length, 1);
    const health = (await (await fetch(`http://${bench.kit.fronts[0]!.ops}/health`)).json()) as {
      out: string[];
    };
    assert.deepEqual(health.out, ['r1']);
  });

  it('gets requests again after a short time, though the list is unchanged', {
    timeout: 20_000,
  }, async () => {
    await untilReached(stale);
    assert.equal(await refusals(20), 0);
  });

  it('gets requests at once when the list shows the instance at another address', async () => {
    stale.handle = answerMisdirected;
    while (stale.reached.length === 0) await call();
    const moved = await bench.backEnd({ instance: 'r1', group: 'lookup', region: 'a', handle: answerServed });
    await bench.list([moved, other]);
    const began = performance.now();
    await untilReached(moved);
    assert.ok(performance.now() - began < 4500, 'before the time is over');
    assert.equal(stale.reached.length, 1);
  });

  it('is answered at once as not run while the list has no other server', async () => {
    const alone = await bench.backEnd({
      instance: 'r3',
      group: 'lookup',
      region: 'a',
      handle: answerMisdirected,
    });
    await bench.list([alone]);
    const answers = [await call(), await call(), await call()];
    assert.deepEqual(
      answers.map(({ status, headers }) => [status, headers['bramblebend-ran']]),
      [503, 503, 503].map((status) => [status, 'no']),
    );
    assert.ok(answers.every(({ headers }) => headers['retry-after'] !== undefined));
    assert.equal(alone.reached.length, 1);
  });
});
