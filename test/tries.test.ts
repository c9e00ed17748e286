// Tries and commit through real sockets: what a once rule and a repeatable rule do under each mishap,
// and that nothing is tried again from the commit on.
import assert from 'node:assert/strict';
import { after, before, beforeEach, describe, it } from 'node:test';
import { request } from 'undici';
import { Bench } from './bench.js';

type Handle = Bench.Handle;

const serve: Handle = (_request, response) => Bench.sse(response, ['one', 'two']);
const reset: Handle = (request) => void request.socket.resetAndDestroy();
const stall: Handle = () => {};
const cutMidStream: Handle = (request, response) => {
  Bench.sse(response, ['one'], false);
  response.once('drain', () => {});
  setImmediate(() => request.socket.resetAndDestroy());
};
const refuse: Handle = (_request, response) => {
  response.writeHead(429, { 'x-not-run': 'yes', 'retry-after': '1' });
  response.end('{}');
};
const fail: Handle = (_request, response) => {
  response.writeHead(500);
  response.end('{}');
};

describe('tries', () => {
  let bench: Bench;
  let a: Bench.BackEnd;
  let b: Bench.BackEnd;

  before(async () => {
    bench = await Bench.start();
    a = await bench.backEnd({ instance: 'a1', group: 'llm', region: 'a', handle: serve });
    b = await bench.backEnd({ instance: 'b1', group: 'llm', region: 'b', handle: serve });
    await bench.list([a, b]);
  });
  after(() => bench.stop());
  beforeEach(async () => {
    a.handle = serve;
    b.handle = serve;
    await Promise.all(Array.from({ length: 12 }, () => bench.chat('again')));
    a.reached.length = 0;
    b.reached.length = 0;
  });
  const runs = () => [a.reached.length, b.reached.length];

  it('serves a stream and names who served it', async () => {
    const answer = await bench.chat('once');
    assert.equal(answer.status, 200);
    assert.equal(answer.text, 'data: one\n\ndata: two\n\ndata: [DONE]\n\n');
    assert.equal(answer.headers['bramblebend-group'], 'llm');
    assert.equal(answer.headers['bramblebend-region'], 'a');
    assert.equal(answer.headers['bramblebend-tries'], '1');
    assert.deepEqual(runs(), [1, 0]);
  });

  it('answers 502 to a once request after a reset, and runs it nowhere else', async () => {
    a.handle = reset;
    const answer = await bench.chat('once');
    assert.equal(answer.status, 502);
    assert.equal(answer.headers['bramblebend-ran'], 'unknown');
    assert.equal(JSON.parse(answer.text).error.ran, 'unknown');
    assert.ok(answer.headers['retry-after']);
    assert.deepEqual(runs(), [1, 0]);
  });

  it('tries a repeatable request elsewhere after a reset', async () => {
    a.handle = reset;
    const answer = await bench.chat('again');
    assert.equal(answer.status, 200);
    assert.equal(answer.headers['bramblebend-tries'], '2');
    assert.equal(answer.headers['bramblebend-region'], 'b');
    assert.deepEqual(runs(), [1, 1]);
  });

  it('answers 504 to a once request that gets no first byte, and runs it nowhere else', async () => {
    a.handle = stall;
    const answer = await bench.chat('once');
    assert.equal(answer.status, 504);
    assert.equal(answer.headers['bramblebend-ran'], 'unknown');
    assert.deepEqual(runs(), [1, 0]);
  });

  it('holds the timeouts that a caller asks for within the rule’s bounds', async () => {
    a.handle = stall;
    const longer = await bench.chat(
      'once',
      {},
      { 'bramblebend-timeouts': 'first_byte=60000, per_try=60000' },
    );
    assert.equal(JSON.parse(longer.text).error.code, 'first_byte');
    const shorter = await bench.chat('once', {}, { 'bramblebend-timeouts': 'per_try=100' });
    assert.equal(JSON.parse(shorter.text).error.code, 'per_try');
  });

  it('holds the server back while the client does not read, and loses nothing', async () => {
    const piece = Buffer.alloc(64 * 1024, 'x');
    const count = 1024;
    let taken = 0;
    a.handle = async (_request, response) => {
      response.writeHead(200);
      for (let index = 0; index < count; index += 1) {
        taken += 1;
        if (!response.write(piece)) await new Promise<void>((resolve) => response.once('drain', resolve));
      }
      response.end();
    };
    const front = bench.kit.fronts[0]!;
    const answer = await request(`http://${front.listen}/v1/chat/completions`, {
      method: 'POST',
      headers: { authorization: `Bearer ${Bench.key}`, 'content-type': 'application/json' },
      body: JSON.stringify({ model: 'again', messages: [] }),
    });
    for (let still = 0, last = -1; still < 10; last = taken) {
      still = taken === last ? still + 1 : 0;
      await fetch(`http://${front.ops}/health`);
    }
    assert.ok(
      taken < count / 2,
      `${taken} of ${count} pieces left the server for a client that reads nothing`,
    );
    let length = 0;
    for await (const chunk of answer.body) length += (chunk as Buffer).length;
    assert.equal(length, count * piece.length);
  });

  it('tries a repeatable request elsewhere when no first byte comes', async () => {
    a.handle = stall;
    const answer = await bench.chat('again');
    assert.equal(answer.status, 200);
    assert.deepEqual(runs(), [1, 1]);
  });

  it('tries a once request again after a refusal that its contract says is not run', async () => {
    const full = await bench.backEnd({ instance: 'a-full', group: 'llm', region: 'a', handle: refuse });
    await bench.list([full, b]);
    const answer = await bench.chat('once');
    assert.equal(answer.status, 200);
    assert.equal(answer.headers['bramblebend-tries'], '2');
    assert.deepEqual([full.reached.length, b.reached.length], [1, 1]);
    await bench.list([a, b]);
  });

  it('answers 503 not run when every server refused by its contract', async () => {
    const full = await bench.backEnd({ instance: 'a-full-2', group: 'llm', region: 'a', handle: refuse });
    await bench.list([full]);
    const answer = await bench.chat('once', {}, { 'bramblebend-timeouts': 'total=400' });
    assert.equal(answer.status, 503);
    assert.equal(answer.headers['bramblebend-ran'], 'no');
    const next = await bench.chat('once');
    assert.equal(next.status, 503, 'the server rests as it asked to');
    assert.ok(Number(next.headers['retry-after']) >= 1);
    assert.equal(full.reached.length, 1);
    await bench.list([a, b]);
  });

  it('does not try a once request again after an undeclared 500', async () => {
    a.handle = fail;
    const answer = await bench.chat('once');
    assert.equal(answer.status, 502);
    assert.deepEqual(runs(), [1, 0]);
  });

  it('breaks the client off when a stream breaks after the commit, and tries nothing again', async () => {
    a.handle = cutMidStream;
    const answer = await bench.chat('again');
    assert.equal(answer.status, 200);
    assert.equal(answer.isBroken, true);
    assert.equal(answer.text.includes('[DONE]'), false);
    assert.deepEqual(runs(), [1, 0]);
  });

  it('breaks the client off when a stream falls silent', async () => {
    a.handle = (_request, response) => Bench.sse(response, ['one'], false);
    const answer = await bench.chat('again', {}, { 'bramblebend-timeouts': 'idle=200' });
    assert.equal(answer.isBroken, true);
    assert.equal(answer.text, 'data: one\n\n');
    assert.deepEqual(runs(), [1, 0]);
  });

  it('passes a 400 of the server on as it is', async () => {
    a.handle = (_request, response) => {
      response.writeHead(400, { 'content-type': 'application/json' });
      response.end('{"error":"too long"}');
    };
    const answer = await bench.chat('once');
    assert.equal(answer.status, 400);
    assert.equal(answer.text, '{"error":"too long"}');
    assert.equal(answer.headers['bramblebend-group'], 'llm');
  });

  it('tries a once request elsewhere after a connect mishap, for that was not run', async () => {
    const gone = await bench.backEnd({ instance: 'a0', group: 'llm', region: 'a', handle: serve });
    await bench.list([gone, b]);
    await gone.stop();
    const answer = await bench.chat('once');
    assert.equal(answer.status, 200);
    assert.equal(answer.headers['bramblebend-tries'], '2');
    await bench.list([a, b]);
  });

  it('answers 503 not run when no server can be connected to', async () => {
    const gone = await bench.backEnd({ instance: 'a9', group: 'llm', region: 'a', handle: serve });
    await bench.list([gone]);
    await gone.stop();
    const answer = await bench.chat('once');
    assert.equal(answer.status, 503);
    assert.equal(answer.headers['bramblebend-ran'], 'no');
    assert.ok(answer.headers['retry-after']);
    await bench.list([a, b]);
  });

  it('gives up a server that takes the connection and never tells who it is', async () => {
    const mute = await bench.backEnd({ instance: 'a8', group: 'llm', region: 'a', handle: serve });
    mute.server.removeAllListeners('request');
    await bench.list([mute, b]);
    const answer = await bench.chat('once');
    assert.equal(answer.status, 200);
    assert.equal(answer.headers['bramblebend-region'], 'b');
    assert.equal(mute.reached.length, 0);
    await bench.list([a, b]);
  });

  it('cancels the try when the client leaves', async () => {
    const left = new Promise<void>((resolve) => {
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
    await left;
  });

  it('falls back to a ranked model under its own name', async () => {
    const small = await bench.backEnd({ instance: 's1', group: 'small', region: 'a', handle: serve });
    await bench.list([small]);
    const answer = await bench.chat('again');
    assert.equal(answer.status, 200);
    assert.equal(answer.headers['bramblebend-group'], 'small');
    assert.equal(JSON.parse(small.reached[0]!.body).model, 'lesser');
    await bench.list([a, b]);
  });
});
