// Broken response streams. A resumable stream continues on another server within the same response, without missing,
// duplicate, merged or partial events; any other broken stream closes the client connection and never looks complete.
import assert from 'node:assert/strict';
import type { ServerResponse } from 'node:http';
import { after, before, beforeEach, describe, it } from 'node:test';
import { gunzipSync, gzipSync } from 'node:zlib';
import { request } from 'undici';
import type { Document } from '../src/manifest/document.js';
import type { FleetKit } from '../tools/fleet-kit.js';
import { Bench } from './bench.js';

const regions = ['a', 'b'];
const rule = (name: string, runs: string, more: object = {}) => ({
  name,
  match: { host: 'streams.example', path: `/${name}/*` },
  groups: ['reader'],
  runs,
  home: { regions },
  aim: 1000,
  gap: 500,
  timeouts: { connect: 1000, first_byte: 5000, per_try: 8000, total: 9000, idle: 5000 },
  retry: { retry_on: ['connect-failure', 'refused-stream', 'reset', '5xx'], count: 3, base: 1, max: 2 },
  ...more,
});
const manifest = {
  zones: Bench.manifest.zones,
  groups: {
    reader: {
      kind: 'plain',
      regions,
      proof: { header: 'x-wanted-instance', misdirected: 421 },
      not_run: [{ status: 421 }],
      ejection: { consecutive_5xx: 1000 },
    },
  },
  homes: { all: { regions } },
  teams: { everybody: { keys: [], home: 'all', open: true } },
  rules: [
    rule('resumable', 'resumable'),
    rule('single', 'resumable', { retry: { retry_on: ['reset'], count: 0 } }),
    rule('once', 'once'),
  ],
} as unknown as Document;

const event = (id: number) => `id: ${id}\ndata: piece ${id}\n\n`;
const events = (from: number, to: number) =>
  Array.from({ length: to - from + 1 }, (_none, index) => event(from + index)).join('');
const open = (response: ServerResponse, head: Record<string, string> = {}) =>
  response.writeHead(200, { 'content-type': 'text/event-stream', ...head });
const readLastEventId = (headers: Record<string, unknown>) => Number(headers['last-event-id'] ?? 0);
const breakAfter =
  (text: string, head: Record<string, string> = {}): Bench.Handle =>
  (_request, response) => {
    open(response, { 'x-run': 'first', ...head });
    response.write(text, () => response.socket?.destroy());
  };
const continueStream: Bench.Handle = (incoming, response) => {
  open(response, { 'x-run': 'next' });
  response.end(events(readLastEventId(incoming.headers) + 1, 6));
};

