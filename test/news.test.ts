/**
 * Distribution of views through the tree of relays: the agents of a zone form the tree themselves, and a change is in
 * force at every reachable node within three seconds, also when a relay is killed, frozen or cut off at that moment.
 */
import assert from 'node:assert/strict';
import { after, before, describe, it } from 'node:test';
import type { FleetKit } from '../tools/fleet-kit.js';
import { InForce } from '../tools/in-force.js';
import { Bench } from './bench.js';

type Front = FleetKit.Front;

const inForceWithinMs = 3000;

describe('news', () => {
  let bench: Bench;
  let changes = 0;

  before(async () => {
    bench = await Bench.start({ fronts: 2, inFirst: 5, hasFaults: true });
  });
  after(() => bench.stop());

  const agentHealth = async (front: Front) =>
    (await (await fetch(`http://${front.agentOps}/health`)).json()) as {
      depth: number;
      parent: string;
      children: number;
      stamp: { revision: number };
    };
  const zoneFronts = () => bench.kit.fronts.filter((front) => front.zone === 'a-1');
  const waitForTree = async (): Promise<{ relays: Front[]; lower: Front[] }> => {
    for (;;) {
      const states = await Promise.all(
        zoneFronts().map(async (front) => ({ front, agent: await agentHealth(front) })),
      );
      const relays = states.filter((one) => one.agent.depth === 1).map((one) => one.front);
      const lower = states.filter((one) => one.agent.depth === 2).map((one) => one.front);
      if (relays.length === 2 && lower.length === 3) return { relays, lower };
    }
  };
  const changeWhile = async (injectFault: () => unknown, among: readonly Front[]): Promise<void> => {
    changes += 1;
    const put = bench.kit.putManifest({ ...Bench.manifest, note: `change ${changes}` });
    injectFault();
    const answer = await put;
    assert.equal(answer.status, 200);
    const elapsedMs = await InForce.everywhere(bench.kit, [...among]);
    assert.ok(elapsedMs < inForceWithinMs, `in force after ${elapsedMs} ms`);
  };
  const busiestRelay = async (): Promise<Front> => {
    const { relays } = await waitForTree();
    const counts = await Promise.all(relays.map(async (front) => (await agentHealth(front)).children));
    return relays[counts[0]! >= counts[1]! ? 0 : 1]!;
  };

  it('forms two relays in a zone with the others below them', async () => {
    const { lower } = await waitForTree();
    for (const front of lower) assert.match((await agentHealth(front)).parent, /^a-1-front-.*-agent$/);
    await changeWhile(() => {}, bench.kit.fronts);
  });

  it('gets past a relay that is killed in that moment', async () => {
    const relay = await busiestRelay();
    const others = bench.kit.fronts.filter((front) => front !== relay);
    await changeWhile(() => relay.agent?.signal('SIGKILL'), others);
    await relay.agent?.ended;
    await bench.kit.startAgent(relay);
    await InForce.everywhere(bench.kit);
  });

  it('gets past a relay that freezes in that moment', async () => {
    await changeWhile(() => {}, bench.kit.fronts);
    const states = await Promise.all(
      zoneFronts().map(async (front) => ({ front, agent: await agentHealth(front) })),
    );
    const relay = states.sort((a, b) => b.agent.children - a.agent.children)[0]!.front;
    const others = bench.kit.fronts.filter((front) => front !== relay);
    await changeWhile(() => relay.agent?.signal('SIGSTOP'), others);
    relay.agent?.signal('SIGCONT');
    await InForce.everywhere(bench.kit);
  });

  it('gets past a relay that is cut off from the cores in that moment, and catches up after', async () => {
    const states = await Promise.all(
      zoneFronts().map(async (front) => ({ front, agent: await agentHealth(front) })),
    );
    const relay = states.sort((a, b) => b.agent.children - a.agent.children)[0]!.front;
    const ip = (address: string) => address.split(':')[0]!;
    const cores = bench.kit.cores.map((core) => ip(core.wire));
    const others = bench.kit.fronts.filter((front) => front !== relay);
    let heal: () => void = () => {};
    await changeWhile(() => {
      heal = bench.faults!.cut([ip(relay.wire)], cores, 'both');
    }, others);
    heal();
    await InForce.everywhere(bench.kit);
  });

  it('brings a change everywhere while the primary is killed just after it acknowledged', async () => {
    const status = await bench.kit.operate('GET', '/v1/status');
    const { primary, cores } = status.body.tenure as {
      primary: string;
      cores: { disk: string; node: string }[];
    };
    const node = cores.find((core) => core.disk === primary)?.node;
    const leading = bench.kit.cores.find((core) => core.node === node)!;
    const put = await bench.kit.putManifest({ ...Bench.manifest, note: 'and then it died' });
    assert.equal(put.status, 200);
    await leading.process?.end('SIGKILL');
    let stamp: { revision: number } | undefined;
    while (!stamp) stamp = await InForce.stamp(bench.kit).catch(() => undefined);
    assert.ok(stamp.revision >= Number(put.body.revision));
    await InForce.everywhere(bench.kit);
    await bench.kit.startCore(leading);
  });
});
