/**
 * Clients that do not behave, at the ports of a control node: orders that stop just before their end or hold far more values
 * than bytes suggest, answers that nobody reads, and more connections than the machine has descriptors. Guards against a control
 * node that runs out of memory or descriptors (issue 52).
 */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { HostileCrowd } from '../tools/platform/hostile-crowd.js';
import { HostileKit } from './hostile-kit.js';
import { PlatformKit } from './platform-kit.js';

const orderBytes = 16 * 1024 * 1024;

describe('a control node with clients that do not behave', { timeout: 170_000 }, () => {
  const scene = HostileKit.scene();

  const orderHead = (framing: string, base: number): string =>
    `POST /configuration/replace HTTP/1.1\r\nhost: control\r\nbase-revision: ${base}\r\ncontent-type: application/json\r\n${framing}\r\n\r\n`;

  /** The newest configuration is read back, and a new one is taken, while the crowd holds its connections. */
  const operate = async (revision = 2): Promise<void> => {
    const { core, kit } = scene.fleet();
    await PlatformKit.waitUntil(
      async () => {
        const read = await kit.call(core, 'GET', '/configuration/read').catch(() => undefined);
        return read?.status === 200 ? true : undefined;
      },
      'the configuration is read at the pressed core',
      HostileKit.hangMs,
    );
    const { status } = await kit.sendCommand(
      '/configuration/replace',
      HostileKit.configurationText(revision),
      { 'base-revision': String(revision - 1) },
    );
    assert.equal(status, 200);
  };

  /** A new configuration is taken while the crowd stays, and the control node is within its limits. */
  const judge = async (revision?: number): Promise<void> => {
    const { core } = scene.fleet();
    await HostileKit.settle(core, core.http);
    await operate(revision);
    HostileKit.check(core);
  };
  const hold = async (count: number, pieces: HostileCrowd.Pieces): Promise<void> => {
    await scene.send(count, scene.fleet().core.http, pieces);
    await judge();
  };

  it('holds orders that stop just before their end', () =>
    hold(14, () => HostileCrowd.withLength(orderHead(`content-length: ${orderBytes}`, 1), orderBytes)));

  it('holds orders in chunks of one byte', () =>
    hold(24, () => HostileCrowd.smallChunks(orderHead('transfer-encoding: chunked', 1), 256 * 1024)));

  it('gets an order of many small values', async () => {
    const { core } = scene.fleet();
    const value = '{},';
    const body = `{"revision":2,"route-table":[${value.repeat(Math.floor((orderBytes - 100) / value.length))}{}]}`;
    const { socket, received } = await scene.sendOne(core.http, [
      orderHead(`content-length: ${body.length}`, 1),
      body,
    ]);
    await PlatformKit.waitUntil(
      () => (received() !== '' || socket.destroyed ? true : undefined),
      'the order is answered or its connection closed',
    );
    assert.doesNotMatch(received(), /^HTTP\/1\.1 200/);
    await judge();
  });

  it('gives answers that nobody reads', async () => {
    const { core, kit } = scene.fleet();
    const note = 'n'.repeat(1_500_000);
    const { status } = await kit.sendCommand(
      '/configuration/replace',
      HostileKit.configurationText(2, { note }),
      { 'base-revision': '1' },
    );
    assert.equal(status, 200);
    const crowd = await scene.open(30, core.http);
    const question = 'GET /configuration/read HTTP/1.1\r\nhost: control\r\n\r\n';
    for (const socket of crowd) {
      socket.pause();
      socket.write(question.repeat(20));
    }
    await judge(3);
  });

  it('has more connections than descriptors', async () => {
    const { core } = scene.fleet();
    await scene.open(450, core.http);
    await judge();
  });

  it('has more connections than descriptors at its directory', async () => {
    const { core } = scene.fleet();
    await scene.open(450, core.directory);
    await HostileKit.settle(core, core.directory);
    await PlatformKit.waitUntil(async () => {
      const found = await scene
        .fleet()
        .kit.call(
          { ...core, http: core.directory },
          'GET',
          '/resolution?name=nony24.example&region=sto&zone=sto-a',
        )
        .catch(() => undefined);
      return found?.status === 200 ? true : undefined;
    }, 'the directory answers');
    await judge();
  });
});
