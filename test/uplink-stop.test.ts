/** The end of a session that is still looking for a parent. */
import assert from 'node:assert/strict';
import { createServer } from 'node:net';
import { describe, it } from 'node:test';
import { Stamp } from '../src/common/stamp.js';
import { Timer } from '../src/common/timer.js';
import { MemberTable } from '../src/membership/member-table.js';
import { Uplink } from '../src/membership/uplink.js';
import { Feed } from '../src/news/feed.js';
import { LinkServer } from '../src/wire/link-server.js';

const members = MemberTable.of(() => ({
  node: 'agent',
  program: 'agent',
  zone: 'a-1',
  boot: 'agent',
  stamp: Stamp.none,
  http: '',
  wire: '',
  ops: '',
  depth: 0,
  ready: true,
  vouched: false,
}));

/** An address at which nothing listens. */
const refusingAddress = (): Promise<string> =>
  new Promise((resolve) => {
    const server = createServer().listen(0, '127.0.0.1', () => {
      const { port } = server.address() as { port: number };
      server.close(() => resolve(`127.0.0.1:${port}`));
    });
  });

describe('a session that is stopped while it waits to dial its second parent', () => {
  it('ends and dials nobody', async () => {
    const joined: string[] = [];
    const second = await LinkServer.open({
      address: { host: '127.0.0.1', port: 0 },
      stamp: () => Stamp.none,
      age: () => 0,
      note() {},
      async serve(link, hello, frames) {
        joined.push(hello.self.node);
        for await (const _frame of frames) link.flushed();
      },
    });
    for (const stopAfterMs of [2, 8, 15, 22]) {
      const uplink = Uplink.run({
        feed: Feed.of(),
        members,
        seeds: [await refusingAddress(), LinkServer.text(second)],
        version: '',
        hasFixedCandidates: true,
        reportsMembers: true,
        note() {},
      });
      await Timer.sleep(stopAfterMs);
      uplink.stop();
      const isEnded = await Promise.race([uplink.done.then(() => true), Timer.sleep(1500).then(() => false)]);
      assert.ok(isEnded, `stopped after ${stopAfterMs} ms`);
    }
    await second.close();
  });
});
