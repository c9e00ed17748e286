/**
 * No node goes back to an older view: a front machine that starts empty beside a cut-off core with an older view does
 * not serve under it, the agent and the proxy of one machine restore each other's view without the control plane, and a
 * machine that is cut off from every control node receives views through the agent of another.
 */
import assert from 'node:assert/strict';
import { after, before, describe, it } from 'node:test';
import type { FleetKit } from '../tools/fleet-kit.js';
import { InForce } from '../tools/in-force.js';
import { Bench } from './bench.js';

type Front = FleetKit.Front;

const ip = (address: string) => address.split(':')[0]!;

describe('drift', () => {
  let bench: Bench;
  let near: Front;
  let far: Front;
  let third: Front;
  let changes = 0;

  before(async () => {
    bench = await Bench.start({ fronts: 3, hasFaults: true });
    [near, far, third] = bench.kit.fronts as [Front, Front, Front];
    const serve: Bench.Handle = (_request, response) => Bench.sse(response, ['one']);
    await bench.list([await bench.backEnd({ instance: 'a1', group: 'llm', region: 'a', handle: serve })]);
  });
  after(() => bench.stop());

  const change = async () => {
    changes += 1;
    const put = await bench.kit.putManifest({ ...Bench.manifest, note: `change ${changes}` });
    assert.equal(put.status, 200);
  };
  const cores = () => bench.kit.cores.map((core) => ip(core.wire));
  const cut = (front: { readonly wire: string }, from: readonly string[]) =>
    bench.faults!.cut([ip(front.wire)], from, 'both');
  const heldBy = async (address: string) =>
    ((await (await fetch(`http://${address}/health`)).json()) as { stamp: { revision: number } }).stamp
      .revision;
  const chatAt = (front: Front) =>
    Bench.call(front.listen, '/v1/chat/completions', { model: 'again', messages: [] }, {});
  const restart = async (front: Front, programs: readonly ('agent' | 'proxy')[]) => {
    await Promise.all(programs.map((program) => front[program]?.end('SIGKILL')));
    if (programs.includes('agent')) await bench.kit.startAgent(front);
    if (programs.includes('proxy')) await bench.kit.startProxy(front);
  };
  const coreThatIs = async (state: string) => {
    for (;;)
      for (const core of bench.kit.cores) {
        const health = (await (await fetch(`http://${core.http}/health`)).json()) as { state: string };
        if (health.state === state) return core;
      }
  };
  const waitUntil = async (condition: () => Promise<boolean>) => {
    const startedAt = performance.now();
    while (!(await condition())) assert.ok(performance.now() - startedAt < 20_000, 'it never came');
  };

  for (const state of ['leading', 'following'])
    it(`does not serve under the older view of a cut-off core that was ${state}, after it started empty`, async () => {
      await InForce.everywhere(bench.kit);
      const stale = await coreThatIs(state);
      const others = bench.kit.cores.filter((core) => core !== stale);
      const peers = [far, third, ...others].map((one) => ip(one.wire));
      const healCore = cut(stale, peers);
      const healNear = cut(near, peers);
      await waitUntil(async () => {
        const put = await bench.kit.putManifest({ ...Bench.manifest, note: `beside ${state}` }, others);
        return put.status === 200;
      });
      await InForce.everywhere(bench.kit, [far, third], 20_000, others);
      await restart(near, ['agent', 'proxy']);
      await waitUntil(async () => (await heldBy(near.agentOps)) > 0);
      const [old, newest] = await Promise.all([heldBy(stale.http), heldBy(far.ops)]);
      assert.ok(old > 0 && old < newest, `the cut-off core holds ${old}, the others ${newest}`);
      assert.equal(await heldBy(near.agentOps), old);
      const answer = await chatAt(near);
      assert.equal(answer.status, 503);
      assert.equal(answer.headers['bramblebend-ran'], 'no');
      assert.equal((await fetch(`http://${near.ops}/ready`)).status, 503);
      healNear();
      healCore();
      await InForce.everywhere(bench.kit);
      assert.equal((await chatAt(near)).status, 200);
    });

  it('lets either half of a cut-off machine be refilled by the other, and serves on', async () => {
    const heal = cut(near, [...cores(), ip(far.wire), ip(third.wire)]);
    const held = await heldBy(near.ops);
    assert.ok(held > 0);
    for (const program of ['proxy', 'agent', 'proxy'] as const) {
      await restart(near, [program]);
      await waitUntil(
        async () => (await heldBy(near.ops)) === held && (await heldBy(near.agentOps)) === held,
      );
      await waitUntil(async () => (await fetch(`http://${near.ops}/ready`)).status === 200);
    }
    heal();
    await InForce.everywhere(bench.kit);
  });

  it('brings news to a machine that no control node reaches through another one’s agent', async () => {
    await change();
    await InForce.everywhere(bench.kit);
    const heal = cut(near, cores());
    await change();
    assert.ok((await InForce.everywhere(bench.kit)) < 3000);
    await change();
    assert.ok((await InForce.everywhere(bench.kit)) < 3000);
    heal();
  });
});
