/**
 * Cores that receive SIGTERM: leadership and in-sync membership are handed over before the process exits, a waiting
 * newcomer gets the slot by one change, a plain restart costs no slot, and shutdown is always bounded in time.
 */

import assert from 'node:assert/strict';
import { after, before, beforeEach, describe, it } from 'node:test';
import type { FleetKit } from '../tools/fleet-kit.js';
import { Bench } from './bench.js';

type Core = FleetKit.Core;
type Term = { primary: string; inSync: string[]; cores: { disk: string; node: string }[] };

const shutdownLimitMs = 4000;

describe('leaving', () => {
  let bench: Bench;
  let count = 0;

  before(async () => {
    bench = await Bench.start({ fronts: 1 });
  });
  beforeEach(async () => {
    for (const core of bench.kit.cores) if (!core.process?.isUp()) await bench.kit.startCore(core);
  });
  after(() => bench.stop());

  const healthOf = async (core: Core) =>
    (await (await fetch(`http://${core.http}/health`)).json()) as { state: string; tenure: Term | null };
  const until = async <T>(look: () => Promise<T | undefined>, what: string): Promise<T> => {
    for (const began = performance.now(); ; ) {
      const value = await look().catch(() => undefined);
      if (value !== undefined) return value;
      if (performance.now() - began < 30_000) continue;
      await Bench.tellCores(bench.kit.cores);
      assert.fail(what);
    }
  };
  const isLeader = async (core: Core) => (await healthOf(core)).state === 'leading';
  const leaderAmong = async (cores: readonly Core[]): Promise<Core | undefined> => {
    for (const core of cores) if (core.process?.isUp() && (await isLeader(core))) return core;
    return undefined;
  };
  const untilSettled = () =>
    until(async () => {
      const first = await leaderAmong(bench.kit.cores);
      const term = first && (await healthOf(first)).tenure;
      const states = await Promise.all(bench.kit.cores.map(healthOf));
      const areIn = states.every(({ state }) => state === 'leading' || state === 'following');
      return term && areIn && term.inSync.length === 2 ? { first, term } : undefined;
    }, 'two cores are in sync and all take part');
  const diskOf = (term: Term, core: Core) => term.cores.find(({ node }) => node === core.node)?.disk;
  const put = async (): Promise<string> => {
    const note = `note ${++count}`;
    await until(async () => {
      const { status } = await bench.kit.putManifest({ ...Bench.manifest, note });
      return status === 200 ? true : undefined;
    }, 'a manifest is taken');
    return note;
  };
  const read = () =>
    until(async () => {
      const now = await bench.kit.operate('GET', '/v1/manifest');
      return now.status === 200 ? now.body.note : undefined;
    }, 'a manifest is read');
  const endInTime = async (core: Core): Promise<number> => {
    const began = performance.now();
    await core.process?.end('SIGTERM');
    const took = performance.now() - began;
    assert.ok(took < shutdownLimitMs, `it ended only after ${took} ms`);
    return Math.round(took);
  };

  it('hands over leadership and its in-sync membership before the primary exits', async (test) => {
    const { first, term } = await untilSettled();
    const note = await put();
    const took = await endInTime(first);
    const next = await leaderAmong(bench.kit.cores);
    assert.notEqual(next, undefined, 'another leads as soon as it is gone');
    const now = (await healthOf(next!)).tenure!;
    assert.equal(now.inSync.includes(diskOf(term, first)!), false);
    assert.equal(now.inSync.length, 2);
    assert.deepEqual(now.cores, term.cores);
    test.diagnostic(`the primary ended after ${took} ms`);
    assert.equal(await read(), note);
    await bench.kit.startCore(first);
  });

  it('replaces a backup in the in-sync set before it exits, and a restart costs no slot', async (test) => {
    const { first, term } = await untilSettled();
    const disk = term.inSync.find((one) => one !== term.primary)!;
    const node = term.cores.find((one) => one.disk === disk)?.node;
    const backup = bench.kit.cores.find((core) => core.node === node)!;
    const note = await put();
    const took = await endInTime(backup);
    const now = (await healthOf(first)).tenure!;
    assert.equal(now.inSync.includes(disk), false);
    assert.equal(now.inSync.length, 2);
    test.diagnostic(`the backup ended after ${took} ms`);
    await bench.kit.startCore(backup);
    assert.equal(await read(), note);
    assert.deepEqual((await untilSettled()).term.cores, term.cores);
  });

  it('gives the slot of a replaced core to the waiting newcomer before it exits', async (test) => {
    for (const which of ['backup', 'primary'] as const) {
      const { first, term } = await untilSettled();
      const old = which === 'primary' ? first : bench.kit.cores.find((core) => core !== first)!;
      const ip = bench.kit.newAddress();
      const node = `${old.node}-next`;
      const fresh = { ...old, node, wire: `${ip}:7000`, http: `${ip}:7080`, data: `${old.data}-next` };
      delete (fresh as { process?: unknown }).process;
      const note = await put();
      await bench.kit.startCore(fresh);
      await until(
        async () =>
          /all cores are alive/.test(await (await fetch(`http://${fresh.http}/log`)).text())
            ? true
            : undefined,
        'the newcomer waits',
      );
      const took = await endInTime(old);
      const others = bench.kit.cores.filter((core) => core !== old);
      const now = (await healthOf((await leaderAmong(others))!)).tenure!;
      assert.equal(
        now.cores.some((core) => core.node === fresh.node),
        true,
        'the newcomer has the slot as soon as the old one is gone',
      );
      assert.equal(diskOf(now, old), undefined);
      assert.equal(now.inSync.includes(diskOf(term, old)!), false);
      test.diagnostic(`the ${which} ended after ${took} ms`);
      bench.kit.cores.splice(bench.kit.cores.indexOf(old), 1, fresh);
      assert.equal(await read(), note);
      await put();
    }
  });

  it('serves changes and reads during a rolling restart that costs no slot', async (test) => {
    const { term } = await untilSettled();
    for (const core of [...bench.kit.cores]) {
      const began = performance.now();
      await endInTime(core);
      const gone = Math.round(performance.now() - began);
      await bench.kit.startCore(core);
      const note = await put();
      test.diagnostic(
        `gone after ${gone} ms, a change taken after ${Math.round(performance.now() - began)} ms`,
      );
      assert.equal(await read(), note);
    }
    assert.deepEqual((await untilSettled()).term.cores, term.cores);
  });

  it('exits in time when no majority is left, and when all cores get SIGTERM at once', async (test) => {
    const { first } = await untilSettled();
    const others = bench.kit.cores.filter((core) => core !== first);
    const note = await put();
    await Promise.all(others.map((core) => core.process?.end('SIGKILL')));
    test.diagnostic(`alone, it ended after ${await endInTime(first)} ms`);
    await Promise.all(bench.kit.cores.map((core) => bench.kit.startCore(core)));
    assert.equal(await read(), note);
    await untilSettled();
    const took = await Promise.all(bench.kit.cores.map(endInTime));
    test.diagnostic(`told at once, they ended after ${took.join(' ')} ms`);
    await Promise.all(bench.kit.cores.map((core) => bench.kit.startCore(core)));
    assert.equal(await read(), note);
  });
});
