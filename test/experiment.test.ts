// The experiment tool: one seed plays alike each time, a policy that is plainly worse is shown to be, one that changes
// nothing is not, and the intervals are Student's.
import assert from 'node:assert/strict';
import { before, describe, it } from 'node:test';
import { fileURLToPath } from 'node:url';
import { Comparison } from '../tools/experiment/comparison.js';
import { Fault } from '../tools/experiment/faults.js';
import { Plot } from '../tools/experiment/plot.js';
import { Policy } from '../tools/experiment/policies.js';
import { Script } from '../tools/experiment/script.js';
import type { Tally } from '../tools/experiment/tally.js';
import { Workload } from '../tools/experiment/workload.js';
import { World } from '../tools/experiment/world.js';
import { Random } from '../tools/random.js';

const pathOf = (name: string) =>
  fileURLToPath(new URL(`../../tools/experiment/${name}.yaml`, import.meta.url));
const workload = Workload.read(pathOf('workloads/long-shared'));
const span = 3000;

const play = (seed: number, code: string, faults: readonly Fault[] = []): Promise<Tally> =>
  World.play({ seed, code, workload, faults, span, load: 0.6 });

describe('the experiment tool', () => {
  let code: string;

  before(async () => {
    code = (await Script.build([])).code;
  });

  it('plays one seed alike each time, and another one otherwise', async () => {
    const [first, other, again] = [await play(1, code), await play(2, code), await play(1, code)];
    assert.deepEqual(again, first);
    assert.notDeepEqual(other, first);
    assert.ok(first.worth > 0.5 && first.worth <= 1, `${first.worth}`);
    const asked = Object.values(first.kinds).reduce((sum, kind) => sum + kind.asked, 0);
    assert.ok(asked > 300, `${asked} requests`);
  });

  it('shows a policy that is worse, by its interval, and none for one that changes nothing', async () => {
    const worst = await Script.build([
      {
        file: 'src/upstream/placement.ts',
        from: 'if (!best || cost < best.cost)',
        to: 'if (!best || cost > best.cost)',
      },
    ]);
    const seeds = [1, 2, 3];
    const base = [];
    const other = [];
    for (const seed of seeds) {
      base.push(await play(seed, code));
      other.push(await play(seed, worst.code));
    }
    const netOf = (rows: ReturnType<typeof Comparison.of>) =>
      rows.find(({ figure }) => figure === 'net worth')!;
    assert.equal(netOf(Comparison.of(base, other)).verdict, 'worse');
    assert.equal(netOf(Comparison.of(base, base)).verdict, 'no difference shown');
    const svg = await Plot.svg('worst', { base, other });
    assert.match(svg, /^<svg/);
  });

  it('loses requests to servers that go dark, and fewer than without a second try', async () => {
    const faults: readonly Fault[] = [{ kind: 'crash', at: 1000, span: 1500, share: 0.3, isDark: true }];
    const tally = await play(1, code, faults);
    assert.ok((tally.kinds.reply?.failed ?? 0) > 0, 'requests that may run once are lost with their servers');
    const without = await Script.build(Policy.changes('pending requests wait for a dark server'));
    const waiting = await play(1, without.code, faults);
    const failed = (one: Tally) => one.kinds.brief?.failed ?? 0;
    assert.ok(failed(tally) < failed(waiting), `${failed(tally)} and ${failed(waiting)}`);
  });

  it('plays to its end without extra tries, though streams break that others may take up', async () => {
    const faults: readonly Fault[] = [{ kind: 'crash', at: 1000, span: 1500, share: 0.3, isDark: true }];
    const without = await Script.build(Policy.changes('no extra tries'));
    const [usual, single] = [await play(1, code, faults), await play(1, without.code, faults)];
    const failed = (one: Tally) => one.kinds.brief?.failed ?? 0;
    assert.ok(failed(single) > failed(usual), `${failed(single)} and ${failed(usual)}`);
  });

  it('has a place in the sources for each named policy', async () => {
    for (const name of Object.keys(Policy.all)) await Script.build(Policy.changes(name));
    assert.throws(() => Policy.changes('no such one'), /no policy is called/);
  });
});

describe('comparison', () => {
  it('gives the half width of the interval by Student’s distribution', () => {
    // Mean 3, sample deviation 1.5811, t(0.975, 4) = 2.7764: 2.7764 * 1.5811 / sqrt(5).
    assert.ok(Math.abs(Comparison.halfWidth([1, 2, 3, 4, 5]) - 1.9632) < 0.001);
    assert.equal(Comparison.halfWidth([1]), Number.POSITIVE_INFINITY);
  });
});

describe('workload', () => {
  it('draws the rates it names, more of a kind under a burst, and each thing below the same parts', () => {
    const terms = { span: 20_000, load: 1 };
    const draw = (faults: readonly Fault[]) =>
      Workload.draw(workload, Random.of(4), { ...terms, press: Fault.pressOf(faults, workload.zones) });
    const count = (list: readonly Workload.Drawn[], name: string) =>
      list.filter(({ kind }) => kind.name === name).length;
    const calm = draw([]);
    const briefs = count(calm, 'brief');
    assert.ok(Math.abs(briefs / 20 - 118) < 12, `${briefs / 20} a second`);
    const pressed = draw([{ kind: 'burst', at: 0, span: 20_000, factor: 2, of: 'brief' }]);
    assert.ok(count(pressed, 'brief') > 1.7 * briefs);
    const above = new Map<string, string>();
    for (const { parts } of calm.filter(({ kind }) => kind.name === 'brief')) {
      const [outer, inner] = parts;
      assert.equal(above.get(inner!.key) ?? outer!.key, outer!.key);
      above.set(inner!.key, outer!.key);
    }
  });
});
