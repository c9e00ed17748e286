/** What the cores may lose at once, for three cores and for five: leaders are killed, emptied, cut off and replaced, all go
 * down together, and disks are lost. Acknowledged changes must be read back, of two racing changes at most one may be
 * applied, and a change refused as stale must never come into force. */
import assert from 'node:assert/strict';
import { rmSync } from 'node:fs';
import { after, afterEach, before, describe, it } from 'node:test';
import { FleetKit } from '../tools/fleet-kit.js';
import { InForce } from '../tools/in-force.js';
import { Random } from '../tools/random.js';
import { Bench } from './bench.js';

type Core = FleetKit.Core;
type Term = { epoch: number; primary: string; inSync: string[]; cores: { disk: string; node: string }[] };

export const Losses = {
  describe: (losses: number) =>
    describe(`${2 * losses + 1} cores`, () => {
      const recoveryLimitMs = losses === 1 ? 12_000 : 15_000;
      const headers = { authorization: `Bearer ${FleetKit.operatorToken}` };
      let bench: Bench;
      let random: Random;
      let count = 0;
      let acknowledged = '';
      const stale = new Set<string>();

      before(async () => {
        random = Random.of(7 + losses);
        bench = await Bench.start({ fronts: 2, losses, hasFaults: true });
      });
      afterEach(() => bench.faults?.healAll());
      after(() => bench.stop());

      const until = async <T>(look: () => Promise<T | undefined>, within = 40_000) => {
        const began = performance.now();
        for (;;) {
          const value = await look().catch(() => undefined);
          const took = performance.now() - began;
          if (value !== undefined) return { value, took };
          if (took < within) continue;
          await Bench.tellCores(bench.kit.cores);
          assert.fail(`timed out after ${within} ms`);
        }
      };
      const healthOf = async (core: Core) =>
        (await (await fetch(`http://${core.http}/health`, { signal: AbortSignal.timeout(1000) })).json()) as {
          state: string;
          tenure: Term | null;
        };
      const up = () => bench.kit.cores.filter((core) => core.process?.isUp());
      const leader = async (among = up()): Promise<Core> =>
        (
          await until(async () => {
            const all = await Promise.all(
              up().map(async (core) => ({ core, now: await healthOf(core).catch(() => undefined) })),
            );
            const newest = Math.max(...all.map(({ now }) => now?.tenure?.epoch ?? 0));
            return all.find(
              ({ core, now }) =>
                among.includes(core) && now?.state === 'leading' && now.tenure?.epoch === newest,
            )?.core;
          })
        ).value;
      const currentTerm = async () => (await healthOf(await leader())).tenure!;
      const untilWhole = async () => {
        await until(async () => {
          const now = await currentTerm();
          const states = await Promise.all(up().map(healthOf));
          const nodes = up().map((core) => core.node);
          const isJoined = states.every(({ state }) => state === 'following' || state === 'leading');
          const isWhole =
            now.cores.length === nodes.length && now.cores.every((core) => nodes.includes(core.node));
          return isJoined && isWhole && now.inSync.length === losses + 1 ? true : undefined;
        });
      };
      const read = (core: Core) => FleetKit.call(core.http, 'GET', '/v1/manifest', undefined, headers);
      const withTimeout = <T>(work: Promise<T>): Promise<T> =>
        Promise.race([
          work,
          new Promise<never>((_resolve, reject) => {
            setTimeout(() => reject(new Error('no response within a second')), 1000).unref();
          }),
        ]);
      const putOnce = (core: Core, note: string, etag: string) =>
        FleetKit.call(
          core.http,
          'PUT',
          '/v1/manifest',
          { ...Bench.manifest, note },
          { ...headers, 'if-match': etag },
        );
      const tryPut = async (core: Core, note: string, etag: string, waits = true) => {
        const response = putOnce(core, note, etag);
        const { status } = await (waits ? response : withTimeout(response));
        if (status === 200) acknowledged = note;
        if (status === 412) stale.add(note);
        return status;
      };
      const anywhere = async <T>(act: (core: Core) => Promise<T | undefined>) => {
        let turn = 0;
        return until(async () => {
          const among = up();
          const core = among[turn++ % among.length];
          return core && act(core);
        });
      };
      const put = async (): Promise<{ note: string; took: number }> => {
        const note = `note ${++count}`;
        const { took } = await anywhere(async (core) => {
          const now = await withTimeout(read(core));
          if (now.status !== 200) return undefined;
          if (now.body.note === note) acknowledged = note;
          else if ((await tryPut(core, note, now.etag!, false)) !== 200) return undefined;
          return true;
        });
        return { note, took };
      };
      const assertKept = async (diagnose: (text: string) => void, what: string) => {
        const { value, took } = await anywhere(async (core) => {
          const now = await read(core);
          return now.status === 200 ? String(now.body.note) : undefined;
        });
        diagnose(`${what}: read after ${Math.round(took)} ms`);
        assert.equal(value, acknowledged);
        assert.equal(stale.has(value), false);
        assert.ok(took < recoveryLimitMs);
      };
      const end = (cores: readonly Core[]) => Promise.all(cores.map((core) => core.process?.end('SIGKILL')));
      const start = (cores: readonly Core[], isInitial = false) =>
        Promise.all(cores.map((core) => bench.kit.startCore(core, isInitial)));
      const empty = (cores: readonly Core[]) => {
        for (const core of cores) rmSync(core.data, { recursive: true, force: true });
      };
      const ips = (cores: readonly Core[]) => cores.map((core) => core.wire.split(':')[0]!);
      const shuffled = <T>(list: readonly T[]): T[] =>
        list
          .map((one) => ({ one, at: random.next() }))
          .sort((a, b) => a.at - b.at)
          .map(({ one }) => one);
      const coreOf = (now: Term, disk: string): Core =>
        bench.kit.cores.find((core) => core.node === now.cores.find((one) => one.disk === disk)?.node)!;
      const inSyncFirst = async (): Promise<Core[]> => {
        const now = await currentTerm();
        const disks = [now.primary, ...now.inSync, ...now.cores.map((core) => core.disk)];
        return [...new Set(disks)].map((disk) => coreOf(now, disk));
      };

      it('forms at the first start in any order', async (test) => {
        for (let round = 0; round < 3; round += 1) {
          await end(bench.kit.cores);
          empty(bench.kit.cores);
          await start(shuffled(bench.kit.cores), true);
          const note = `first ${round}`;
          const { took } = await anywhere(async (core) => {
            const status = await tryPut(core, note, '"0"');
            const now = status === 412 ? await read(core) : undefined;
            if (now?.status !== 200) return status === 200 ? true : undefined;
            return now.body.note === note || (await tryPut(core, note, now.etag!)) === 200 ? true : undefined;
          });
          test.diagnostic(`first start: taken ${Math.round(took)} ms after all were ready`);
          assert.ok(took < 3000);
          acknowledged = note;
          stale.clear();
        }
        await assertKept(test.diagnostic.bind(test), 'first start');
      });

      it('keeps acknowledged changes when the leader is killed at once, and takes over soon', async (test) => {
        for (let round = 0; round < 3; round += 1) {
          await untilWhole();
          await put();
          const first = await leader();
          await end([first]);
          await assertKept(test.diagnostic.bind(test), 'leader killed');
          const { took } = await put();
          test.diagnostic(`next change ${Math.round(took)} ms after that`);
          await start([first]);
        }
      });

      it('keeps acknowledged changes when the leader is killed and restarted at once', async (test) => {
        await untilWhole();
        await put();
        const first = await leader();
        await end([first]);
        await start([first]);
        await assertKept(test.diagnostic.bind(test), 'leader back');
        await put();
      });

      it('keeps acknowledged changes when the tolerated number of in-sync disks come back empty', async (test) => {
        for (const from of [0, 1]) {
          await untilWhole();
          await put();
          const lost = (await inSyncFirst()).slice(from, from + losses);
          await end(lost);
          empty(lost);
          await start(lost);
          await assertKept(test.diagnostic.bind(test), from === 0 ? 'leader emptied' : 'backups emptied');
          test.diagnostic(`next change after ${Math.round((await put()).took)} ms`);
        }
      });

      it('keeps acknowledged changes when all cores are killed at once and restarted in any order', async (test) => {
        await untilWhole();
        await put();
        await end(bench.kit.cores);
        await start(shuffled(bench.kit.cores));
        await assertKept(test.diagnostic.bind(test), 'all killed');
      });

      it('keeps acknowledged changes when all cores go down and the tolerated number come back empty', async (test) => {
        for (let round = 0; round < 3; round += 1) {
          await untilWhole();
          await put();
          const lost = (await inSyncFirst()).slice(0, losses);
          await end(bench.kit.cores);
          empty(lost);
          const others = bench.kit.cores.filter((core) => !lost.includes(core));
          if (round === 0) await start(shuffled(bench.kit.cores));
          else {
            await start(lost);
            await start(shuffled(others));
          }
          await assertKept(test.diagnostic.bind(test), 'all down, some empty');
          test.diagnostic(`next change after ${Math.round((await put()).took)} ms`);
        }
      });

      it('allows no acknowledgement or read at a leader that is cut off in one direction or both', async (test) => {
        for (const way of ['both', 'out', 'in'] as const) {
          await untilWhole();
          await put();
          const first = await leader();
          const others = bench.kit.cores.filter((core) => core !== first);
          const { etag } = await read(first);
          const faults = bench.faults!;
          const heal =
            way === 'both'
              ? faults.cut(ips([first]), ips(others), 'both')
              : way === 'out'
                ? faults.cut(ips([first]), ips(others), 'one')
                : faults.cut(ips(others), ips([first]), 'one');
          const began = performance.now();
          const rival = tryPut(first, `rival ${way}`, etag!);
          const next = await leader(others);
          test.diagnostic(`${way}: another leads after ${Math.round(performance.now() - began)} ms`);
          const statuses = await Promise.all([rival, tryPut(next, `heir ${way}`, etag!)]);
          test.diagnostic(`${way}: ${statuses.join(' ')} after ${Math.round(performance.now() - began)} ms`);
          assert.ok(statuses.filter((status) => status === 200).length <= 1);
          const now = await until(async () => {
            const one = await read(next);
            return one.status === 200 ? one : undefined;
          });
          const taken = await tryPut(next, `after ${way}`, now.value.etag!);
          assert.equal(taken, 200);
          const late = await read(first);
          assert.ok(late.status !== 200 || late.body.note === acknowledged);
          heal();
          await assertKept(test.diagnostic.bind(test), `${way} healed`);
        }
      });

      it('never applies two changes of one version that race during a takeover', async (test) => {
        for (let round = 0; round < 3; round += 1) {
          await untilWhole();
          await put();
          const first = await leader();
          const { etag } = await read(first);
          const began = performance.now();
          const notes = ['left', 'right'].map((side) => `${side} ${round}`);
          const among = shuffled(bench.kit.cores);
          const answers: Promise<number[]>[] = notes.map(async (note, index) => {
            const statuses: number[] = [];
            for (let turn = 0; performance.now() - began < recoveryLimitMs; turn += 1) {
              const core = among[(turn + index) % among.length]!;
              const status = await tryPut(core, note, etag!).catch(() => 0);
              if (status !== statuses.at(-1)) statuses.push(status);
              if (status === 200 || status === 412) break;
            }
            return statuses;
          });
          await end([first]);
          const statuses = await Promise.all(answers);
          test.diagnostic(`both answered after ${Math.round(performance.now() - began)} ms`);
          test.diagnostic(`last answers ${statuses.map((one) => one.at(-1)).join(' | ')}`);
          assert.ok(statuses.flat().filter((status) => status === 200).length <= 1);
          assert.ok(statuses.flat().includes(412));
          await start([first]);
          const now = await anywhere(async (core) => {
            const one = await read(core);
            return one.status === 200 ? String(one.body.note) : undefined;
          });
          const ended = notes.map((_note, index) => statuses[index]!.at(-1));
          if (ended.includes(200)) assert.equal(now.value, notes[ended.indexOf(200)]);
          acknowledged = now.value;
          stale.clear();
        }
      });

      it('commits changes in time while the leader’s disk is slow, hangs or drops writes, and recovers from it', async (test) => {
        for (const kind of ['slow', 'stall', 'full'] as const) {
          await untilWhole();
          const first = await leader();
          const heal = bench.faults!.disk(first.node, kind);
          for (let turn = 0; turn < 3; turn += 1) {
            const { took } = await put();
            test.diagnostic(`${kind}: taken after ${Math.round(took)} ms`);
            assert.ok(took < 6000);
          }
          heal();
          const others = bench.kit.cores.filter((core) => core !== first).slice(0, losses);
          await untilWhole();
          await end(others);
          const { took } = await put();
          test.diagnostic(`${kind}: healed, with ${losses} others down taken after ${Math.round(took)} ms`);
          await start(others);
          await assertKept(test.diagnostic.bind(test), kind);
        }
      });

      it('continues when the tolerated number of cores, the leader among them, is cut off', async (test) => {
        for (const way of ['both', 'one'] as const) {
          await untilWhole();
          await put();
          const first = await leader();
          const away = [first, ...bench.kit.cores.filter((core) => core !== first)].slice(0, losses);
          const others = bench.kit.cores.filter((core) => !away.includes(core));
          const heal = bench.faults!.cut(ips(away), ips(others), way);
          const began = performance.now();
          const next = await leader(others);
          const note = `beyond the cut ${way}`;
          await until(async () => {
            const now = await read(next);
            if (now.status !== 200) return undefined;
            return (await tryPut(next, note, now.etag!)) === 200 ? true : undefined;
          });
          test.diagnostic(`${way}: taken ${Math.round(performance.now() - began)} ms after the cut`);
          assert.ok(performance.now() - began < 6000);
          for (const core of away) {
            const late = await read(core);
            assert.ok(late.status !== 200 || late.body.note === note);
          }
          heal();
          await assertKept(test.diagnostic.bind(test), `part cut off, ${way}`);
        }
      });

      it('keeps every acknowledged change through random kills, lost disks and cuts', async (test) => {
        const rounds = Number(process.env.BRAMBLEBEND_ROUNDS ?? 8);
        for (let round = 0; round < rounds; round += 1) {
          await untilWhole();
          const order = random.pick([shuffled(bench.kit.cores), await inSyncFirst()]);
          const lost = order.slice(0, losses);
          const kind = random.pick(['killed', 'emptied', 'cut', 'one way', 'all'] as const);
          const others = bench.kit.cores.filter((core) => !lost.includes(core));
          for (let turn = random.below(3); turn >= 0; turn -= 1) await put();
          const began = performance.now();
          let heal = () => {};
          if (kind === 'cut') heal = bench.faults!.cut(ips(lost), ips(others), 'both');
          else if (kind === 'one way') heal = bench.faults!.cut(ips(lost), ips(others), 'one');
          else await end(kind === 'all' ? bench.kit.cores : lost);
          if (kind === 'emptied') empty(lost);
          const isDuring = kind !== 'all' && random.below(2) === 0;
          if (isDuring) {
            await put();
            test.diagnostic(`${kind}: taken meanwhile after ${Math.round(performance.now() - began)} ms`);
            assert.ok(performance.now() - began < 6000);
          }
          heal();
          await start(shuffled(bench.kit.cores.filter((core) => !core.process?.isUp())));
          await assertKept(test.diagnostic.bind(test), `${round} ${kind}`);
        }
      });

      it('lets every seed be replaced by a blank machine at another address, while nodes keep their old seeds', async (test) => {
        for (const seedIndex of [0, 1, 2]) {
          await untilWhole();
          await put();
          const lost = bench.kit.cores.find((core) => core.wire === bench.kit.seeds[seedIndex])!;
          const ip = bench.kit.newAddress();
          const node = `${lost.node}-next`;
          const fresh = { ...lost, node, wire: `${ip}:7000`, http: `${ip}:7080`, data: `${lost.data}-next` };
          delete (fresh as { process?: unknown }).process;
          await lost.process?.end(seedIndex === 1 ? 'SIGTERM' : 'SIGKILL');
          bench.kit.seeds[seedIndex] = fresh.wire;
          bench.kit.cores.splice(bench.kit.cores.indexOf(lost), 1, fresh);
          const began = performance.now();
          await start([fresh]);
          await assertKept(test.diagnostic.bind(test), 'seed exchanged');
          await until(async () =>
            (await currentTerm()).cores.some((core) => core.node === node) ? true : undefined,
          );
          test.diagnostic(`the new one is in after ${Math.round(performance.now() - began)} ms`);
        }
        await untilWhole();
        await put();
        test.diagnostic(`in force at fronts after ${Math.round(await InForce.everywhere(bench.kit))} ms`);
      });
    }),
};
