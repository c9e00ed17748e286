/**
 * The age of the last message from the primary has to grow on its way. The transfer time between two nodes is not part
 * of the age, so a node passes it on over a socket only with its periodic pings: two agents that became each other's
 * parent and passed it on at once would keep it low for as long as they stayed so.
 */
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { type AddressInfo, createServer, type Socket } from 'node:net';
import { describe, it } from 'node:test';
import { Agent } from '../src/agent/program.js';
import { Address } from '../src/common/address.js';
import { Stamp } from '../src/common/stamp.js';
import { LogBuffer } from '../src/log/log-buffer.js';
import { Link } from '../src/wire/link.js';

const linkOptions = { stamp: () => Stamp.none, age: () => 0 };
const burst = 200;

describe('word from the primary', () => {
  it('is not passed on over a socket as often as it comes', async () => {
    const core = createServer();
    core.listen(0, '127.0.0.1');
    await once(core, 'listening');
    const seeds = [`127.0.0.1:${(core.address() as AddressInfo).port}`];
    const agent = await Agent.start(
      { node: 'agent', zone: 'a-1', wire: '127.0.0.1:0', ops: '127.0.0.1:0', seeds },
      LogBuffer.of('agent'),
    );
    const [socket] = (await once(core, 'connection')) as [Socket];
    const above = Link.fromSocket(socket, { ...linkOptions, pingEvery: 60_000, silence: 60_000 });
    const frames = above.frames();
    const { value: hello } = await frames.next();
    assert.ok(hello?.kind === 'hello');
    const self = { ...hello.self, node: 'core', program: 'control' };
    above.send({ kind: 'welcome', self, peers: [], relays: [], version: '', age: 0 });
    const child = await Link.open(Address.checked(agent.ready.wire!), linkOptions);
    const below = child.frames();
    const next = async (kind: string): Promise<string[]> => {
      const kinds: string[] = [];
      while (kinds.at(-1) !== kind) {
        const { value } = await below.next();
        assert.ok(value);
        kinds.push(value.kind);
      }
      return kinds;
    };
    try {
      child.send({ kind: 'hello', self: { ...hello.self, node: 'child' }, version: '', aim: 'session' });
      await next('roster');
      for (let count = 0; count < burst; count += 1) above.send({ kind: 'ping', age: 0 });
      above.send({ kind: 'roster', proxies: ['one'], added: [], departed: [], digest: '', whole: true });
      const pings = (await next('roster')).filter((kind) => kind === 'ping').length;
      assert.ok(pings < burst / 2, `${pings} pings for ${burst}`);
    } finally {
      above.close();
      child.close();
      core.close();
      await agent.drain();
    }
  });
});
