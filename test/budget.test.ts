// The budget of extra tries over all nodes: what one proxy earns another may spend, a token exists once,
// and however many nodes and failures there are, extra tries stay below a fifth of real requests.
import assert from 'node:assert/strict';
import { after, before, describe, it } from 'node:test';
import { Purse } from '../src/duty/purse.js';
import { Bench } from './bench.js';

const serve: Bench.Handle = (_request, response) => Bench.sse(response, ['one']);
const reset: Bench.Handle = (request) => void request.socket.resetAndDestroy();

describe('budget', () => {
  let bench: Bench;
  let a: Bench.BackEnd;
  let b: Bench.BackEnd;

  before(async () => {
    bench = await Bench.start({ fronts: 3 });
    a = await bench.backEnd({ instance: 'a1', group: 'llm', region: 'a', handle: serve });
    b = await bench.backEnd({ instance: 'b1', group: 'llm', region: 'b', handle: serve });
    await bench.list([a, b]);
  });
  after(() => bench.stop());

  const chatAt = (front: number) =>
    Bench.call(bench.kit.fronts[front]!.listen, '/v1/chat/completions', { model: 'again', messages: [] }, {});
  const pooled = async (): Promise<number> => {
    const told = await Promise.all(
      bench.kit.cores.map(async (core) => (await fetch(`http://${core.http}/metrics`)).text()),
    );
    return told.reduce(
      (sum, text) => sum + Number(/^bramblebend_tokens_pooled (\S+)$/m.exec(text)?.[1] ?? 0),
      0,
    );
  };

  const heldAt = async (front: number): Promise<number> => {
    const text = await (await fetch(`http://${bench.kit.fronts[front]!.ops}/metrics`)).text();
    return Number(/^bramblebend_tokens (\S+)$/m.exec(text)?.[1] ?? 0);
  };

  let earned = 0;

  it('lets one proxy spend what another earned', async () => {
    while ((await heldAt(1)) < 1 || (await pooled()) === 0) {
      await chatAt(0);
      earned += 1;
    }
    a.handle = reset;
    const answer = await chatAt(1);
    a.handle = serve;
    assert.equal(answer.status, 200);
    assert.equal(answer.headers['bramblebend-tries'], '2');
  });

  it('keeps extra tries below a fifth of real requests over all nodes, and answers at once without a token', async () => {
    a.reached.length = 0;
    b.reached.length = 0;
    a.handle = reset;
    b.handle = reset;
    const earnedBefore = earned + 1;
    const count = 150;
    const answers = await Promise.all(Array.from({ length: count }, (_none, index) => chatAt(index % 3)));
    a.handle = serve;
    b.handle = serve;
    const reached = [...a.reached, ...b.reached];
    const requests = new Set(reached.map((one) => one.headers['bramblebend-request-id']));
    const extra = reached.length - requests.size;
    assert.ok(extra > 0);
    assert.ok(extra <= 0.2 * (count + earnedBefore), `${extra} extra tries for ${count} requests`);
    const out = answers.filter(
      (one) =>
        one.headers['bramblebend-tries'] === '1' &&
        requests.has(one.headers['bramblebend-request-id'] as string),
    );
    assert.ok(out.length > 0);
    for (const one of out) {
      assert.equal(one.status, 502);
      assert.ok(one.headers['retry-after']);
    }
  });

  it('keeps each token once, passes its age on, and lets it grow old', () => {
    const purse = Purse.of();
    for (let count = 0; count < 10; count += 1) purse.add([{ amount: 200, age: 0 }]);
    assert.equal(purse.total(), 2000);
    const taken = purse.take(1500, true);
    assert.equal(
      taken?.reduce((sum, one) => sum + one.amount, 0),
      1500,
    );
    assert.equal(purse.take(501), undefined);
    assert.equal(purse.total(), 500);
    const other = Purse.of();
    other.add([{ amount: 700, age: Purse.lifetime + 1 }]);
    assert.equal(other.total(), 0);
    other.add([
      { amount: Number.NaN, age: 0 },
      { amount: -5, age: 0 },
      { amount: 5, age: -1 },
    ]);
    assert.equal(other.total(), 0);
  });
});
