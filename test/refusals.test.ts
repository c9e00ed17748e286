/**
 * Refusals that reach a caller which is still sending: it reads the response in place of a reset, after which it would send the
 * whole body again.
 */
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { connect } from 'node:net';
import { after, before, describe, it } from 'node:test';
import type { Document } from '../src/manifest/document.js';
import { InForce } from '../tools/in-force.js';
import { Bench } from './bench.js';

const regions = ['a'];
const maxBodyBytes = 1_000_000;
const bodyBytes = 2 * maxBodyBytes;
const callers = 24;
const manifest = {
  zones: Bench.manifest.zones,
  groups: {
    lookup: {
      kind: 'plain',
      regions,
      echo: 'bramblebend-request-id',
      proof: { header: 'x-wanted-instance', misdirected: 421 },
      not_run: [{ status: 421 }],
    },
  },
  homes: { all: { regions } },
  teams: { everybody: { keys: [], home: 'all', open: true } },
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
} as unknown as Document;

describe('a refusal to a caller that is still sending', { timeout: 60_000 }, () => {
  let bench: Bench;

  before(async () => {
    bench = await Bench.start({ manifest, fronts: 1 });
    await InForce.everywhere(bench.kit);
  });
  after(() => bench.stop());

  /** Sends everything before it reads anything; the first line of the response, or the error. */
  const send = async (head: string, pieces: readonly string[]): Promise<string> => {
    const [host, port] = bench.kit.fronts[0]!.listen.split(':');
    const socket = connect(Number(port), host!);
    let text = '';
    let failure = '';
    socket.on('error', (error) => {
      failure = String(error);
    });
    await once(socket, 'connect');
    socket.write(`POST /plain/x HTTP/1.1\r\nhost: h\r\ncontent-type: text/plain\r\n${head}\r\n\r\n`);
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
    return text.split('\r\n')[0] || failure;
  };
  const pieceBytes = 64 * 1024;
  const piece = 'a'.repeat(pieceBytes);
  const chunk = `${pieceBytes.toString(16)}\r\n${piece}\r\n`;
  const pieces = (text: string) => Array.from({ length: Math.ceil(bodyBytes / pieceBytes) }, () => text);

  it('is read by every caller whose body has a length', async () => {
    const answers = [];
    for (let count = 0; count < callers; count += 1)
      answers.push(await send(`content-length: ${pieceBytes * pieces(piece).length}`, pieces(piece)));
    assert.deepEqual(new Set(answers), new Set(['HTTP/1.1 413 Payload Too Large']));
  });

  it('is read by every caller whose body comes in chunks', async () => {
    const answers = [];
    for (let count = 0; count < callers; count += 1)
      answers.push(await send('transfer-encoding: chunked', [...pieces(chunk), '0\r\n\r\n']));
    assert.deepEqual(new Set(answers), new Set(['HTTP/1.1 413 Payload Too Large']));
  });

  it('is not followed by an answer to what else was sent', async () => {
    const next = 'POST /plain/x HTTP/1.1\r\nhost: h\r\ncontent-length: 0\r\n\r\n';
    const answer = await send('transfer-encoding: chunked', [...pieces(chunk), '0\r\n\r\n', next]);
    assert.equal(answer, 'HTTP/1.1 413 Payload Too Large');
  });
});
