// The stand-in's servers: over a socket, what is said about having run a request, streams, cold
// spans and each way of going wrong. What a request costs is tested with the model by itself.
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { connect, type Socket } from 'node:net';
import { afterEach, describe, it } from 'node:test';
import { Client, request } from 'undici';
import { Engine } from '../tools/platform/engine.js';
import { EngineModel } from '../tools/platform/engine-model.js';
import { Recording } from '../tools/platform/recording.js';
import { SlotModel } from '../tools/platform/slot-model.js';
import { Words } from '../tools/platform/words.js';

/** Turns of the event loop, until it holds; the test's own time limit ends it. */
const until = async (holds: () => boolean): Promise<void> => {
  while (!holds()) await new Promise<void>((resolve) => setImmediate(resolve));
};

type Answer = { status: number; headers: Record<string, string | string[] | undefined>; text: string };

describe('a server over its socket', () => {
  const engines: Engine[] = [];
  let recording = Recording.of();
  const start = async (more: Partial<Engine.Terms> = {}): Promise<Engine> => {
    recording = Recording.of();
    const engine = await Engine.start({
      instance: 'i-1',
      service: 'llm',
      zone: 'a-1',
      region: 'a',
      listen: '127.0.0.1:0',
      model: EngineModel.of({ stride: 8 }),
      recording,
      ...more,
    });
    engines.push(engine);
    return engine;
  };
  afterEach(async () => {
    for (const engine of engines.splice(0)) await engine.crash();
  });
  let serial = 0;
  const headers = (more: Record<string, string> = {}) => {
    serial += 1;
    return {
      [Words.attempt]: `t${serial}`,
      [Words.remaining]: '5000',
      [Words.target]: 'i-1',
      [Words.model]: 'm',
      [Words.tokens]: '300,40',
      [Words.parts]: 'aa:200,bb:100',
      ...more,
    };
  };
  const post = async (engine: Engine, more: Record<string, string> = {}): Promise<Answer> => {
    const answer = await request(`http://${engine.address}/x/1`, {
      method: 'POST',
      headers: headers(more),
      body: 'prompt',
    });
    return { status: answer.statusCode, headers: answer.headers, text: await answer.body.text() };
  };
  const kinds = () => recording.served.map((entry) => entry.kind);
  const idsIn = (text: string) => [...text.matchAll(/^id: (\d+)$/gm)].map((found) => Number(found[1]));
  const raw = async (engine: Engine): Promise<Socket> => {
    const [host, port] = engine.address.split(':');
    const socket = connect(Number(port), host!);
    socket.on('error', () => {});
    await once(socket, 'connect');
    return socket;
  };

  it('streams events with rising ids, the id echoed and a stamp', async () => {
    const answer = await post(await start());
    assert.equal(answer.status, 200);
    assert.equal(answer.headers['content-type'], 'text/event-stream');
    assert.equal(answer.headers['attempt-id'], `t${serial}`);
    assert.ok(answer.headers['server-seal']);
    assert.deepEqual(idsIn(answer.text), [1, 2, 3, 4, 5]);
    assert.deepEqual(kinds(), ['arrived', 'run', 'done']);
  });

  it('goes on behind the last event that the request names', async () => {
    const answer = await post(await start(), { [Words.lastEvent]: '3' });
    assert.deepEqual(idsIn(answer.text), [4, 5]);
  });

  it('answers 421 when another instance or version is meant, 400 without an id, and runs neither', async () => {
    const engine = await start();
    const answers = [
      await post(engine, { [Words.target]: 'i-2' }),
      await post(engine, { [Words.expected]: '2' }),
      await post(engine, { [Words.attempt]: '' }),
    ];
    assert.deepEqual(
      answers.map((answer) => answer.status),
      [421, 421, 400],
    );
    assert.ok(answers.every((answer) => answer.headers['not-executed'] !== undefined));
    assert.ok(answers.every((answer) => answer.headers['instance-id'] === 'i-1'));
    assert.equal(kinds().includes('run'), false);
  });

  it('answers 503 that nothing ran when it is full, and when the time is up in its queue', async () => {
    const engine = await start({ model: EngineModel.of({ capacity: 1, queue: 1 }) });
    const long = post(engine, { [Words.tokens]: '300,400' });
    await until(() => kinds().includes('run'));
    const [late, full] = await Promise.all([post(engine, { [Words.remaining]: '60' }), post(engine)]);
    assert.deepEqual([late.status, full.status], [503, 503]);
    assert.deepEqual([late.headers['not-executed'], full.headers['not-executed']], ['true', 'true']);
    assert.equal((await long).status, 200);
    assert.equal(recording.served.filter((entry) => entry.kind === 'run').length, 1);
  });

  it('says how it stands, some hundred milliseconds late', async () => {
    const engine = await start();
    const answer = await request(`http://${engine.address}${Words.paths.report}`);
    const report = (await answer.body.json()) as Record<string, unknown>;
    assert.deepEqual(Object.keys(report), [
      'phase',
      'models',
      'occupied',
      'sequence',
      'queued',
      'active',
      'cache-used',
      'cache-total',
      'sessions',
    ]);
    assert.equal(report['cache-total'], 256_325);
  });

  it('tells its health and how long it stays cold, and may lie', async () => {
    const engine = await start({ coldFor: 60_000 });
    const ask = async () => {
      const answer = await request(`http://${engine.address}${Words.paths.health}`);
      await answer.body.dump();
      return answer;
    };
    const good = await ask();
    assert.deepEqual([good.statusCode, good.headers['instance-id']], [200, 'i-1']);
    assert.ok(Number(good.headers['warmup-remaining']) > 50_000);
    engine.fault({ kind: 'health', says: 503 });
    assert.equal((await ask()).statusCode, 503);
    engine.fault({ kind: 'none' });
    engine.drain();
    assert.equal((await ask()).statusCode, 503);
    engine.fault({ kind: 'health', says: 200 });
    assert.equal((await ask()).statusCode, 200);
  });

  it('falls over when it is cold and too much comes in a second, 421 not counted', async () => {
    const engine = await start({
      coldFor: 60_000,
      fallsAt: 3,
      model: SlotModel.of({ capacity: 9, queue: 9 }),
      isPlain: true,
      span: 1,
    });
    for (let index = 0; index < 5; index += 1) await post(engine, { [Words.target]: 'i-2' });
    for (let index = 0; index < 3; index += 1) assert.equal((await post(engine)).status, 200);
    await assert.rejects(post(engine));
    assert.equal(engine.isUp(), false);
  });

  it('accepts so many connections and resets those beyond', async () => {
    const engine = await start({ maxConnections: 1 });
    const first = await raw(engine);
    await until(() => engine.connections() === 1);
    const [host, port] = engine.address.split(':');
    const second = connect(Number(port), host!).on('error', () => {});
    await new Promise((resolve) => second.once('close', resolve));
    assert.equal(first.destroyed, false);
    first.destroy();
  });

  it('tells how long an idle connection lasts, and closes it when it leaves', async () => {
    const engine = await start({ keepAlive: 4000 });
    assert.equal((await post(engine)).headers['keep-alive'], 'timeout=4');
    engine.drain();
    assert.equal((await post(engine)).headers.connection, 'close');
  });

  it('is broken off: a stream cut midway ends without its end', async () => {
    const engine = await start();
    engine.fault({ kind: 'cut', after: 2, times: 1 });
    const answer = await request(`http://${engine.address}/x/1`, { method: 'POST', headers: headers() });
    let text = '';
    await assert.rejects(async () => {
      for await (const chunk of answer.body) text += String(chunk);
    });
    assert.deepEqual(idsIn(text), [1, 2]);
    assert.deepEqual(kinds(), ['arrived', 'run', 'ended']);
    assert.equal((await post(engine)).status, 200);
  });

  it('runs and says nothing, sends bytes that are no answer, or fails a part', async () => {
    const engine = await start();
    engine.fault({ kind: 'lost', times: 1 });
    await assert.rejects(post(engine));
    engine.fault({ kind: 'garble', times: 1 });
    await assert.rejects(post(engine));
    engine.fault({ kind: 'grey', oneIn: 2 });
    const statuses = [await post(engine), await post(engine), await post(engine), await post(engine)];
    assert.deepEqual(
      statuses.map((answer) => answer.status),
      [200, 500, 200, 500],
    );
    assert.equal(recording.served.filter((entry) => entry.kind === 'run').length, 6);
  });

  it('declines on command with the time to come back', async () => {
    const engine = await start();
    engine.fault({ kind: 'answer', status: 429, retryAfter: 0.3, times: 1 });
    const answer = await post(engine);
    assert.deepEqual(
      [answer.status, answer.headers['not-executed'], answer.headers['retry-after']],
      [429, 'true', '0.3'],
    );
    assert.equal((await post(engine)).status, 200);
  });

  for (const when of ['at-once', 'next'] as const)
    it(`sends a surplus answer ${when}, told apart by its id`, async () => {
      const engine = await start({ isPlain: true, model: SlotModel.of({ capacity: 4, queue: 4 }), span: 1 });
      engine.fault({ kind: 'surplus', when, times: 1 });
      const socket = await raw(engine);
      let text = '';
      socket.on('data', (chunk) => {
        text += String(chunk);
      });
      const ask = (id: string) =>
        socket.write(`POST /x HTTP/1.1\r\nHost: h\r\n${Words.attempt}: ${id}\r\nContent-Length: 0\r\n\r\n`);
      ask('one');
      if (when === 'next') {
        await until(() => kinds().includes('done'));
        ask('two');
      }
      await until(() => text.includes('-late'));
      const ids = [...text.matchAll(/Attempt-Id: (\S+)/gi)].map((found) => found[1]);
      assert.deepEqual(ids.slice(0, 2), ['one', 'one-late']);
      socket.destroy();
    });

  it('goes dark: takes connections, says nothing, runs nothing', async () => {
    const engine = await start();
    engine.fault({ kind: 'dark' });
    const socket = await raw(engine);
    let heard = 0;
    socket.on('data', () => {
      heard += 1;
    });
    socket.write(`POST /x HTTP/1.1\r\nHost: h\r\n${Words.attempt}: one\r\nContent-Length: 0\r\n\r\n`);
    await until(() => engine.connections() === 1);
    const closed = new Promise((resolve) => socket.once('close', resolve));
    engine.fault({ kind: 'none' });
    await closed;
    assert.deepEqual([heard, kinds().length], [0, 0]);
    assert.equal((await post(engine)).status, 200);
  });

  it('forgets idle connections: what comes next on them is reset and not run', async () => {
    const engine = await start();
    const client = new Client(`http://${engine.address}`);
    const ask = async () => {
      const answer = await client.request({ method: 'POST', path: '/x', headers: headers(), body: 'p' });
      return answer.body.text();
    };
    await ask();
    engine.fault({ kind: 'forget' });
    await assert.rejects(ask());
    assert.equal(recording.served.filter((entry) => entry.kind === 'run').length, 1);
    await ask();
    await client.close();
  });

  it('drops a request when its connection closes', async () => {
    const engine = await start();
    const socket = await raw(engine);
    socket.write(
      `POST /x HTTP/1.1\r\nHost: h\r\n${Words.attempt}: one\r\n${Words.tokens}: 10,5000\r\nContent-Length: 0\r\n\r\n`,
    );
    await until(() => kinds().includes('run'));
    socket.destroy();
    await until(() => kinds().includes('ended'));
    assert.equal(engine.report().active, 0);
  });
});
