/**
 * Overload and cold servers: all proxies together ramp up a new server gradually, requests beyond the capacity of the servers
 * are refused early as not run, evenly between teams, and lookups are served meanwhile.
 */
import assert from 'node:assert/strict';
import { after, before, describe, it } from 'node:test';
import type { Document } from '../src/manifest/document.js';
import { Bench } from './bench.js';

const chat = '/v1/chat/completions';

const manifest = {
  ...Bench.manifest,
  groups: {
    ...Bench.manifest.groups,
    llm: {
      ...Bench.manifest.groups.llm,
      concurrent: 8,
      ejection: { consecutive_5xx: 3, base_ejection_time: 60_000, max_ejection_percent: 50 },
    },
  },
  homes: { ab: { regions: ['a'] }, c: { regions: ['a'] } },
} as unknown as Document;

describe('overload and cold servers', () => {
  let bench: Bench;
  let old: Bench.BackEnd;
  let plain: Bench.BackEnd;
  const held: (() => void)[] = [];
  const hold: Bench.Handle = (_request, response) => {
    Bench.sse(response, ['one'], false);
    held.push(() => response.end('data: [DONE]\n\n'));
  };
  const endHeldResponses = () => {
    for (const end of held.splice(0)) end();
  };

  before(async () => {
    bench = await Bench.start({ fronts: 3, manifest });
    old = await bench.backEnd({ instance: 'a1', group: 'llm', region: 'a', handle: hold });
    plain = await bench.backEnd({
      instance: 'p1',
      group: 'plain',
      region: 'a',
      handle: (_request, response) => void response.end('{"count":1}'),
    });
    await bench.list([old, plain]);
  });
  after(async () => {
    endHeldResponses();
    await bench.stop();
  });

  const callAt = (front: number, more: object = {}, headers: Record<string, string> = {}) =>
    Bench.call(bench.kit.fronts[front % 3]!.listen, chat, { model: 'once', messages: [], ...more }, headers);
  const untilReached = async (server: Bench.BackEnd, count: number) => {
    while (server.reached.length < count) await new Promise((resolve) => setImmediate(resolve));
  };

  it('refuses a burst early as not run, and serves lookups meanwhile', async () => {
    const began = performance.now();
    const burst = Array.from({ length: 20 }, () => callAt(0));
    await untilReached(old, 6);
    const lookup = await bench.call('/stock/insulin');
    assert.equal(lookup.status, 200);
    const other = callAt(0, {}, { authorization: 'Bearer another-key' });
    await untilReached(old, 7);
    endHeldResponses();
    const answers = await Promise.all(burst);
    const took = performance.now() - began;
    assert.equal((await Promise.race([other, bench.call('/stock/insulin')])).status, 200);
    const served = answers.filter((one) => one.status === 200).length;
    const dropped = answers.filter((one) => one.status === 503);
    assert.equal(served, 6, 'a single team fills its servers to three quarters');
    assert.equal(served + dropped.length, 20);
    for (const one of dropped) {
      assert.equal(one.headers['bramblebend-ran'], 'no');
      assert.ok(one.headers['retry-after']);
    }
    assert.ok(took < 9000, 'no request waited for its deadline');
    endHeldResponses();
    await other;
  });

  it('ejects a server after consecutive failures, and never more than the allowed share of a group', async () => {
    const fail: Bench.Handle = (_request, response) => void response.writeHead(500).end('{}');
    const bad = await bench.backEnd({ instance: 'e1', group: 'llm', region: 'a', handle: fail });
    const good = await bench.backEnd({
      instance: 'e2',
      group: 'llm',
      region: 'a',
      handle: (_request, response) => Bench.sse(response, ['one']),
    });
    await bench.list([plain]);
    await bench.list([bad, good, plain]);
    for (let index = 0; bad.reached.length < 3; index += 1)
      await callAt(0, { prompt_cache_key: `e${index}` });
    for (let index = 0; index < 20; index += 1)
      assert.equal((await callAt(0, { prompt_cache_key: `f${index}` })).status, 200);
    assert.equal(bad.reached.length, 3);
    good.handle = fail;
    const before = good.reached.length;
    for (let index = 0; index < 6; index += 1) await callAt(0, { prompt_cache_key: `g${index}` });
    assert.equal(good.reached.length, before + 6);
    await bench.list([old, plain]);
  });

  it('ramps up a new server over all proxies together, then uses it fully', async () => {
    old.handle = (_request, response) => Bench.sse(response, ['one']);
    const fresh = await bench.backEnd({ instance: 'a2', group: 'llm', region: 'a', handle: hold });
    const began = performance.now();
    await bench.list([old, plain, fresh]);
    let completed = 0;
    const first = Array.from({ length: 30 }, async (_none, index) => {
      await callAt(index, { prompt_cache_key: `k${index}` });
      completed += 1;
    });
    while (completed < 26 && fresh.reached.length < 5) await new Promise((resolve) => setImmediate(resolve));
    const limit = 2 * 2 ** Math.floor((performance.now() - began) / 1500);
    const reached = fresh.reached.length;
    assert.ok(reached <= limit, `${reached} at once at a server just listed, limit ${limit}`);
    endHeldResponses();
    await Promise.all(first);
    const metrics = await (await fetch(`http://${bench.kit.fronts[0]!.ops}/log`)).text();
    assert.match(metrics, /fed gently/);
  });
});
