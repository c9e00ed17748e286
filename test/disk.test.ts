// Disks under the primary that stall, fill or vanish: it gives up its place, nothing acknowledged is lost,
// and a manifest is taken again within twelve seconds. Wall clocks that jump change nothing.
import assert from 'node:assert/strict';
import { rmSync } from 'node:fs';
import { after, before, describe, it } from 'node:test';
import { FleetKit } from '../tools/fleet-kit.js';
import { Bench } from './bench.js';

const backWithin = 12_000;

describe('disk and clock', () => {
  let bench: Bench;
  let count = 0;

  before(async () => {
    bench = await Bench.start({ hasFaults: true });
  });
  after(() => bench.stop());

  const tenure = async () => {
    for (;;) {
      const status = await bench.kit.operate('GET', '/v1/status').catch(() => undefined);
      if (status?.status === 200)
        return status.body.tenure as {
          primary: string;
          inSync: string[];
          cores: { disk: string; node: string }[];
        };
    }
  };
  const leading = async (): Promise<FleetKit.Core> => {
    let now = await tenure();
    while (now.inSync.length < 2) now = await tenure();
    const node = now.cores.find((core) => core.disk === now.primary)?.node;
    return bench.kit.cores.find((core) => core.node === node)!;
  };
  const readNote = async (): Promise<unknown> => {
    for (;;) {
      const read = await bench.kit.operate('GET', '/v1/manifest');
      if (read.status === 200) return read.body.note;
    }
  };
  const putAnywhere = async (): Promise<string> => {
    count += 1;
    const note = `note ${count}`;
    const began = performance.now();
    for (let turn = 0; ; turn += 1) {
      const { http } = bench.kit.cores[turn % 3]!;
      const headers = { authorization: `Bearer ${FleetKit.operatorToken}` };
      const read = await FleetKit.call(http, 'GET', '/v1/manifest', undefined, headers).catch(
        () => undefined,
      );
      const put =
        read?.status === 200
          ? await FleetKit.call(
              http,
              'PUT',
              '/v1/manifest',
              { ...Bench.manifest, note },
              {
                ...headers,
                'if-match': read.etag!,
              },
            ).catch(() => undefined)
          : undefined;
      if (put?.status === 200) return note;
      if (read?.status === 200 && read.body.note === note) return note;
      assert.ok(performance.now() - began < backWithin, 'no manifest was taken in time');
    }
  };

  for (const kind of ['stall', 'full', 'gone'] as const)
    it(`goes on when the primary’s disk is ${kind}`, async () => {
      const before = await putAnywhere();
      const first = await leading();
      const heal = bench.faults!.disk(first.node, kind);
      const began = performance.now();
      let note = await putAnywhere();
      while ((await leading()).node === first.node) note = await putAnywhere();
      assert.ok(performance.now() - began < backWithin);
      assert.notEqual(note, before);
      heal();
      await first.process?.end('SIGKILL');
      await bench.kit.startCore(first);
      assert.equal(await readNote(), note);
    });

  it('never counts the vote of an emptied core, and loses nothing by waiting for one that remembers', async () => {
    const first = await leading();
    const now = await tenure();
    const coreOf = (disk: string) =>
      bench.kit.cores.find((core) => core.node === now.cores.find((one) => one.disk === disk)?.node)!;
    const stale = coreOf(now.inSync.find((disk) => disk !== now.primary)!);
    const emptied = bench.kit.cores.find((core) => core !== first && core !== stale)!;
    const ip = (core: FleetKit.Core) => core.wire.split(':')[0]!;
    const heal = bench.faults!.cut([ip(stale)], [ip(first), ip(emptied)], 'both');
    const isMoved = async () => {
      const told = await fetch(`http://${first.http}/health`);
      const { tenure: at } = (await told.json()) as { tenure: typeof now };
      return at.inSync.length === 2 && !at.inSync.includes(now.inSync.find((disk) => disk !== now.primary)!);
    };
    while (!(await isMoved()));
    const note = await putAnywhere();
    await Promise.all([first, emptied].map((core) => core.process?.end('SIGKILL')));
    rmSync(emptied.data, { recursive: true, force: true });
    heal();
    await bench.kit.startCore(emptied);
    const triesOf = async () => {
      const ring = await (await fetch(`http://${stale.http}/log`)).text();
      return ring.split('taking over').length - 1;
    };
    const before = await triesOf();
    while ((await triesOf()) < before + 3) {
      const told = await fetch(`http://${stale.http}/health`);
      assert.equal(((await told.json()) as { state: string }).state, 'following');
    }
    await bench.kit.startCore(first);
    assert.equal(await readNote(), note);
  });

  it('goes on whatever the wall clocks say', async () => {
    const heals = bench.kit.cores.map((core, index) =>
      bench.faults!.clock(core.node, (index - 1) * 86_400_000),
    );
    const note = await putAnywhere();
    for (const heal of heals) heal();
    assert.equal(await readNote(), note);
    await putAnywhere();
  });
});
