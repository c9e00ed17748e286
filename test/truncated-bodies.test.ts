/**
 * Responses without a length or chunks, which end with their connection, from servers that break off. Guards against a body that
 * broke off ending as complete for the client (review, case 6): the system closes the connections of a killed process in order.
 */
import assert from 'node:assert/strict';
import { afterEach, describe, it } from 'node:test';
import { EventScanner } from '../src/common/event-scanner.js';
import { Failure } from '../src/common/failure.js';
import { HttpClient } from '../src/wire/http-client.js';
import { Lab } from '../tools/fuzz/lab.js';
import { RawHttp } from '../tools/fuzz/raw-http.js';
import { RequestKit } from './request-kit.js';

const { serve, start, ask, request } = RequestKit;

afterEach(RequestKit.end);

const resumable = RequestKit.rule('resumable', 'resumable', { aim: 1000, gap: 500 });
const document = RequestKit.document({}, [
  resumable,
  RequestKit.rule('once', 'once'),
  RequestKit.rule('safe', 'repeatable'),
]);
const lastEvent = 6;
const event = (id: number, lineEnd = '\n') => `id: ${id}${lineEnd}data: piece ${id}${lineEnd}${lineEnd}`;
const events = (from: number, to: number, lineEnd = '\n') =>
  Array.from({ length: to - from + 1 }, (_none, index) => event(from + index, lineEnd)).join('');
const eventStream = { 'content-type': 'text/event-stream' };

/** Writes a response that ends with its connection. */
const respond = (arrival: RequestKit.Arrival, headers: RawHttp.Headers, body: string, status = 200): void => {
  const echoed = { 'attempt-id': arrival.headers['attempt-id'] ?? '' };
  arrival.socket.end(RawHttp.answer(status, { ...echoed, ...headers }) + body);
};

/** Asks for a body that its server ends by closing the connection. */
const askFor = async (
  body: string,
  { headers = {}, path = '/once/a', version = '1.1', status = 200 },
): Promise<RawHttp.Answer> => {
  const server = await serve((arrival) => respond(arrival, headers, body, status));
  const lab = await start({ servers: [server], document });
  return ask(lab, request(path).replace('HTTP/1.1', `HTTP/${version}`));
};

