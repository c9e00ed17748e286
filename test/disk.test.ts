/**
 * Faults of the primary's disk (stalled, full or removed): the primary gives up its role, nothing acknowledged is lost,
 * and manifests are accepted again within twelve seconds. Jumps of the wall clock have no effect.
 */
import assert from 'node:assert/strict';
import { rmSync } from 'node:fs';
import { after, before, describe, it } from 'node:test';
import { FleetKit } from '../tools/fleet-kit.js';
import { Bench } from './bench.js';

const recoveryLimitMs = 12_000;

describe('disk and clock', () => {
  let bench: Bench;
  let count = 0;

  before(async () => {
    bench = await Bench.start({ hasFaults: true });
  });
  after(() => bench.stop());

  const currentTerm = async () => {
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
  const currentPrimary = async (): Promise<FleetKit.Core> => {
    let now = await currentTerm();
    while (now.inSync.length < 2) now = await currentTerm();
    const node = now.cores.find((core) => core.disk === now.primary)?.node;
    return bench.kit.cores.find((core) => core.node === node)!;
  };
  const readNote = async (): Promise<unknown> => {
    for (;;) {
      const read = await bench.kit.operate('GET', '/v1/manifest');
      if (read.status === 200) return read.body.note;
    }
  };
  const putUntilAccepted = async (): Promise<string> => {
    count += 1;
    const note = `note ${count}`;
    const startedAt = performance.now();
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
      assert.ok(performance.now() - startedAt < recoveryLimitMs, 'no manifest was accepted in time');
    }
  };

  for (const kind of ['stall', 'full', 'gone'] as const)
    it(`accepts manifests again when the primary’s disk is ${kind}`, async () => {
      const before = await putUntilAccepted();
      const first = await currentPrimary();
      const heal = bench.faults!.disk(first.node, kind);
      const startedAt = performance.now();
      let note = await putUntilAccepted();
      while ((await currentPrimary()).node === first.node) note = await putUntilAccepted();
      assert.ok(performance.now() - startedAt < recoveryLimitMs);
      assert.notEqual(note, before);
      heal();
      await first.process?.end('SIGKILL');
      await bench.kit.startCore(first);
      assert.equal(await readNote(), note);
    });

  it('never counts the vote of a core with an empty disk, and loses nothing by waiting for one that is not blank', async () => {
    const first = await currentPrimary();
    const now = await currentTerm();
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
    const note = await putUntilAccepted();
    await Promise.all([first, emptied].map((core) => core.process?.end('SIGKILL')));
    rmSync(emptied.data, { recursive: true, force: true });
    heal();
    await bench.kit.startCore(emptied);
    const takeoverAttempts = async () => {
      const ring = await (await fetch(`http://${stale.http}/log`)).text();
      return ring.split('taking over').length - 1;
    };
    const before = await takeoverAttempts();
    while ((await takeoverAttempts()) < before + 3) {
      const told = await fetch(`http://${stale.http}/health`);
      assert.equal(((await told.json()) as { state: string }).state, 'following');
    }
    await bench.kit.startCore(first);
    assert.equal(await readNote(), note);
  });

  it('keeps working whatever the wall clocks show', async () => {
    const heals = bench.kit.cores.map((core, index) =>
      bench.faults!.clock(core.node, (index - 1) * 86_400_000),
    );
    const note = await putUntilAccepted();
    for (const heal of heals) heal();
    assert.equal(await readNote(), note);
    await putUntilAccepted();
  });
});
