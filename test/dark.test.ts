// Dark servers: the first proxy that finds one dark tells the others, so that it costs the fleet hardly a try;
// it is proved again in the background and then fed gently. Frames from a newer program are dropped and counted.
import assert from 'node:assert/strict';
import { connect } from 'node:net';
import { after, before, describe, it } from 'node:test';
import protobuf from 'protobufjs';
import { Stamp } from '../src/common/stamp.js';
import { Frame } from '../src/wire/frame.js';
import type { FleetKit } from '../tools/fleet-kit.js';
import { Bench } from './bench.js';

const serve: Bench.Handle = (_request, response) => Bench.sse(response, ['one']);

describe('dark', () => {
  let bench: Bench;
  let a: Bench.BackEnd;
  let b: Bench.BackEnd;

  before(async () => {
    bench = await Bench.start({ fronts: 3, hasFaults: true });
    a = await bench.backEnd({ instance: 'a1', group: 'llm', region: 'a', handle: serve });
    b = await bench.backEnd({ instance: 'b1', group: 'llm', region: 'b', handle: serve });
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
  const untilDark = async (wanted: readonly string[]) => {
    for (const front of [0, 1, 2])
      while (JSON.stringify(await darkAt(front)) !== JSON.stringify(wanted))
        await new Promise((resolve) => setImmediate(resolve));
  };

  it('tells the others of a server that is gone, so that none of them tries it', async () => {
    for (let count = 0; count < 60; count += 1) await chatAt(count);
    await a.stop();
    const first = await chatAt(0);
    assert.equal(first.headers['bramblebend-region'], 'b');
    await untilDark(['a1']);
    for (let count = 0; count < 30; count += 1) {
      const answer = await chatAt(count);
      assert.equal(answer.status, 200);
      assert.equal(answer.headers['bramblebend-tries'], '1');
    }
  });

  it('proves it again in the background, and feeds it gently each time that it is back', async () => {
    const fedAt = (front: FleetKit.Front) =>
      fetch(`http://${front.ops}/log`)
        .then((answer) => answer.json() as Promise<{ message: string; instance?: string }[]>)
        .then((log) => log.filter((one) => one.message === 'fed gently' && one.instance === 'a1').length);
    for (const times of ['first', 'again within the ramp']) {
      const before = await Promise.all(bench.kit.fronts.map(fedAt));
      if (times !== 'first') {
        await a.stop();
        assert.equal((await chatAt(0)).status, 200);
        await untilDark(['a1']);
      }
      a = await bench.backEnd({ ...a, handle: serve });
      await untilDark([]);
      while ((await chatAt(0)).headers['bramblebend-region'] !== 'a');
      const after = await Promise.all(bench.kit.fronts.map(fedAt));
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
      let held: Buffer = Buffer.alloc(0);
      const beats = setInterval(() => socket.write(encode({ novelty: { text: 'again' } })), 100);
      socket.write(encode({ novelty: { text: 'before hello' } }));
      socket.write(encode({ hello: { self, version: '9', aim: 'session', newer: ['a'] } }));
      socket.on('data', (chunk: Buffer) => {
        held = Buffer.concat([held, chunk]);
        while (held.length >= 4 && held.length >= 4 + held.readUInt32BE(0)) {
          seen.push(Frame.decode(held.subarray(4, 4 + held.readUInt32BE(0)))!.kind);
          held = held.subarray(4 + held.readUInt32BE(0));
        }
        if (seen.filter((kind) => kind === 'ping').length <= 15) return;
        clearInterval(beats);
        socket.end();
      });
      socket.on('close', () => {
        clearInterval(beats);
        resolve();
      });
    });
    assert.ok(seen.includes('welcome'));
    assert.ok(seen.filter((kind) => kind === 'ping').length > 15, 'the link outlived the frames');
    const metrics = await (await fetch(`http://${core.http}/metrics`)).text();
    assert.match(metrics, /bramblebend_frames_unknown [1-9]/);
    assert.deepEqual(
      Frame.decode(Frame.encode(Stamp.none, { kind: 'ping', age: 3 }).subarray(4))?.kind,
      'ping',
    );
  });
});
