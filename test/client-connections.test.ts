/**
 * How a proxy closes the connections of its clients. Guards against a connection that is closed around a request which was passed
 * on to a server (review, case 4): by a change of the limits, by a drain, by what the client sends behind the request, by another
 * response that breaks off; and against a response without a length that ends in order when its connection is closed.
 */
import assert from 'node:assert/strict';
import type { Socket } from 'node:net';
import { afterEach, describe, it } from 'node:test';
import { Lab } from '../tools/fuzz/lab.js';
import { RawHttp } from '../tools/fuzz/raw-http.js';
import { RequestKit } from './request-kit.js';

const { serve, start, request, reply } = RequestKit;
type Arrival = RequestKit.Arrival;

afterEach(RequestKit.end);

/** Longer than the idle timeout of its test, and than what Node.js adds to it, in milliseconds. */
const idleTimeoutIsOverMs = 1300;
const turn = () => new Promise<void>((resolve) => setImmediate(resolve));
const until = async (condition: () => boolean): Promise<void> => {
  while (!condition()) await turn();
};
const manyTurns = async (): Promise<void> => {
  for (let count = 0; count < 20; count += 1) await turn();
};
const idOf = ({ headers }: Arrival): string => headers['attempt-id'] ?? '';
const answer: RequestKit.Script = (arrival) => void reply(arrival, `body of ${idOf(arrival)}`);
const asking = (id: string, more: Record<string, string> = {}) =>
  request('/once/a', { 'attempt-id': id, ...more });

/** What a client has received: its answers, and whether its connection is closed. */
class Reader {
  private bytes = '';
  isClosed = false;
  isReset = false;

  constructor(readonly socket: Socket) {
    socket.on('data', (bytes: Buffer) => {
      this.bytes += bytes.toString('latin1');
    });
    socket.on('error', () => {
      this.isReset = true;
    });
    socket.once('end', () => socket.end());
    socket.once('close', () => {
      this.isClosed = true;
    });
  }

  static async connect(lab: Lab): Promise<Reader> {
    return new Reader(await Lab.connect(lab.address));
  }

  answers(): readonly RawHttp.Answer[] {
    const found: RawHttp.Answer[] = [];
    for (let text = this.bytes; text !== ''; text = found.at(-1)!.rest) {
      const next = RawHttp.parseAnswer(text, false, this.isClosed);
      if (!next) break;
      found.push(next);
      if (next.end !== 'whole') break;
    }
    return found;
  }

  /** Status and body of each whole answer. */
  texts(): readonly string[] {
    return this.answers().map(({ status, body, end }) => (end === 'whole' ? `${status} ${body}` : end));
  }

  statuses(): readonly (number | string)[] {
    return this.answers().map(({ status, end }) => (end === 'whole' ? status : end));
  }

  closed(): Promise<void> {
    return until(() => this.isClosed);
  }
}

/** A server that holds its requests until the test answers them. */
const serveHeld = async () => {
  const held: Arrival[] = [];
  const server = await serve((arrival) => void held.push(arrival));
  const timeouts = { connect: 1000, first_byte: 30_000, per_try: 30_000, total: 30_000, idle: 30_000 };
  const document = RequestKit.document({}, [RequestKit.rule('once', 'once', { timeouts })]);
  const lab = await start({ servers: [server], document });
  return { held, server, lab };
};

