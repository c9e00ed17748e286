// A proxy that is told to end: it says at once that it is not ready, serves what still comes and closes each
// connection behind it, stops listening after the linger, lets running streams finish and is then gone.
import assert from 'node:assert/strict';
import { after, before, describe, it } from 'node:test';
import { Client } from 'undici';
import { LogBuffer } from '../src/log/log-buffer.js';
import type { Document } from '../src/manifest/document.js';
import { ProxyProgram } from '../src/proxy/program.js';
import type { Program } from '../src/startup/program.js';
import { InForce } from '../tools/in-force.js';
import { Bench } from './bench.js';

const linger = 2500;
const manifest = {
  ...Bench.manifest,
  rules: Bench.manifest.rules.map((rule) => ({ ...rule, timeouts: { total: 30_000, idle: 30_000 } })),
  homes: { ab: { regions: ['a'] }, c: { regions: ['a'] } },
} as unknown as Document;
const headers = { authorization: `Bearer ${Bench.key}`, 'content-type': 'application/json' };
const asked = {
  path: '/v1/chat/completions',
  method: 'POST',
  headers,
  body: JSON.stringify({ model: 'again', messages: [] }),
} as const;

describe('a proxy that drains', () => {
  let bench: Bench;
  let server: Bench.BackEnd;
  let program: Program;
  let kept: Client;

  before(async () => {
    bench = await Bench.start({ manifest });
    server = await bench.backEnd({
      instance: 'a1',
      group: 'llm',
      region: 'a',
      handle: (_incoming, response) => Bench.sse(response, ['one']),
    });
    await bench.list([server]);
    const ip = bench.kit.newAddress();
    const own = { node: 'draining', zone: 'a-1', listen: `${ip}:8080`, ops: `${ip}:8081` };
    program = await ProxyProgram.start(
      { ...own, agent: bench.kit.fronts[0]!.feed, linger },
      LogBuffer.of('draining'),
    );
    await InForce.everywhere(bench.kit, [{ ...bench.kit.fronts[0]!, ops: own.ops }]);
    kept = new Client(`http://${own.listen}`, { keepAliveTimeout: 60_000 });
  });
  after(async () => {
    await kept.destroy();
    await bench.stop();
  });

  it('says so at once, closes behind each answer, and ends once its streams have', async () => {
    const { listen, ops } = program.ready;
    let finish = () => {};
    server.handle = (_incoming, response) => {
      Bench.sse(response, ['one'], false);
      finish = () => void response.end('data: [DONE]\n\n');
    };
    const stream = await kept.request(asked);
    server.handle = (_incoming, response) => Bench.sse(response, ['other']);
    assert.equal((await fetch(`http://${ops}/ready`)).status, 200);

    const began = performance.now();
    let hasEnded = false;
    const drained = program.drain().then(() => {
      hasEnded = true;
    });
    assert.equal((await fetch(`http://${ops}/ready`)).status, 503);
    const late = await Bench.call(listen!, asked.path, asked.body, {});
    assert.ok(performance.now() - began < linger, 'this machine was too busy for the test');
    assert.deepEqual([late.status, late.headers.connection, late.isBroken], [200, 'close', false]);
    assert.match(late.text, /other/);
    const isTaken = () =>
      Bench.call(listen!, asked.path, asked.body, {}).then(
        () => true,
        () => false,
      );
    while (await isTaken());
    assert.ok(performance.now() - began >= linger * 0.9, 'it lingers');
    assert.equal(hasEnded, false);
    finish();
    assert.equal(await stream.body.text(), 'data: one\n\ndata: [DONE]\n\n');
    const finished = performance.now();
    await drained;
    const took = performance.now() - finished;
    assert.ok(took < 5000, `${Math.round(took)} ms from the last stream to the end`);
  });
});