describe('a response that ends with its connection', { timeout: 30_000 }, () => {
  const breaks: Readonly<Record<string, string>> = {
    'inside a field': `${events(1, 3)}id: 4\nda`,
    'after a field': `${events(1, 3)}id: 4\ndata: piece 4`,
    'after a line': `${events(1, 3)}id: 4\ndata: piece 4\n`,
    'after a line with CRLF': `${events(1, 3, '\r\n')}id: 4\r\ndata: piece 4\r\n`,
    'after a line with CR': `${events(1, 3, '\r')}id: 4\rdata: piece 4\r`,
    'between CR and LF': `${events(1, 3, '\r\n')}id: 4\r\ndata: piece 4\r`,
    'inside a comment': `${events(1, 3)}: keep al`,
    'before the first event': '',
    'after a comment alone': ': welcome\n\n',
  };
  for (const [where, body] of Object.entries(breaks)) {
    it(`resumes a stream that broke off ${where}`, async () => {
      const script: RequestKit.Script = (arrival) => {
        const after = arrival.headers['last-event-id'];
        const isFirst = servers.reduce((sum, one) => sum + one.arrivals.length, 0) === 1;
        respond(arrival, eventStream, isFirst ? body : events(Number(after ?? 0) + 1, lastEvent));
      };
      const servers = [await serve(script), await serve(script)];
      const lab = await start({ servers, document });
      const answer = await ask(lab, request('/resumable/a'));
      const ids = [...answer.body.matchAll(/^id: (\d+)[\r\n]+data: piece \1[\r\n]{2}/gm)].map(([, id]) => id);
      assert.deepEqual([answer.end, ids], ['whole', ['1', '2', '3', '4', '5', '6']]);
      assert.deepEqual(
        servers.map((one) => one.arrivals.length),
        [1, 1],
      );
    });
    for (const [version, end] of [
      ['1.1', 'cut'],
      ['1.0', 'cut'],
    ])
      it(`is truncated for a client of HTTP/${version} if a stream that may not be resumed broke off ${where}`, async () => {
        const answer = await askFor(body, { headers: eventStream, version: version! });
        assert.deepEqual([answer.status, answer.end], [200, end]);
      });
  }

  it('is truncated whatever the case of its content type', async () => {
    const headers = { 'content-type': 'Text/Event-Stream; charset=utf-8', 'content-encoding': 'Identity' };
    assert.equal((await askFor(`${events(1, 3)}id: 4\n`, { headers })).end, 'cut');
  });
  for (const type of ['application/json', 'application/problem+json; charset=utf-8', 'Application/X-NDJSON'])
    it(`is truncated inside a JSON value, as ${type}`, async () => {
      for (const body of ['', '{"a":[1,2', '{"a":"}', '{"a":"\\"}', '[{"a":1}', '{"a":1}\n{"b"']) {
        const answer = await askFor(body, { headers: { 'content-type': type } });
        assert.deepEqual([body, answer.end], [body, 'cut']);
        await RequestKit.end();
      }
    });
  it('is not passed on as an error of the server if it broke off', async () => {
    const headers = { 'content-type': 'application/json' };
    const answer = await askFor('{"error":{"code":"no', { headers, status: 400 });
    assert.deepEqual([answer.status, answer.end], [502, 'whole']);
  });

  const wholes: readonly (readonly [string, string])[] = [
    ['text/event-stream', events(1, lastEvent)],
    ['text/event-stream', events(1, lastEvent, '\r\n')],
    ['text/event-stream', events(1, lastEvent, '\r')],
    ['text/event-stream', `${events(1, lastEvent)}\n\n`],
    ['text/event-stream', `${events(1, lastEvent)}: the end\n`],
    ['text/event-stream', `${events(1, lastEvent)}: the end\r\n`],
    ['text/event-stream', 'data: {"a": [\n\n'],
    ['application/json', '{"a":[1,2,{"b":"}]"}]}\n'],
    ['application/json', '{"a":"\\\\"}'],
    ['application/x-ndjson', '{"a":1}\n{"b":2}\n'],
    ['application/json', 'not JSON: {"a'],
    ['application/json', '7'],
    ['text/plain', '{"a":'],
  ];
  for (const [type, body] of wholes)
    it(`is whole as ${type}: ${JSON.stringify(body.slice(-24))}`, async () => {
      for (const path of ['/once/a', '/resumable/a']) {
        const answer = await askFor(body, { headers: { 'content-type': type }, path });
        assert.deepEqual([answer.body, answer.end], [body, 'whole']);
        await RequestKit.end();
      }
    });

  it('is whole with chunks, whatever it holds: the server has said so', async () => {
    const body = `${events(1, 3)}data: last`;
    const server = await serve((arrival) => {
      const headers = { 'attempt-id': arrival.headers['attempt-id'] ?? '', ...eventStream };
      const head = RawHttp.answer(200, { ...headers, 'transfer-encoding': 'chunked' });
      arrival.socket.write(head + RawHttp.chunk(body) + RawHttp.lastChunk);
    });
    const lab = await start({ servers: [server], document });
    for (const path of ['/once/a', '/resumable/a']) {
      const answer = await ask(lab, request(path));
      assert.deepEqual([answer.body, answer.end], [body, 'whole']);
    }
  });

  it('is rejected by the client for other programs if it broke off inside its JSON', async () => {
    const server = await Lab.listen((socket) =>
      RawHttp.readRequests(socket, ({ target }) =>
        socket.end(`${RawHttp.answer(200, { 'content-type': 'application/json' })}${target.slice(1)}`),
      ),
    );
    const client = HttpClient.of({ timeout: 5000, maxConnections: 1 });
    const call = (path: string) => client.call(server.address, { path });
    try {
      await assert.rejects(call('/{"a":[1'), (error) => Failure.is(error, 'reset'));
      assert.equal(String((await call('/{"a":[1]}')).body), '{"a":[1]}');
    } finally {
      client.close();
      await server.stop();
    }
  });
});

describe('the ends of events', () => {
  const streams = ['\n', '\r\n', '\r'].map(
    (lineEnd) => `: hello${lineEnd}${lineEnd}${events(1, 3, lineEnd)}`,
  );
  it('are found by any line end, wherever the bytes are split', () => {
    for (const text of streams)
      for (let split = 0; split <= text.length; split += 1) {
        const scanner = EventScanner.of();
        const pieces = [text.slice(0, split), text.slice(split)].map((piece) => Buffer.from(piece));
        const ends = pieces.flatMap((piece) => scanner.scan(piece));
        assert.deepEqual([ends.length, scanner.eventCount(), scanner.isBetweenEvents()], [4, 3, true]);
      }
  });
  it('are told apart from every place before them', () => {
    for (const text of streams)
      for (let length = 1; length < text.length; length += 1) {
        const scanner = EventScanner.of();
        const ends = scanner.scan(Buffer.from(text.slice(0, length)));
        const isAtEnd = ends.at(-1) === length;
        const isAfterComment = length <= text.indexOf('id: 1') && /[\r\n]$/.test(text.slice(0, length));
        assert.equal(
          scanner.isBetweenEvents(),
          isAtEnd || isAfterComment,
          JSON.stringify(text.slice(0, length)),
        );
      }
  });
});
