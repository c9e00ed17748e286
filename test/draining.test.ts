/**
 * Graceful shutdown of a proxy: it reports not ready at once, still serves new requests but closes each connection
 * after the response, stops listening after the linger period, lets running streams finish and then exits.
 */
import assert from 'node:assert/strict';
import { after, before, describe, it } from 'node:test';
import { Client } from 'undici';
import { LogBuffer } from '../src/log/log-buffer.js';
import type { Document } from '../src/manifest/document.js';
import { ProxyProgram } from '../src/proxy/program.js';
import type { Program } from '../src/startup/program.js';
import { InForce } from '../tools/in-force.js';
import { Bench } from './bench.js';

/** How long the draining proxy keeps accepting connections, in milliseconds. */
const lingerMs = 2500;
const manifest = {
  ...Bench.manifest,
  rules: Bench.manifest.rules.map((rule) => ({ ...rule, timeouts: { total: 30_000, idle: 30_000 } })),
  homes: { ab: { regions: ['a'] }, c: { regions: ['a'] } },
} as unknown as Document;
const headers = { authorization: `Bearer ${Bench.key}`, 'content-type': 'application/json' };
const chatRequest = {
  path: '/v1/chat/completions',
  method: 'POST',
  headers,
  body: JSON.stringify({ model: 'again', messages: [] }),
} as const;

describe('draining a proxy', () => {
  let bench: Bench;
  let server: Bench.BackEnd;
  let program: Program;
  let keepAliveClient: Client;

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
    const settings = { node: 'draining', zone: 'a-1', listen: `${ip}:8080`, ops: `${ip}:8081` };
    program = await ProxyProgram.start(
      { ...settings, agent: bench.kit.fronts[0]!.feed, linger: lingerMs },
      LogBuffer.of('draining'),
    );
    await InForce.everywhere(bench.kit, [{ ...bench.kit.fronts[0]!, ops: settings.ops }]);
    keepAliveClient = new Client(`http://${settings.listen}`, { keepAliveTimeout: 60_000 });
  });
  after(async () => {
    await keepAliveClient.destroy();
    await bench.stop();
  });

  it('reports not ready at once, closes connections after each response, and exits after its streams end', async () => {
    const { listen, ops } = program.ready;
    let finish = () => {};
    server.handle = (_incoming, response) => {
      Bench.sse(response, ['one'], false);
      finish = () => void response.end('data: [DONE]\n\n');
    };
    const stream = await keepAliveClient.request(chatRequest);
    server.handle = (_incoming, response) => Bench.sse(response, ['other']);
    assert.equal((await fetch(`http://${ops}/ready`)).status, 200);

    const began = performance.now();
    let hasEnded = false;
    const drained = program.drain().then(() => {
      hasEnded = true;
    });
    assert.equal((await fetch(`http://${ops}/ready`)).status, 503);
    const late = await Bench.call(listen!, chatRequest.path, chatRequest.body, {});
    assert.ok(
      performance.now() - began < lingerMs,
      'the machine is too busy: the request finished after the linger period',
    );
    assert.deepEqual([late.status, late.headers.connection, late.isBroken], [200, 'close', false]);
    assert.match(late.text, /other/);
    const isAccepted = () =>
      Bench.call(listen!, chatRequest.path, chatRequest.body, {}).then(
        () => true,
        () => false,
      );
    while (await isAccepted());
    assert.ok(
      performance.now() - began >= lingerMs * 0.9,
      'the proxy stopped listening before the linger period ended',
    );
    assert.equal(hasEnded, false);
    finish();
    assert.equal(await stream.body.text(), 'data: one\n\ndata: [DONE]\n\n');
    const finished = performance.now();
    await drained;
    const took = performance.now() - finished;
    assert.ok(took < 5000, `${Math.round(took)} ms from the end of the last stream to the exit`);
  });
});
