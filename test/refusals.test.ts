/**
 * Refusals that reach a caller which is still sending: it reads the response in place of a reset, after which it would send the
 * whole body again.
 */
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { connect } from 'node:net';
import { after, before, describe, it } from 'node:test';
import { InForce } from '../tools/in-force.js';
import { Bench } from './bench.js';

const regions = ['a'];
const maxBodyBytes = 1_000_000;
const bodyBytes = 2 * maxBodyBytes;
const callers = 24;
const manifest = Bench.openManifest({
  regions,
  group: { echo: 'bramblebend-request-id' },
  rules: [
    {
      name: 'plain',
      match: { path: '/plain/*' },
      groups: ['lookup'],
      runs: 'repeatable',
      home: { regions },
      affinity: false,
    },
  ],
  limits: { body_bytes: maxBodyBytes },
});

describe('a refusal to a caller that is still sending', { timeout: 60_000 }, () => {
  let bench: Bench;

  before(async () => {
    bench = await Bench.start({ manifest, fronts: 1 });
    await InForce.everywhere(bench.kit);
  });
  after(() => bench.stop());

  const requestHead = 'POST /plain/x HTTP/1.1\r\nhost: h\r\ncontent-type: text/plain\r\n';
  /** The first line of the response, or the error. */
  const sendRaw = async (head: string, pieces: readonly string[]): Promise<string> =>
    (await exchange(head, pieces)).split('\r\n')[0]!;
  /** Sends everything before it reads anything; all that comes back, or the error. */
  const exchange = async (head: string, pieces: readonly string[]): Promise<string> => {
    const [host, port] = bench.kit.fronts[0]!.listen.split(':');
    const socket = connect(Number(port), host!);
    let text = '';
    let failure = '';
    socket.on('error', (error) => {
      failure = String(error);
    });
    await once(socket, 'connect');
    socket.write(head);
    for (const piece of pieces) {
      if (socket.destroyed) break;
      if (!socket.write(piece))
        await Promise.race([once(socket, 'drain'), once(socket, 'close')]).catch(() => {});
    }
    socket.on('data', (bytes) => {
      text += String(bytes);
    });
    socket.once('end', () => socket.end());
    if (!socket.closed) await Promise.race([once(socket, 'close')]).catch(() => {});
    return text || failure;
  };
  const send = (head: string, pieces: readonly string[]) => sendRaw(`${requestHead}${head}\r\n\r\n`, pieces);
  const repeat = async (ask: () => Promise<string>): Promise<ReadonlySet<string>> => {
    const answers = [];
    for (let count = 0; count < callers; count += 1) answers.push(await ask());
    return new Set(answers);
  };
  const pieceBytes = 64 * 1024;
  const piece = 'a'.repeat(pieceBytes);
  const chunk = `${pieceBytes.toString(16)}\r\n${piece}\r\n`;
  const pieces = (text: string) => Array.from({ length: Math.ceil(bodyBytes / pieceBytes) }, () => text);

  it('is read by every caller whose body has a length', async () => {
    const head = `content-length: ${pieceBytes * pieces(piece).length}`;
    assert.deepEqual(
      await repeat(() => send(head, pieces(piece))),
      new Set(['HTTP/1.1 413 Payload Too Large']),
    );
  });

  it('is read by every caller whose body comes in chunks', async () => {
    const ask = () => send('transfer-encoding: chunked', [...pieces(chunk), '0\r\n\r\n']);
    assert.deepEqual(await repeat(ask), new Set(['HTTP/1.1 413 Payload Too Large']));
  });

  it('is read by every caller that asks whether it may send its body, and sends it', async () => {
    const head = `${requestHead}expect: 100-continue\r\ncontent-length: ${bodyBytes}\r\n\r\n`;
    const ask = async () => {
      const text = await exchange(head, pieces(piece));
      return text.split('\r\n').find((line) => line.startsWith('HTTP/1.1 4')) ?? text;
    };
    assert.deepEqual(await repeat(ask), new Set(['HTTP/1.1 413 Payload Too Large']));
  });

  it('is read by every caller whose head is too long', async () => {
    const field = `x-long: ${piece}\r\n`;
    assert.deepEqual(
      await repeat(() => sendRaw(requestHead, pieces(field))),
      new Set(['HTTP/1.1 431 Request Header Fields Too Large']),
    );
  });

  it('is read by every caller that does not send HTTP', async () => {
    assert.deepEqual(await repeat(() => sendRaw('?', pieces(piece))), new Set(['HTTP/1.1 400 Bad Request']));
  });

  it('is given to a caller whose body is malformed', async () => {
    assert.equal(await send('transfer-encoding: chunked', ['no length\r\n']), 'HTTP/1.1 400 Bad Request');
  });

  it('is not given in place of the answer to an earlier request that is under way', async () => {
    const server = await bench.backEnd({ instance: 'l1', group: 'lookup', region: 'a', handle: () => {} });
    await bench.list([server]);
    const waiting = `${requestHead}content-length: 0\r\n\r\n`;
    while (server.reached.length === 0) assert.doesNotMatch(await sendRaw(`${waiting}?\r\n`, []), /400/);
  });

  it('is not followed by an answer to what else was sent', async () => {
    const next = 'POST /plain/x HTTP/1.1\r\nhost: h\r\ncontent-length: 0\r\n\r\n';
    const answer = await send('transfer-encoding: chunked', [...pieces(chunk), '0\r\n\r\n', next]);
    assert.equal(answer, 'HTTP/1.1 413 Payload Too Large');
  });
});
