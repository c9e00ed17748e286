// What must be back in time: after the faults have healed, and after a final fault of one of several kinds.
// All nodes are killed at once; then every disk is kept, or one of them, or none, or the proxies and agents
// live on beside emptied cores.
import { rmSync } from 'node:fs';
import { Caller } from '../caller.js';
import type { FleetKit } from '../fleet-kit.js';
import { InForce } from '../in-force.js';
import { Journal } from '../journal.js';
import { Actors } from './actors.js';
import { World } from './world.js';

export type Recovery = 'wiped' | 'kept' | 'one' | 'alive';

const within = 12_000;
const giveUp = 3 * within;

const serveEach = async ({ kit, callers }: World, tag: string, span: number): Promise<void> => {
  const began = performance.now();
  const serve = async (front: FleetKit.Front) => {
    for (const kind of kit.deployment.mix)
      for (let count = 0; ; count += 1) {
        const id = `${tag}-${front.node}-${kind.name}-${count}`;
        callers.write({ event: 'probe', id, kind: kind.name });
        const entry = await Caller.once(kind, {
          id,
          proxy: front.listen,
          home: kind.homes[0]!,
          prefix: 0,
        });
        if (entry.outcome === 'whole') break;
        if (performance.now() - began > span)
          throw new Error(`${front.node} serves no ${kind.name}: ${JSON.stringify(entry)}`);
        await World.pause(50);
      }
  };
  await Promise.all(kit.fronts.map(serve));
};

const readBack = async (world: World, tag: string, left: () => number): Promise<void> => {
  while (left() > 1) {
    const begun = Journal.now();
    const read = await world.kit.operate('GET', '/v1/manifest').catch(() => undefined);
    if (read?.status === 200) {
      const revision = Number(read.etag?.replaceAll('"', ''));
      return world.operators.write({ event: 'read', begun, revision, note: read.body.note, by: tag });
    }
    await World.pause(50);
  }
};

const recover = async (world: World, tag: string, isKept: boolean): Promise<Record<string, number>> => {
  const { kit } = world;
  const began = performance.now();
  const left = () => Math.max(1, giveUp - (performance.now() - began));
  const stages: Record<string, number> = {};
  const mark = (name: string) => {
    stages[name] = Math.round(performance.now() - began);
  };
  if (isKept) await readBack(world, tag, left);
  mark('read');
  world.operators.write({ event: 'put', note: tag, evacuations: [] });
  await InForce.putWhenReady(kit, { ...kit.deployment.manifest, note: tag }, left());
  mark('manifest');
  while (!(await Actors.putServers(world)) && left() > 1) await World.pause(50);
  mark('servers');
  await InForce.everywhere(kit, kit.fronts, left());
  mark('inForce');
  await serveEach(world, tag, left());
  mark('served');
  return stages;
};

const kinds: readonly Recovery[] = ['wiped', 'kept', 'one', 'alive'];

export const Recovery = {
  within,
  kinds,
  isKept: (kind: Recovery): boolean => kind === 'kept' || kind === 'alive',
  afterFaults: (world: World) => recover(world, 'after-faults', true),
  async afterFinal(world: World, kind: Recovery): Promise<Record<string, number>> {
    const { kit } = world;
    const lives = kind === 'alive';
    const nodes = [
      ...kit.cores.map((core) => core.process),
      ...(lives ? [] : kit.fronts.flatMap((one) => [one.agent, one.proxy])),
    ];
    await Promise.all(nodes.map((one) => one?.end('SIGKILL')));
    const lost = kind === 'kept' ? [] : kit.cores.slice(kind === 'one' ? 1 : 0);
    for (const core of lost) rmSync(core.data, { recursive: true, force: true });
    const began = performance.now();
    await Promise.all([
      ...kit.cores.map((core) => kit.startCore(core)),
      ...(lives ? [] : [...kit.fronts.map(kit.startAgent), ...kit.fronts.map(kit.startProxy)]),
    ]);
    const up = Math.round(performance.now() - began);
    const stages = await recover(world, 'after-final', Recovery.isKept(kind));
    return Object.fromEntries([
      ['up', up],
      ...Object.entries(stages).map(([name, span]): [string, number] => [name, span + up]),
    ]);
  },
};
