/**
 * Requests at a proxy that has just started wait a limited time for its first manifest, and are refused at once later.
 */
import assert from 'node:assert/strict';
import { after, afterEach, before, beforeEach, describe, it, mock } from 'node:test';
import { setTimeout as pause } from 'node:timers/promises';
import { FirstManifest } from '../src/proxy/first-manifest.js';
import type { Lab } from '../tools/fuzz/lab.js';
import { InForce } from '../tools/in-force.js';
import { Bench } from './bench.js';
import { ManualClock } from './manual-clock.js';
import { RequestKit } from './request-kit.js';

const eventLoopTurns = async () => {
  for (let count = 0; count < 5; count += 1) await new Promise<void>((resolve) => setImmediate(resolve));
};

describe('the first manifest', () => {
  it('releases waiting requests when it arrives', async () => {
    const first = FirstManifest.of();
    const waiting = [first.wait(undefined), first.wait(10_000)];
    first.markArrived();
    await Promise.all(waiting);
    await first.wait(10_000);
  });

  it('can be waited for by many requests without a warning', async () => {
    const warnings: Error[] = [];
    const see = (warning: Error) => warnings.push(warning);
    process.on('warning', see);
    const first = FirstManifest.of();
    const waiters = Array.from({ length: 100 }, () => first.wait(10_000));
    await eventLoopTurns();
    first.markArrived();
    await Promise.all(waiters);
    process.off('warning', see);
    assert.deepEqual(warnings, []);
  });

  it('is waited for at most a quarter of the remaining time', async () => {
    mock.timers.enable({ apis: ['setTimeout'] });
    try {
      const first = FirstManifest.of();
      let isOver = false;
      void first.wait(1000).then(() => {
        isOver = true;
      });
      mock.timers.tick(200);
      await eventLoopTurns();
      assert.equal(isOver, false);
      mock.timers.tick(50);
      await eventLoopTurns();
      assert.equal(isOver, true);
      let isLongOver = false;
      void first.wait(60_000).then(() => {
        isLongOver = true;
      });
      mock.timers.tick(800);
      await eventLoopTurns();
      assert.equal(isLongOver, true);
    } finally {
      mock.timers.reset();
    }
  });
});

/** A proxy server that gets its manifest when the test delivers it, on a manual clock. */
const startEmpty = async () => {
  let isInForce = false;
  const firstManifest = FirstManifest.of();
  const server = await RequestKit.serve((arrival) => RequestKit.reply(arrival, 'served'));
  const lab = await RequestKit.start({
    servers: [server],
    alter: (needs) => ({
      ...needs,
      firstManifest,
      compiled: () => (isInForce ? needs.compiled() : undefined),
    }),
  });
  return {
    lab,
    server,
    deliver() {
      isInForce = true;
      firstManifest.markArrived();
    },
  };
};

describe('a request that arrived before the first manifest', () => {
  let clock: ManualClock;
  beforeEach(() => {
    mock.timers.enable({ apis: ['setTimeout'] });
    clock = ManualClock.install();
  });
  afterEach(async () => {
    clock.uninstall();
    mock.timers.reset();
    await RequestKit.end();
  });
  const isTaken = async (lab: Lab) => {
    while (lab.active() === 0) await eventLoopTurns();
  };

  it('is served once the manifest has arrived', async () => {
    const { lab, server, deliver } = await startEmpty();
    const asked = RequestKit.ask(lab, RequestKit.request('/safe/a'));
    await isTaken(lab);
    assert.equal(server.arrivals.length, 0);
    deliver();
    assert.deepEqual([(await asked).status, (await asked).body], [200, 'served']);
  });
  it('is refused at the end of its wait, with Retry-After', async () => {
    const { lab, server } = await startEmpty();
    const asked = RequestKit.ask(lab, RequestKit.request('/safe/a'));
    await isTaken(lab);
    mock.timers.tick(800);
    const answer = await asked;
    assert.equal(answer.status, 503);
    assert.ok(answer.headers['retry-after']);
    assert.equal(server.arrivals.length, 0);
  });
});

describe('a front machine that lost its state', () => {
  let bench: Bench;

  before(async () => {
    bench = await Bench.start({ fronts: 1 });
    const handle: Bench.Handle = (_request, response) => Bench.sse(response, ['one']);
    await bench.list([await bench.backEnd({ instance: 'a1', group: 'llm', region: 'a', handle })]);
    await InForce.everywhere(bench.kit);
  });
  after(() => bench.stop());

  it('serves retried requests once the agent is back, and refuses requests soon if no manifest arrives', async () => {
    const [front] = bench.kit.fronts as [Bench['kit']['fronts'][number]];
    const ask = () => Bench.call(front.listen, '/v1/chat/completions', { model: 'again', messages: [] }, {});
    const end = () => Promise.all([front.agent?.end('SIGKILL'), front.proxy?.end('SIGKILL')]);
    await end();
    await bench.kit.startProxy(front);
    // How long the agent takes depends on the machine; until then, each response has Retry-After.
    const agentIsUp = bench.kit.startAgent(front);
    for (let answer = await ask(); answer.status !== 200; answer = await ask()) {
      assert.equal(answer.status, 503);
      assert.ok(answer.headers['retry-after']);
      await pause(100);
    }
    await agentIsUp;
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
