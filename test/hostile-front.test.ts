/**
 * Clients that do not behave, at the ports of a front: bodies that stop just before their end, in chunks large and small or with
 * a length, more connections than the machine has descriptors, requests sent without waiting for answers, and answers that are
 * not read. Guards against a front that runs out of memory or descriptors (issue 52).
 */
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { describe, it } from 'node:test';
import { HostileCrowd } from '../tools/platform/hostile-crowd.js';
import { HostileKit } from './hostile-kit.js';

describe('a front with clients that do not behave', { timeout: 170_000 }, () => {
  const scene = HostileKit.scene();
  const chunked = 'transfer-encoding: chunked';

  /** An ordinary client is served while the crowd stays, and the front is within its limits. */
  const judge = async (address: string): Promise<void> => {
    const { front } = scene.fleet();
    await HostileKit.settle(front, address);
    await HostileKit.askUntilServed(front);
    HostileKit.check(front);
  };
  /** Each of the crowd sends its pieces and stays open. */
  const press = async (count: number, pieces: HostileCrowd.Pieces): Promise<void> => {
    const { listen } = scene.fleet().front;
    await scene.send(count, listen, pieces);
    await judge(listen);
  };
  const pressWithConnections = async (count: number, address: string): Promise<void> => {
    await scene.open(count, address);
    await judge(address);
  };
  /** One client sends a request and is served. */
  const serveOne = async (pieces: Iterable<Uint8Array | string>): Promise<void> => {
    const { socket, received } = await scene.sendOne(scene.fleet().front.listen, pieces);
    if (!socket.closed) await once(socket, 'close');
    assert.match(received(), /^HTTP\/1\.1 200 /);
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

  it('has more connections than descriptors', () => pressWithConnections(450, scene.fleet().front.listen));

  it('has more connections than descriptors, each with a body begun', () =>
    press(450, () => [HostileKit.head('content-length: 2'), 'a']));

  it('has more connections than descriptors at its operations port', () =>
    pressWithConnections(450, scene.fleet().front.ready));

  it('gets many requests on each connection without waiting for the answers', () =>
    press(80, function* () {
      yield HostileKit.head('content-length: 0', HostileKit.slowPath);
      for (let index = 0; index < 1500; index += 1) yield HostileKit.head('content-length: 0', '/unknown');
    }));

  it('has a request under way on each of many connections', () =>
    press(250, () => [HostileKit.head('content-length: 0', HostileKit.slowPath)]));

  it('serves a single body of the largest size', () =>
    serveOne([
      HostileKit.head(`content-length: ${HostileKit.maxBodyBytes}\r\nconnection: close`),
      Buffer.alloc(HostileKit.maxBodyBytes, 'a'),
    ]));

  it('serves a single body in chunks of one byte', async () => {
    await serveOne([
      HostileKit.head(`${chunked}\r\nconnection: close`),
      '1\r\na\r\n'.repeat(256 * 1024),
      '0\r\n\r\n',
    ]);
    HostileKit.check(scene.fleet().front);
  });
});
