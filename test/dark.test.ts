/**
 * Unreachable ("dark") servers: the first proxy that finds one reports it to the others, so that they lose no tries on it.
 * It is checked in the background, and goes through slow start each time it is back. Also: frames of a kind that only a
 * newer version knows are dropped and counted.
 */
import assert from 'node:assert/strict';
import { connect } from 'node:net';
import { after, before, describe, it } from 'node:test';
import protobuf from 'protobufjs';
import { Stamp } from '../src/common/stamp.js';
import { Frame } from '../src/wire/frame.js';
import type { FleetKit } from '../tools/fleet-kit.js';
import { Bench } from './bench.js';

const answerOne: Bench.Handle = (_request, response) => Bench.sse(response, ['one']);

describe('unreachable servers', () => {
  let bench: Bench;
  let a: Bench.BackEnd;
  let b: Bench.BackEnd;

  before(async () => {
    bench = await Bench.start({ fronts: 3, hasFaults: true });
    a = await bench.backEnd({ instance: 'a1', group: 'llm', region: 'a', handle: answerOne });
    b = await bench.backEnd({ instance: 'b1', group: 'llm', region: 'b', handle: answerOne });
    await bench.list([a, b]);
  });
  after(() => bench.stop());

  const chatAt = (front: number) =>
    Bench.call(
      bench.kit.fronts[front % 3]!.listen,
      '/v1/chat/completions',
      { model: 'again', messages: [] },
      {},
    );
  const darkAt = async (front: number) =>
    ((await (await fetch(`http://${bench.kit.fronts[front]!.ops}/health`)).json()) as { dark: string[] })
      .dark;
  const waitUntilDark = async (wanted: readonly string[]) => {
    for (const front of [0, 1, 2])
      while (JSON.stringify(await darkAt(front)) !== JSON.stringify(wanted))
        await new Promise((resolve) => setImmediate(resolve));
  };

  it('reports a stopped server to the other proxies, so that none of them tries it', async () => {
    for (let count = 0; count < 60; count += 1) await chatAt(count);
    await a.stop();
    const first = await chatAt(0);
    assert.equal(first.headers['bramblebend-region'], 'b');
    await waitUntilDark(['a1']);
    for (let count = 0; count < 30; count += 1) {
      const answer = await chatAt(count);
      assert.equal(answer.status, 200);
      assert.equal(answer.headers['bramblebend-tries'], '1');
    }
  });

  it('checks it in the background, and starts slow start each time it is back', async () => {
    const slowStartsAt = (front: FleetKit.Front) =>
      fetch(`http://${front.ops}/log`)
        .then((answer) => answer.json() as Promise<{ message: string; instance?: string }[]>)
        .then((log) => log.filter((one) => one.message === 'fed gently' && one.instance === 'a1').length);
    for (const times of ['first', 'again during slow start']) {
      const before = await Promise.all(bench.kit.fronts.map(slowStartsAt));
      if (times !== 'first') {
        await a.stop();
        assert.equal((await chatAt(0)).status, 200);
        await waitUntilDark(['a1']);
      }
      a = await bench.backEnd({ ...a, handle: answerOne });
      await waitUntilDark([]);
      while ((await chatAt(0)).headers['bramblebend-region'] !== 'a');
      const after = await Promise.all(bench.kit.fronts.map(slowStartsAt));
      for (const [index, count] of after.entries()) assert.ok(count > before[index]!, `${times}: ${index}`);
    }
  });

  it('drops and counts frames of an unknown kind, reads past unknown fields, and keeps the link', async () => {
    const { root } = protobuf.parse(
      `syntax = "proto3";
      message Stamp { uint64 epoch = 1; uint64 revision = 2; string newer = 90; }
      message Entry { string node = 1; string program = 2; string zone = 3; string boot = 4; Stamp stamp = 5; bytes newer = 90; }
      message Hello { Entry self = 1; string version = 2; string aim = 3; repeated string newer = 90; }
      message Novelty { string text = 1; }
      message Frame { Stamp stamp = 1; oneof body { Hello hello = 2; Novelty novelty = 90; } uint32 newer = 91; }`,
      { keepCase: true },
    );
    const type = root.lookupType('Frame');
    const encode = (body: object) => {
      const bytes = type.encode(type.fromObject({ stamp: { newer: 'x' }, newer: 7, ...body })).finish();
      const head = Buffer.alloc(4);
      head.writeUInt32BE(bytes.length, 0);
      return Buffer.concat([head, bytes]);
    };
    const core = bench.kit.cores[0]!;
    const [host, port] = core.wire.split(':');
    const self = {
      node: 'from-the-future',
      program: 'agent',
      zone: 'a-1',
      boot: 'b',
      stamp: {},
      newer: Buffer.from('z'),
    };
    const seen: string[] = [];
    await new Promise<void>((resolve) => {
      const socket = connect(Number(port), host);
      let received: Buffer = Buffer.alloc(0);
      const interval = setInterval(() => socket.write(encode({ novelty: { text: 'again' } })), 100);
      socket.write(encode({ novelty: { text: 'before hello' } }));
      socket.write(encode({ hello: { self, version: '9', aim: 'session', newer: ['a'] } }));
      socket.on('data', (chunk: Buffer) => {
        received = Buffer.concat([received, chunk]);
        while (received.length >= 4 && received.length >= 4 + received.readUInt32BE(0)) {
          seen.push(Frame.decode(received.subarray(4, 4 + received.readUInt32BE(0)))!.kind);
          received = received.subarray(4 + received.readUInt32BE(0));
        }
        if (seen.filter((kind) => kind === 'ping').length <= 15) return;
        clearInterval(interval);
        socket.end();
      });
      socket.on('close', () => {
        clearInterval(interval);
        resolve();
      });
    });
    assert.ok(seen.includes('welcome'));
    assert.ok(seen.filter((kind) => kind === 'ping').length > 15, 'the link stays open after unknown frames');
    const metrics = await (await fetch(`http://${core.http}/metrics`)).text();
    assert.match(metrics, /bramblebend_frames_unknown [1-9]/);
    assert.deepEqual(
      Frame.decode(Frame.encode(Stamp.none, { kind: 'ping', age: 3 }).subarray(4))?.kind,
      'ping',
    );
  });
});
