/**
 * Clients that do not behave, at the ports of a front: bodies that stop just before their end, in chunks large and small or with
 * a length, more connections than the machine has descriptors, requests sent without waiting for answers, and answers that are
 * not read. Guards against a front that runs out of memory or descriptors (issue 52).
 */
import assert from 'node:assert/strict';
import { once } from 'node:events';
import type { Socket } from 'node:net';
import { afterEach, beforeEach, describe, it } from 'node:test';
import { HostileCrowd } from '../tools/platform/hostile-crowd.js';
import { HostileKit } from './hostile-kit.js';

describe('a front with clients that do not behave', { timeout: 170_000 }, () => {
  let fleet: HostileKit;
  let crowd: Socket[];
  const chunked = 'transfer-encoding: chunked';

  beforeEach(async () => {
    fleet = await HostileKit.start();
    crowd = [];
  });
  afterEach(async () => {
    for (const socket of crowd) socket.destroy();
    await fleet.end();
  });

  /** Each of the crowd sends its pieces and stays open; an ordinary client asks meanwhile. */
  const press = async (count: number, pieces: () => Iterable<Uint8Array | string>): Promise<void> => {
    crowd = await HostileCrowd.openMany(count, fleet.front.listen);
    await Promise.all(crowd.map((socket) => HostileCrowd.send(socket, pieces())));
    await HostileKit.settle(fleet.front, fleet.front.listen);
    await HostileKit.askUntilServed(fleet.front);
    HostileKit.check(fleet.front);
  };

  it('holds bodies in large chunks that stop just before their end', () =>
    press(48, () => HostileCrowd.largeChunks(HostileKit.head(chunked), HostileKit.maxBodyBytes)));

  it('gives up more bodies than it may hold, whose connections linger', () =>
    press(150, () => HostileCrowd.largeChunks(HostileKit.head(chunked), HostileKit.maxBodyBytes)));

  it('holds bodies with a length that stop just before their end', () =>
    press(48, () =>
      HostileCrowd.withLength(
        HostileKit.head(`content-length: ${HostileKit.maxBodyBytes}`),
        HostileKit.maxBodyBytes,
      ),
    ));

  it('holds bodies in chunks of one byte', () =>
    press(24, () => HostileCrowd.smallChunks(HostileKit.head(chunked), 256 * 1024)));

  it('has more connections than descriptors', async () => {
    crowd = await HostileCrowd.openMany(450, fleet.front.listen);
    await HostileKit.settle(fleet.front, fleet.front.listen);
    await HostileKit.askUntilServed(fleet.front);
    HostileKit.check(fleet.front);
  });

  it('has more connections than descriptors, each with a body begun', () =>
    press(450, () => [HostileKit.head('content-length: 2'), 'a']));

  it('has more connections than descriptors at its operations port', async () => {
    crowd = await HostileCrowd.openMany(450, fleet.front.ready);
    await HostileKit.settle(fleet.front, fleet.front.ready);
    await HostileKit.askUntilServed(fleet.front);
    HostileKit.check(fleet.front);
  });

  it('gets many requests on each connection without waiting for the answers', () =>
    press(80, function* () {
      yield HostileKit.head('content-length: 0', HostileKit.slowPath);
      for (let index = 0; index < 1500; index += 1) yield HostileKit.head('content-length: 0', '/unknown');
    }));

  it('has a request under way on each of many connections', () =>
    press(250, () => [HostileKit.head('content-length: 0', HostileKit.slowPath)]));

  it('serves a single body of the largest size', async () => {
    crowd = await HostileCrowd.openMany(1, fleet.front.listen);
    const [socket] = crowd;
    let answer = '';
    socket!.on('data', (bytes) => {
      answer += String(bytes);
    });
    await HostileCrowd.send(socket!, [
      HostileKit.head(`content-length: ${HostileKit.maxBodyBytes}\r\nconnection: close`),
      Buffer.alloc(HostileKit.maxBodyBytes, 'a'),
    ]);
    if (!socket!.closed) await once(socket!, 'close');
    assert.match(answer, /^HTTP\/1\.1 200 /);
  });

  it('serves a single body in chunks of one byte', async () => {
    crowd = await HostileCrowd.openMany(1, fleet.front.listen);
    const [socket] = crowd;
    let answer = '';
    socket!.on('data', (bytes) => {
      answer += String(bytes);
    });
    await HostileCrowd.send(socket!, [
      HostileKit.head(`${chunked}\r\nconnection: close`),
      '1\r\na\r\n'.repeat(256 * 1024),
      '0\r\n\r\n',
    ]);
    if (!socket!.closed) await once(socket!, 'close');
    assert.match(answer, /^HTTP\/1\.1 200 /);
    HostileKit.check(fleet.front);
  });
});
