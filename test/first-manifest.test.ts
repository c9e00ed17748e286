// Requests at a proxy that has just started: they wait for its first manifest a moment, within bounds, and are
// refused at once after its first moments.
import assert from 'node:assert/strict';
import { after, before, describe, it, mock } from 'node:test';
import { FirstManifest } from '../src/proxy/first-manifest.js';
import { InForce } from '../tools/in-force.js';
import { Bench } from './bench.js';

const turns = async () => {
  for (let count = 0; count < 5; count += 1) await new Promise<void>((resolve) => setImmediate(resolve));
};

describe('the first manifest', () => {
  it('lets those who wait go on in the moment it comes', async () => {
    const first = FirstManifest.of();
    const waiting = [first.wait(undefined), first.wait(10_000)];
    first.came();
    await Promise.all(waiting);
    await first.wait(10_000);
  });

  it('is waited for by a crowd without a warning', async () => {
    const warnings: Error[] = [];
    const see = (warning: Error) => warnings.push(warning);
    process.on('warning', see);
    const first = FirstManifest.of();
    const crowd = Array.from({ length: 100 }, () => first.wait(10_000));
    await turns();
    first.came();
    await Promise.all(crowd);
    process.off('warning', see);
    assert.deepEqual(warnings, []);
  });

  it('is waited for a quarter of the time left at most', async () => {
    mock.timers.enable({ apis: ['setTimeout'] });
    try {
      const first = FirstManifest.of();
      let isOver = false;
      void first.wait(1000).then(() => {
        isOver = true;
      });
      mock.timers.tick(200);
      await turns();
      assert.equal(isOver, false);
      mock.timers.tick(50);
      await turns();
      assert.equal(isOver, true);
      let isLongOver = false;
      void first.wait(60_000).then(() => {
        isLongOver = true;
      });
      mock.timers.tick(800);
      await turns();
      assert.equal(isLongOver, true);
    } finally {
      mock.timers.reset();
    }
  });
});

describe('a front machine that lost all it held', () => {
  let bench: Bench;

  before(async () => {
    bench = await Bench.start({ fronts: 1 });
    const handle: Bench.Handle = (_request, response) => Bench.sse(response, ['one']);
    await bench.list([await bench.backEnd({ instance: 'a1', group: 'llm', region: 'a', handle })]);
    await InForce.everywhere(bench.kit);
  });
  after(() => bench.stop());

  it('serves a request that came before its manifest did, and refuses one soon where none comes', async () => {
    const [front] = bench.kit.fronts as [Bench['kit']['fronts'][number]];
    const ask = () => Bench.call(front.listen, '/v1/chat/completions', { model: 'again', messages: [] }, {});
    const end = () => Promise.all([front.agent?.end('SIGKILL'), front.proxy?.end('SIGKILL')]);
    await end();
    await bench.kit.startProxy(front);
    const [asked] = await Promise.all([ask(), bench.kit.startAgent(front)]);
    assert.equal(asked.status, 200);
    await end();
    await bench.kit.startProxy(front);
    const began = performance.now();
    for (let status = 0; status !== 503; status = (await ask()).status);
    const first = performance.now() - began;
    assert.ok(first < 5000, `refused after ${first} ms`);
    const answers = await Promise.all([ask(), ask(), ask()]);
    for (const { status, headers } of answers) {
      assert.equal(status, 503);
      assert.ok(headers['retry-after']);
    }
  });
});