describe('broken streams', () => {
  let bench: Bench;
  let servers: Bench.BackEnd[];
  let script: Bench.Handle[] = [];

  const callAt = (front: FleetKit.Front, name: string, headers: Record<string, string> = {}) =>
    Bench.call(front.listen, `/${name}/x`, 'prompt', {
      host: 'streams.example',
      authorization: '',
      'content-type': 'text/plain',
      ...headers,
    });
  const call = (name: string, headers: Record<string, string> = {}) =>
    callAt(bench.kit.fronts[0]!, name, headers);
  const reached = () => servers.flatMap((one) => one.reached.map((run) => ({ by: one.instance, ...run })));

  before(async () => {
    bench = await Bench.start({ manifest, fronts: 2 });
    const handle: Bench.Handle = (incoming, response, body) =>
      (script.shift() ?? continueStream)(incoming, response, body);
    servers = await Promise.all(
      ['r1', 'r2', 'r3'].map((instance, index) =>
        bench.backEnd({ instance, group: 'reader', region: regions[index % 2]!, handle }),
      ),
    );
    await bench.list(servers);
  });
  after(() => bench.stop());
  beforeEach(() => {
    script = [];
    for (const one of servers) one.reached.length = 0;
  });
  const earnRetryTokens = async () => {
    await Promise.all(Array.from({ length: 20 }, () => call('once')));
    for (const one of servers) one.reached.length = 0;
  };

  it('closes the client connection if no retry token is available', async () => {
    script = [breakAfter(events(1, 3))];
    const answer = await call('resumable');
    assert.deepEqual([answer.isBroken, answer.text], [true, events(1, 3)]);
    assert.equal(reached().length, 1);
  });

  it('resumes on another server after the last complete event, with the headers of the first response', async () => {
    await earnRetryTokens();
    script = [breakAfter(`${events(1, 3)}id: 4\ndata: pie`)];
    const answer = await call('resumable');
    assert.deepEqual([answer.status, answer.isBroken, answer.text], [200, false, events(1, 6)]);
    assert.equal(answer.headers['x-run'], 'first');
    const runs = reached();
    assert.equal(new Set(runs.map((run) => run.by)).size, 2);
    assert.deepEqual(runs.map((run) => run.headers['last-event-id']).sort(), ['3', undefined]);
    assert.ok(runs.every((run) => run.body === 'prompt' && run.url === '/resumable/x'));
  });

  it('requests tokens from the pool if this proxy holds none', async () => {
    const [own, other] = bench.kit.fronts;
    const metric = async (address: string, name: string): Promise<number> => {
      const text = await (await fetch(`http://${address}/metrics`)).text();
      return Number(new RegExp(`^bramblebend_${name} (\\S+)$`, 'm').exec(text)?.[1] ?? 0);
    };
    const pooled = async () =>
      (await Promise.all(bench.kit.cores.map((core) => metric(core.http, 'tokens_pooled')))).reduce(
        (sum, one) => sum + one,
        0,
      );
    while ((await pooled()) < 6 || (await metric(own!.ops, 'tokens')) >= 2)
      await Promise.all(Array.from({ length: 10 }, () => callAt(other!, 'once')));
    const cutFirst: Bench.Handle = (incoming, ...rest) =>
      (readLastEventId(incoming.headers) === 0 ? breakAfter(events(1, 3)) : continueStream)(
        incoming,
        ...rest,
      );
    script = Array.from({ length: 10 }, () => cutFirst);
    const answers = await Promise.all(Array.from({ length: 5 }, () => call('resumable')));
    assert.deepEqual(
      answers.map(({ text, isBroken }) => [text, isBroken]),
      answers.map(() => [events(1, 6), false]),
    );
  });

  it('resumes twice, and drops events that a server repeats', async () => {
    await earnRetryTokens();
    const again: Bench.Handle = (_incoming, response) => {
      open(response);
      response.end(events(1, 6));
    };
    script = [breakAfter(events(1, 2)), breakAfter(`${events(1, 4)}id: 5`), again];
    const answer = await call('resumable');
    assert.deepEqual([answer.isBroken, answer.text], [false, events(1, 6)]);
    assert.equal(reached().length, 3);
  });

  it('does not resume a stream whose position is not given by event ids', async () => {
    await earnRetryTokens();
    script = [breakAfter('data: one\n\ndata: two\n\n')];
    const bare = await call('resumable');
    assert.deepEqual([bare.isBroken, bare.text], [true, 'data: one\n\ndata: two\n\n']);
    assert.equal(reached().length, 1);
    script = [breakAfter(`${events(1, 2)}data: between\n\n`)];
    const mixed = await call('resumable');
    assert.deepEqual([mixed.isBroken, mixed.text], [true, `${events(1, 2)}data: between\n\n`]);
    assert.equal(reached().length, 2);
  });

  it('resumes after comments, which are not repeated', async () => {
    await earnRetryTokens();
    script = [breakAfter(`${events(1, 2)}: still here\n\n`)];
    const answer = await call('resumable');
    assert.deepEqual(
      [answer.isBroken, answer.text],
      [false, `${events(1, 2)}: still here\n\n${events(3, 6)}`],
    );
  });

  it('sends a stream to no more servers than the rule allows attempts', async () => {
    await earnRetryTokens();
    script = [breakAfter(events(1, 3))];
    const answer = await call('single');
    assert.deepEqual([answer.isBroken, answer.text], [true, events(1, 3)]);
    assert.equal(reached().length, 1);
  });

  it('never resumes a once stream', async () => {
    await earnRetryTokens();
    script = [breakAfter(events(1, 3))];
    const answer = await call('once');
    assert.deepEqual([answer.isBroken, answer.text], [true, events(1, 3)]);
    assert.equal(reached().length, 1);
  });

  it('forwards no content length, since the response may come from two servers', async () => {
    await earnRetryTokens();
    script = [breakAfter(events(1, 2), { 'content-length': String(events(1, 6).length) })];
    const answer = await call('resumable');
    assert.deepEqual([answer.isBroken, answer.text], [false, events(1, 6)]);
    assert.equal(answer.headers['content-length'], undefined);
  });

  it('starts after the last-event-id of the client', async () => {
    await earnRetryTokens();
    const again: Bench.Handle = (_incoming, response) => {
      open(response);
      response.end(events(1, 6));
    };
    script = [breakAfter(events(3, 4)), again];
    const answer = await call('resumable', { 'last-event-id': '2' });
    assert.deepEqual([answer.isBroken, answer.text], [false, events(3, 6)]);
    assert.deepEqual(
      reached()
        .map((run) => run.headers['last-event-id'])
        .sort(),
      ['2', '4'],
    );
  });

  it('forwards a compressed stream as it arrives', async () => {
    const first = gzipSync(events(1, 2));
    let finish = () => {};
    script = [
      (_incoming, response) => {
        open(response, { 'content-encoding': 'gzip' });
        response.write(first);
        finish = () => void response.end(gzipSync(events(3, 6)));
      },
    ];
    const answer = await request(`http://${bench.kit.fronts[0]!.listen}/resumable/x`, {
      headers: { host: 'streams.example', 'accept-encoding': 'gzip' },
      bodyTimeout: 3000,
    });
    const chunks: Buffer[] = [];
    for await (const chunk of answer.body) {
      chunks.push(chunk as Buffer);
      finish();
    }
    assert.equal(gunzipSync(Buffer.concat(chunks)).toString(), events(1, 6));
  });

  it('releases the server if the client disconnects while a stream is being resumed', async () => {
    await earnRetryTokens();
    const abort = new AbortController();
    const left = new Promise<void>((resolve) => {
      script = [
        breakAfter(events(1, 2)),
        (_incoming, response) => {
          response.once('close', resolve);
          abort.abort();
        },
      ];
    });
    const answer = await request(`http://${bench.kit.fronts[0]!.listen}/resumable/x`, {
      headers: { host: 'streams.example' },
      signal: abort.signal,
    });
    await assert.rejects(answer.body.text());
    await left;
    assert.equal(reached().length, 2);
    assert.equal((await call('once')).text, events(1, 6));
  });

  it('aborts a response truncated by a server that announced the close', async () => {
    for (const head of [{ connection: 'close' }, { connection: 'close', 'content-length': '900' }]) {
      script = [breakAfter(events(1, 3), head)];
      const answer = await call('once');
      assert.deepEqual([answer.isBroken, answer.text], [true, events(1, 3)]);
    }
  });

  it('does not forward an error response with a truncated body as complete', async () => {
    script = [
      (_incoming, response) => {
        response.writeHead(400, { 'content-length': '100' });
        response.write('{"error"', () => response.socket?.destroy());
      },
    ];
    const answer = await call('once');
    assert.equal(answer.status, 502);
    assert.equal(reached().length, 1);
  });
});