describe('a connection of a client', { timeout: 60_000 }, () => {
  const limits = { header_bytes: 16_384, idle: 15_000 };
  const changes = {
    idle: (round: number) => ({ ...limits, idle: limits.idle + 1000 * (1 + (round % 2)) }),
    header_bytes: (round: number) => ({
      ...limits,
      header_bytes: limits.header_bytes + 1024 * (1 + (round % 2)),
    }),
  };
  for (const [field, change] of Object.entries(changes))
    it(`is not closed around a request that came just before ${field} changed, or in any turn around it`, async () => {
      const server = await serve(answer);
      const lab = await start({ servers: [server] });
      for (let round = 0; round < 60; round += 1) {
        const turnsBefore = Math.floor(round / 10);
        const client = await Reader.connect(lab);
        client.socket.write(asking(`first-${round}`));
        await until(() => client.texts().length === 1);
        await manyTurns();
        client.socket.write(asking(`second-${round}`));
        for (let count = 0; count < turnsBefore; count += 1) await turn();
        lab.setLimits(change(round));
        await client.closed();
        assert.deepEqual(client.texts(), [`200 body of first-${round}`, `200 body of second-${round}`]);
      }
    });

  it('is closed at rest when the limits change, and a request that crosses the close is not passed on', async () => {
    const server = await serve(answer);
    const lab = await start({ servers: [server] });
    for (let round = 0; round < 40; round += 1) {
      const client = await Reader.connect(lab);
      client.socket.write(asking(`first-${round}`));
      await until(() => client.texts().length === 1);
      lab.setLimits(changes.idle(round));
      for (let count = 0; count < round % 8; count += 1) await turn();
      client.socket.write(asking(`second-${round}`));
      await client.closed();
      const wasPassedOn = server.arrivals.some((arrival) => idOf(arrival) === `second-${round}`);
      assert.equal(client.texts().length, wasPassedOn ? 2 : 1, `round ${round}`);
    }
  });

  it('is closed after the newest request read when the limits change, and says so in that response alone', async () => {
    const { held, lab } = await serveHeld();
    const client = await Reader.connect(lab);
    client.socket.write(asking('c1') + asking('c2'));
    await until(() => held.length === 1);
    lab.setLimits(changes.idle(0));
    await manyTurns();
    answer(held[0]!);
    await until(() => held.length === 2);
    answer(held[1]!);
    await client.closed();
    assert.deepEqual(client.texts(), ['200 body of c1', '200 body of c2']);
    assert.deepEqual(
      client.answers().map(({ headers }) => headers.connection),
      ['keep-alive', 'close'],
    );
  });

  for (const [who, end] of [
    ['the proxy', (lab: Lab) => lab.announceEnd()],
    ['the client', () => {}],
  ] as const)
    it(`passes nothing on that is sent behind the response with which ${who} ends it`, async () => {
      const { held, server, lab } = await serveHeld();
      end(lab);
      const ending = who === 'the client' ? { connection: 'close' } : {};
      for (let round = 0; round < 30; round += 1) {
        const client = await Reader.connect(lab);
        client.socket.write(asking(`a${round}`, ending));
        await until(() => held.length === 1);
        const { socket } = held[0]!;
        socket.write(
          RawHttp.answer(200, { 'attempt-id': idOf(held[0]!), 'transfer-encoding': 'chunked' }) +
            RawHttp.chunk('first '),
        );
        if (round % 2 === 0) await until(() => client.socket.bytesRead > 0);
        if (round % 2 === 0) client.socket.write(asking(`b${round}`));
        for (let count = 0; count < round % 7; count += 1) await turn();
        socket.write(RawHttp.chunk('last') + RawHttp.lastChunk);
        await until(() => client.texts().length === 1);
        client.socket.write(asking(`c${round}`));
        await client.closed();
        held.length = 0;
        assert.deepEqual(client.texts(), ['200 first last']);
      }
      await manyTurns();
      assert.ok(server.arrivals.every((arrival) => idOf(arrival).startsWith('a')));
    });

  const behind: Readonly<Record<string, readonly [string, number]>> = {
    'bytes that are no request': ['?\r\n\r\n', 400],
    'a head that is too long': [asking('b', { 'x-long': 'y'.repeat(40_000) }), 431],
    'a request for a tunnel': ['CONNECT a.example:1 HTTP/1.1\r\nhost: a.example\r\n\r\n', 400],
    'a request without a host': ['GET /once/b HTTP/1.1\r\n\r\n', 400],
    'a malformed body': [
      `${
        asking('b', { 'transfer-encoding': 'chunked' })
          .replace(/content-length.*\r\n/, '')
          .split('\r\n\r\n')[0]
      }\r\n\r\nno length\r\n`,
      400,
    ],
  };
  for (const [what, [bytes, status]] of Object.entries(behind))
    it(`carries the response to its request before it is closed for ${what}`, async () => {
      const { held, server, lab } = await serveHeld();
      const client = await Reader.connect(lab);
      client.socket.write(asking('c1') + asking('c2') + bytes + asking('smuggled'));
      for (const count of [1, 2]) {
        await until(() => held.length === count);
        await manyTurns();
        answer(held[count - 1]!);
      }
      await client.closed();
      assert.deepEqual(client.statuses(), [200, 200, status]);
      assert.deepEqual(server.arrivals.map(idOf), ['c1', 'c2']);
    });

  it('carries the response to its request before it is closed for a head that comes too late', async () => {
    const { held, server, lab } = await serveHeld();
    lab.setLimits({ ...limits, header_time: 500 });
    const client = await Reader.connect(lab);
    client.socket.write(`${asking('c1')}GET /once/late HTTP/1.1\r\nhost: h`);
    await until(() => held.length === 1);
    await new Promise((resolve) => setTimeout(resolve, 2500));
    assert.equal(client.isClosed, false);
    answer(held[0]!);
    await client.closed();
    assert.deepEqual(client.statuses(), [200, 408]);
    assert.equal(server.arrivals.length, 1);
  });

  it('carries the responses to what was read before it is closed for a flood of requests', async () => {
    const server = await serve(answer);
    const lab = await start({ servers: [server] });
    const client = await Reader.connect(lab);
    client.socket.write(Array.from({ length: 500 }, (_none, index) => asking(`f${index}`)).join(''));
    await client.closed();
    const { length } = server.arrivals;
    assert.ok(length >= 32 && length < 100, `${length} passed on`);
    assert.deepEqual(
      client.texts(),
      server.arrivals.map((arrival) => `200 body of ${idOf(arrival)}`),
    );
  });

  it('passes nothing on behind a response that breaks off', async () => {
    const { held, server, lab } = await serveHeld();
    const client = await Reader.connect(lab);
    client.socket.write(asking('c1') + asking('c2'));
    await until(() => held.length === 1);
    const head = RawHttp.answer(200, { 'attempt-id': 'c1', 'transfer-encoding': 'chunked' });
    held[0]!.socket.write(head + RawHttp.chunk('a part'), () => held[0]!.socket.destroy());
    await client.closed();
    assert.deepEqual(client.statuses(), ['cut']);
    await manyTurns();
    assert.deepEqual(server.arrivals.map(idOf), ['c1']);
  });

  it('carries a whole response to a client that reads late, while the proxy drains', async () => {
    const body = 'x'.repeat(8 * 1024 * 1024);
    const server = await serve((arrival) => void reply(arrival, body));
    const lab = await start({ servers: [server] });
    const client = await Reader.connect(lab);
    client.socket.pause();
    client.socket.write(asking('c1'));
    await until(() => server.arrivals.length === 1);
    const drain = setInterval(() => lab.server.closeIdleConnections(), 5);
    await new Promise((resolve) => setTimeout(resolve, 200));
    client.socket.resume();
    await client.closed();
    clearInterval(drain);
    assert.deepEqual(
      client.answers().map(({ body: { length }, end }) => [length, end]),
      [[body.length, 'whole']],
    );
  });

  // With data that nobody reads, a system resets a closed connection, and drops what it has not delivered.
  const closesAtRest: Readonly<Record<string, readonly [(lab: Lab) => void, (lab: Lab) => void]>> = {
    'an announced close': [(lab) => lab.announceEnd(), () => {}],
    'a change of the limits': [() => {}, (lab) => lab.setLimits(changes.idle(0))],
    'the idle timeout': [(lab) => lab.setLimits({ ...limits, idle: 50 }), () => {}],
  };
  for (const [what, [before, after]] of Object.entries(closesAtRest))
    it(`carries a whole response to a client that reads late and sends on behind ${what}`, async () => {
      const body = 'x'.repeat(3 * 1024 * 1024);
      const server = await serve((arrival) => void reply(arrival, body));
      const lab = await start({ servers: [server] });
      before(lab);
      const client = await Reader.connect(lab);
      client.socket.pause();
      client.socket.write(asking('c1'));
      await until(() => lab.active() === 1);
      await until(() => lab.active() === 0);
      after(lab);
      await new Promise((resolve) => setTimeout(resolve, idleTimeoutIsOverMs));
      client.socket.write(asking('c2'));
      await manyTurns();
      client.socket.resume();
      await client.closed();
      assert.deepEqual(
        client.answers().map(({ body: { length }, end }) => [length, end]),
        [[body.length, 'whole']],
      );
      assert.deepEqual(server.arrivals.map(idOf), ['c1']);
    });

  it('is reset if it is closed around a response that would look complete by its end', async () => {
    const { held, lab } = await serveHeld();
    const client = await Reader.connect(lab);
    client.socket.write(asking('c1').replace('HTTP/1.1', 'HTTP/1.0'));
    await until(() => held.length === 1);
    const head = RawHttp.answer(200, { 'attempt-id': 'c1', 'transfer-encoding': 'chunked' });
    held[0]!.socket.write(head + RawHttp.chunk('a part'));
    await until(() => client.socket.bytesRead > 0);
    await manyTurns();
    lab.server.closeAllConnections();
    await client.closed();
    assert.equal(client.isReset, true);
  });
});
