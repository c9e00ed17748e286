/**
 * The retry budget across all proxies: a proxy can spend tokens that another one earned, each token exists only once,
 * and extra tries stay below a fifth of the real requests regardless of the number of proxies and failures.
 */
import assert from 'node:assert/strict';
import { after, before, describe, it } from 'node:test';
import { TokenPool } from '../src/duty/token-pool.js';
import { Bench } from './bench.js';

const serveStream: Bench.Handle = (_request, response) => Bench.sse(response, ['one']);
const resetConnection: Bench.Handle = (request) => void request.socket.resetAndDestroy();

describe('retry budget', () => {
  let bench: Bench;
  let a: Bench.BackEnd;
  let b: Bench.BackEnd;

  before(async () => {
    bench = await Bench.start({ fronts: 3 });
    a = await bench.backEnd({ instance: 'a1', group: 'llm', region: 'a', handle: serveStream });
    b = await bench.backEnd({ instance: 'b1', group: 'llm', region: 'b', handle: serveStream });
    await bench.list([a, b]);
  });
  after(() => bench.stop());

  const chatAt = (front: number) =>
    Bench.call(bench.kit.fronts[front]!.listen, '/v1/chat/completions', { model: 'again', messages: [] }, {});
  const pooledTokens = async (): Promise<number> => {
    const metrics = await Promise.all(
      bench.kit.cores.map(async (core) => (await fetch(`http://${core.http}/metrics`)).text()),
    );
    return metrics.reduce(
      (sum, text) => sum + Number(/^bramblebend_tokens_pooled (\S+)$/m.exec(text)?.[1] ?? 0),
      0,
    );
  };

  const heldTokensAt = async (front: number): Promise<number> => {
    const text = await (await fetch(`http://${bench.kit.fronts[front]!.ops}/metrics`)).text();
    return Number(/^bramblebend_tokens (\S+)$/m.exec(text)?.[1] ?? 0);
  };

  let requestsSoFar = 0;

  it('lets one proxy spend tokens that another proxy earned', async () => {
    while ((await heldTokensAt(1)) < 1 || (await pooledTokens()) === 0) {
      await chatAt(0);
      requestsSoFar += 1;
    }
    a.handle = resetConnection;
    const answer = await chatAt(1);
    a.handle = serveStream;
    assert.equal(answer.status, 200);
    assert.equal(answer.headers['bramblebend-tries'], '2');
  });

  it('keeps extra tries below a fifth of real requests across all proxies, and fails at once without a token', async () => {
    a.reached.length = 0;
    b.reached.length = 0;
    a.handle = resetConnection;
    b.handle = resetConnection;
    const requestsBefore = requestsSoFar + 1;
    const count = 150;
    const answers = await Promise.all(Array.from({ length: count }, (_none, index) => chatAt(index % 3)));
    a.handle = serveStream;
    b.handle = serveStream;
    const reached = [...a.reached, ...b.reached];
    const requests = new Set(reached.map((one) => one.headers['bramblebend-request-id']));
    const extra = reached.length - requests.size;
    assert.ok(extra > 0);
    assert.ok(extra <= 0.2 * (count + requestsBefore), `${extra} extra tries for ${count} requests`);
    const withoutToken = answers.filter(
      (one) =>
        one.headers['bramblebend-tries'] === '1' &&
        requests.has(one.headers['bramblebend-request-id'] as string),
    );
    assert.ok(withoutToken.length > 0);
    for (const one of withoutToken) {
      assert.equal(one.status, 502);
      assert.ok(one.headers['retry-after']);
    }
  });

  it('stores each token once, keeps its age when it is passed on, and expires it', () => {
    const pool = TokenPool.of();
    for (let count = 0; count < 10; count += 1) pool.add([{ amount: 200, age: 0 }]);
    assert.equal(pool.total(), 2000);
    const taken = pool.take(1500, true);
    assert.equal(
      taken?.reduce((sum, one) => sum + one.amount, 0),
      1500,
    );
    assert.equal(pool.take(501), undefined);
    assert.equal(pool.total(), 500);
    const other = TokenPool.of();
    other.add([{ amount: 700, age: TokenPool.lifetimeMs + 1 }]);
    assert.equal(other.total(), 0);
    other.add([
      { amount: Number.NaN, age: 0 },
      { amount: -5, age: 0 },
      { amount: 5, age: -1 },
    ]);
    assert.equal(other.total(), 0);
  });
});
