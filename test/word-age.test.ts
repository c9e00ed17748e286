// Word from the primary grows old also where two agents have come to stand below each other: nothing that they tell
// one another makes it younger, so that they leave and look for a control node.
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer, type Socket } from 'node:net';
import { after, before, describe, it } from 'node:test';
import { Agent } from '../src/agent/program.js';
import { Stamp } from '../src/kinds/stamp.js';
import { Ring } from '../src/log/ring.js';
import { View } from '../src/manifest/view.js';
import { Link } from '../src/wire/link.js';

const ip = (last: number) => `127.${90 + (process.pid % 90)}.${Math.floor(process.pid / 90) % 250}.${last}`;
const wire = (last: number) => `${ip(last)}:7000`;

describe('word from the primary', () => {
  const ended: (() => unknown)[] = [];
  const ops: string[] = [];

  const startAgent = async (node: string, last: number, seeds: readonly string[]) => {
    const startup = { node, zone: 'a-1', wire: wire(last), ops: `${ip(last)}:0`, seeds: [...seeds] };
    const agent = await Agent.start(startup, Ring.of(node));
    ended.push(agent.drain);
    ops.push(agent.ready.ops!);
    return agent;
  };
  const read = async (place: string) => {
    const health = (await (await fetch(`http://${place}/health`)).json()) as { parent: string };
    const metrics = await (await fetch(`http://${place}/metrics`)).text();
    return { parent: health.parent, age: Number(/^[a-z_]*news_age_seconds\S* ([-+.\de]+)$/m.exec(metrics)?.[1]) };
  };

  before(async () => {
    const core = createServer();
    core.listen(7000, ip(1));
    await once(core, 'listening');
    ended.push(() => core.close());
    const [, second] = await Promise.all([
      startAgent('one', 2, [wire(1), wire(3)]),
      startAgent('two', 3, [wire(2)]),
    ]);
    assert.ok(second);
    const [socket] = (await once(core, 'connection')) as [Socket];
    core.close();
    const link = Link.over(socket, {
      stamp: () => Stamp.of(1, 1),
      age: () => 0,
      isSteady: true,
      pingEvery: 20,
    });
    const view = {
      ...View.empty,
      stamp: Stamp.of(1, 1),
      manifest: { revision: 1, epoch: 1, document: { rules: [] } },
    } as unknown as View;
    for await (const frame of link.frames()) {
      if (frame.kind === 'hello') {
        const self = { ...frame.self, node: 'core', program: 'control' };
        link.send({ kind: 'welcome', self, peers: [wire(3)], relays: [], version: '', age: 0 });
        link.send({ kind: 'news', view: View.encode(view) });
      }
      const isBelow = frame.kind === 'roll' && frame.entries.some(({ node }) => node === 'two');
      if (isBelow && (await read(ops[1]!)).age < 1) break;
    }
    link.close();
  });
  after(() => Promise.all(ended.map((end) => end())));

  it('grows old where two agents hear it from each other alone', async () => {
    for (;;) {
      const [one, two] = await Promise.all(ops.map(read));
      if (one!.age > 3 && two!.age > 3) return;
    }
  });
});
