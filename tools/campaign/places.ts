// What all breakers share: a fault that lasts a while, machines that one fault at a time may hold, and who
// stands where.
import type { FleetKit } from '../fleet-kit.js';
import { World } from './world.js';

export type Places = { readonly ip: string; readonly region: string };

export const Places = {
  async during(
    world: World,
    kind: string,
    marks: World.Marks,
    span: number,
    breakIt: () => unknown,
    mend: () => unknown,
  ): Promise<void> {
    const end = World.begin(world, kind, marks);
    await breakIt();
    await World.pause(span, world.stop);
    await mend();
    end();
  },
  async alone(world: World, one: object, work: () => Promise<void>): Promise<void> {
    if (world.busy.has(one)) return;
    world.busy.add(one);
    try {
      await work();
    } finally {
      world.busy.delete(one);
    }
  },
  killServer: (world: World, kind: string, one: FleetKit.Server, span: number) =>
    Places.alone(world, one, () =>
      Places.during(
        world,
        kind,
        { down: [one.instance] },
        span,
        () => one.process?.end('SIGKILL'),
        () => {
          one.cold = 3000;
          return world.kit.startServer(one);
        },
      ),
    ),
  regionOf: ({ kit }: World, zone: string): string =>
    kit.deployment.zones.find((one) => one.zone === zone)?.region ?? '',
  region: (world: World): string => world.random.pick(world.kit.deployment.zones).region,
  all: (world: World): readonly Places[] => [
    ...[...world.kit.cores, ...world.kit.fronts].map(({ wire, zone }) => ({
      ip: World.ip(wire),
      region: Places.regionOf(world, zone),
    })),
    ...world.kit.servers.map(({ address, backEnd }) => ({
      ip: World.ip(address),
      region: backEnd.region,
    })),
  ],
  async leader(world: World): Promise<FleetKit.Core | undefined> {
    for (const core of world.kit.cores) {
      const told = await fetch(`http://${core.http}/health`, { signal: AbortSignal.timeout(300) })
        .then((answer) => answer.json() as Promise<{ state: string }>)
        .catch(() => undefined);
      if (told?.state === 'leading') return core;
    }
    return undefined;
  },
  two<T>(world: World, list: readonly T[]): [T, T] {
    const first = world.random.pick(list);
    return [first, world.random.pick(list.filter((one) => one !== first))];
  },
};
