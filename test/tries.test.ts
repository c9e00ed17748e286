/**
 * Retries over real sockets: how a rule that allows one execution (`once`) and a rule that allows repetition (`again`)
 * handle each kind of failure, and that nothing is retried after the response has begun.
 */
import assert from 'node:assert/strict';
import { after, before, beforeEach, describe, it } from 'node:test';
import { request } from 'undici';
import { Bench } from './bench.js';

type Handle = Bench.Handle;

const serveStream: Handle = (_request, response) => Bench.sse(response, ['one', 'two']);
const resetConnection: Handle = (request) => void request.socket.resetAndDestroy();
const neverAnswer: Handle = () => {};
const resetMidStream: Handle = (request, response) => {
  Bench.sse(response, ['one'], false);
  response.once('drain', () => {});
  setImmediate(() => request.socket.resetAndDestroy());
};
const declineAsNotRun: Handle = (_request, response) => {
  response.writeHead(429, { 'x-not-run': 'yes', 'retry-after': '1' });
  response.end('{}');
};
const failWith500: Handle = (_request, response) => {
  response.writeHead(500);
  response.end('{}');
};

describe('retries', () => {
  let bench: Bench;
  let a: Bench.BackEnd;
  let b: Bench.BackEnd;

  before(async () => {
    bench = await Bench.start();
    a = await bench.backEnd({ instance: 'a1', group: 'llm', region: 'a', handle: serveStream });
    b = await bench.backEnd({ instance: 'b1', group: 'llm', region: 'b', handle: serveStream });
    await bench.list([a, b]);
  });
  after(() => bench.stop());
  beforeEach(async () => {
    a.handle = serveStream;
    b.handle = serveStream;
    await Promise.all(Array.from({ length: 12 }, () => bench.chat('again')));
    a.reached.length = 0;
    b.reached.length = 0;
  });
  const requestCounts = () => [a.reached.length, b.reached.length];

  it('streams a response and names the server group in headers', async () => {
    const answer = await bench.chat('once');
    assert.equal(answer.status, 200);
    assert.equal(answer.text, 'data: one\n\ndata: two\n\ndata: [DONE]\n\n');
    assert.equal(answer.headers['bramblebend-group'], 'llm');
    assert.equal(answer.headers['bramblebend-region'], 'a');
    assert.equal(answer.headers['bramblebend-tries'], '1');
    assert.deepEqual(requestCounts(), [1, 0]);
  });

  it('answers 502 to a once request after a reset and does not retry it', async () => {
    a.handle = resetConnection;
    const answer = await bench.chat('once');
    assert.equal(answer.status, 502);
    assert.equal(answer.headers['bramblebend-ran'], 'unknown');
    assert.equal(JSON.parse(answer.text).error.ran, 'unknown');
    assert.ok(answer.headers['retry-after']);
    assert.deepEqual(requestCounts(), [1, 0]);
  });

  it('retries a repeatable request on another server after a reset', async () => {
    a.handle = resetConnection;
    const answer = await bench.chat('again');
    assert.equal(answer.status, 200);
    assert.equal(answer.headers['bramblebend-tries'], '2');
    assert.equal(answer.headers['bramblebend-region'], 'b');
    assert.deepEqual(requestCounts(), [1, 1]);
  });

  it('answers 504 to a once request without a first byte and does not retry it', async () => {
    a.handle = neverAnswer;
    const answer = await bench.chat('once');
    assert.equal(answer.status, 504);
    assert.equal(answer.headers['bramblebend-ran'], 'unknown');
    assert.deepEqual(requestCounts(), [1, 0]);
  });

  it('limits the timeouts requested by a client to those of the rule', async () => {
    a.handle = neverAnswer;
    const longer = await bench.chat(
      'once',
      {},
      { 'bramblebend-timeouts': 'first_byte=60000, per_try=60000' },
    );
    assert.equal(JSON.parse(longer.text).error.code, 'first_byte');
    const shorter = await bench.chat('once', {}, { 'bramblebend-timeouts': 'per_try=100' });
    assert.equal(JSON.parse(shorter.text).error.code, 'per_try');
  });

  it('applies backpressure to the server while the client does not read, and loses no data', async () => {
    const block = Buffer.alloc(64 * 1024, 'x');
    const count = 1024;
    let sentChunks = 0;
    a.handle = async (_request, response) => {
      response.writeHead(200);
      for (let index = 0; index < count; index += 1) {
        sentChunks += 1;
        if (!response.write(block)) await new Promise<void>((resolve) => response.once('drain', resolve));
      }
      response.end();
    };
    const front = bench.kit.fronts[0]!;
    const answer = await request(`http://${front.listen}/v1/chat/completions`, {
      method: 'POST',
      headers: { authorization: `Bearer ${Bench.key}`, 'content-type': 'application/json' },
      body: JSON.stringify({ model: 'again', messages: [] }),
    });
    for (let unchanged = 0, last = -1; unchanged < 10; last = sentChunks) {
      unchanged = sentChunks === last ? unchanged + 1 : 0;
      await fetch(`http://${front.ops}/health`);
    }
    assert.ok(
      sentChunks < count / 2,
      `the server sent ${sentChunks} of ${count} chunks although the client read nothing`,
    );
    let length = 0;
    for await (const chunk of answer.body) length += (chunk as Buffer).length;
    assert.equal(length, count * block.length);
  });

  it('retries a repeatable request on another server if no first byte arrives', async () => {
    a.handle = neverAnswer;
    const answer = await bench.chat('again');
    assert.equal(answer.status, 200);
    assert.deepEqual(requestCounts(), [1, 1]);
  });

  it('retries a once request after a response that the group declares as not run', async () => {
    const declining = await bench.backEnd({
      instance: 'a-full',
      group: 'llm',
      region: 'a',
      handle: declineAsNotRun,
    });
    await bench.list([declining, b]);
    const answer = await bench.chat('once');
    assert.equal(answer.status, 200);
    assert.equal(answer.headers['bramblebend-tries'], '2');
    assert.deepEqual([declining.reached.length, b.reached.length], [1, 1]);
    await bench.list([a, b]);
  });

  it('answers 503 with bramblebend-ran: no if every server declined to run the request', async () => {
    const declining = await bench.backEnd({
      instance: 'a-full-2',
      group: 'llm',
      region: 'a',
      handle: declineAsNotRun,
    });
    await bench.list([declining]);
    const answer = await bench.chat('once', {}, { 'bramblebend-timeouts': 'total=400' });
    assert.equal(answer.status, 503);
    assert.equal(answer.headers['bramblebend-ran'], 'no');
    const next = await bench.chat('once');
    assert.equal(next.status, 503, 'the server is not used until its Retry-After has elapsed');
    assert.ok(Number(next.headers['retry-after']) >= 1);
    assert.equal(declining.reached.length, 1);
    await bench.list([a, b]);
  });

  it('does not retry a once request after a 500 that is not declared as not run', async () => {
    a.handle = failWith500;
    const answer = await bench.chat('once');
    assert.equal(answer.status, 502);
    assert.deepEqual(requestCounts(), [1, 0]);
  });

  it('aborts the client connection if a stream breaks after the response has begun, and does not retry', async () => {
    a.handle = resetMidStream;
    const answer = await bench.chat('again');
    assert.equal(answer.status, 200);
    assert.equal(answer.isBroken, true);
    assert.equal(answer.text.includes('[DONE]'), false);
    assert.deepEqual(requestCounts(), [1, 0]);
  });

  it('aborts the client connection if a stream exceeds its idle timeout', async () => {
    a.handle = (_request, response) => Bench.sse(response, ['one'], false);
    const answer = await bench.chat('again', {}, { 'bramblebend-timeouts': 'idle=200' });
    assert.equal(answer.isBroken, true);
    assert.equal(answer.text, 'data: one\n\n');
    assert.deepEqual(requestCounts(), [1, 0]);
  });

  it('forwards a 400 response of the server unchanged', async () => {
    a.handle = (_request, response) => {
      response.writeHead(400, { 'content-type': 'application/json' });
      response.end('{"error":"too long"}');
    };
    const answer = await bench.chat('once');
    assert.equal(answer.status, 400);
    assert.equal(answer.text, '{"error":"too long"}');
    assert.equal(answer.headers['bramblebend-group'], 'llm');
  });

  it('retries a once request on another server after a connect failure', async () => {
    const stopped = await bench.backEnd({ instance: 'a0', group: 'llm', region: 'a', handle: serveStream });
    await bench.list([stopped, b]);
    await stopped.stop();
    const answer = await bench.chat('once');
    assert.equal(answer.status, 200);
    assert.equal(answer.headers['bramblebend-tries'], '2');
    await bench.list([a, b]);
  });

  it('answers 503 with bramblebend-ran: no if no server accepts a connection', async () => {
    const stopped = await bench.backEnd({ instance: 'a9', group: 'llm', region: 'a', handle: serveStream });
    await bench.list([stopped]);
    await stopped.stop();
    const answer = await bench.chat('once');
    assert.equal(answer.status, 503);
    assert.equal(answer.headers['bramblebend-ran'], 'no');
    assert.ok(answer.headers['retry-after']);
    await bench.list([a, b]);
  });

  it('uses another server if one accepts the connection but never answers the identity request', async () => {
    const silent = await bench.backEnd({ instance: 'a8', group: 'llm', region: 'a', handle: serveStream });
    silent.server.removeAllListeners('request');
    await bench.list([silent, b]);
    const answer = await bench.chat('once');
    assert.equal(answer.status, 200);
    assert.equal(answer.headers['bramblebend-region'], 'b');
    assert.equal(silent.reached.length, 0);
    await bench.list([a, b]);
  });

  it('cancels the upstream request when the client disconnects', async () => {
    const closed = new Promise<void>((resolve) => {
      a.handle = (_request, response) => {
        Bench.sse(response, ['one'], false);
        response.once('close', resolve);
      };
    });
    const { listen } = bench.kit.fronts[0]!;
    const abort = new AbortController();
    const answer = await fetch(`http://${listen}/v1/chat/completions`, {
      method: 'POST',
      headers: { authorization: `Bearer ${Bench.key}`, 'content-type': 'application/json' },
      body: JSON.stringify({ model: 'again', messages: [] }),
      signal: abort.signal,
    });
    assert.equal(answer.status, 200);
    abort.abort();
    await closed;
  });

  it('falls back to a lower-ranked model and sends that model’s name', async () => {
    const small = await bench.backEnd({ instance: 's1', group: 'small', region: 'a', handle: serveStream });
    await bench.list([small]);
    const answer = await bench.chat('again');
    assert.equal(answer.status, 200);
    assert.equal(answer.headers['bramblebend-group'], 'small');
    assert.equal(JSON.parse(small.reached[0]!.body).model, 'lesser');
    await bench.list([a, b]);
  });
});
