// The faults that a campaign draws from. Each breaks something, waits, and mends it again.
import { rmSync } from 'node:fs';
import type { Faults } from '../faults/faults.js';
import type { FleetKit } from '../fleet-kit.js';
import type { Process } from '../process.js';
import { World } from './world.js';

export type Breakers = Readonly<Record<string, (world: World, span: number) => Promise<void>>>;

const core = 'core';

const during = async (
  world: World,
  kind: string,
  touches: readonly string[],
  span: number,
  breakIt: () => unknown,
  mend: () => unknown,
) => {
  const end = World.begin(world, kind, touches);
  await breakIt();
  await World.pause(span, world.stop);
  await mend();
  end();
};

const allIps = ({ kit }: World): readonly { ip: string; region: string }[] => {
  const regions = new Map(kit.deployment.zones.map(({ zone, region }) => [zone, region]));
  return [
    ...kit.cores.map((one) => ({ ip: World.ip(one.wire), region: regions.get(one.zone)! })),
    ...kit.fronts.map((one) => ({ ip: World.ip(one.wire), region: regions.get(one.zone)! })),
    ...kit.servers.map((one) => ({ ip: World.ip(one.address), region: one.backEnd.region })),
  ];
};

const namesAt = ({ kit }: World, ips: readonly string[]): string[] => [
  ...kit.cores.filter((one) => ips.includes(World.ip(one.wire))).map(() => core),
  ...kit.fronts.filter((one) => ips.includes(World.ip(one.wire))).map((one) => one.node),
  ...kit.servers.filter((one) => ips.includes(World.ip(one.address))).map((one) => one.instance),
];

const cut = async (
  world: World,
  kind: string,
  from: string[],
  to: string[],
  isOneWay: boolean,
  span: number,
) => {
  let heal: () => void = () => {};
  const touches = [...namesAt(world, from), ...(to.length <= 3 ? namesAt(world, to) : [])];
  await during(
    world,
    kind,
    touches,
    span,
    () => {
      heal = world.faults.cut(from, to, isOneWay);
    },
    () => heal(),
  );
};

const freeze = (world: World, kind: string, name: string, one: Process | undefined, span: number) =>
  during(
    world,
    kind,
    [name],
    span,
    () => one?.signal('SIGSTOP'),
    () => one?.signal('SIGCONT'),
  );

const alone = async (world: World, one: object, work: () => Promise<void>) => {
  if (world.busy.has(one)) return;
  world.busy.add(one);
  try {
    await work();
  } finally {
    world.busy.delete(one);
  }
};

const killCore = (world: World, kind: string, one: FleetKit.Core, span: number, isWiped = false) =>
  alone(world, one, () =>
    during(
      world,
      kind,
      [core],
      span,
      async () => {
        await one.process?.end('SIGKILL');
        if (isWiped) rmSync(one.data, { recursive: true, force: true });
      },
      () => world.kit.startCore(one),
    ),
  );

const killFront = (
  world: World,
  kind: string,
  one: FleetKit.Front,
  span: number,
  parts: 'agent' | 'proxy' | 'both',
) =>
  alone(world, one, () =>
    during(
      world,
      kind,
      [one.node],
      span,
      async () => {
        if (parts !== 'proxy') await one.agent?.end('SIGKILL');
        if (parts !== 'agent') await one.proxy?.end('SIGKILL');
      },
      async () => {
        if (parts !== 'proxy') await world.kit.startAgent(one);
        if (parts !== 'agent') await world.kit.startProxy(one);
      },
    ),
  );

const disk = (kind: Faults.Disk) => async (world: World, span: number) => {
  const one = world.random.pick(world.kit.cores);
  let heal: () => void = () => {};
  await alone(world, one, () =>
    during(
      world,
      `disk-${kind}`,
      [core],
      span,
      () => {
        heal = world.faults.disk(one.node, kind);
      },
      async () => {
        heal();
        if (kind === 'slow' || kind === 'stall') return;
        await one.process?.end('SIGKILL');
        await world.kit.startCore(one);
      },
    ),
  );
};

const command = (server: FleetKit.Server, fault: object) =>
  fetch(`http://${server.address}/_fault`, { method: 'POST', body: JSON.stringify(fault) }).catch(
    () => undefined,
  );

const serverFault = (fault: object) => async (world: World, span: number) => {
  const one = world.random.pick(world.kit.servers);
  await during(
    world,
    `server-${(fault as { kind: string }).kind}`,
    [one.instance],
    Math.min(span, 2500),
    () => command(one, fault),
    () => command(one, { kind: 'none' }),
  );
};

const regionIps = (world: World, region: string) => {
  const all = allIps(world);
  return {
    inside: all.filter((one) => one.region === region).map((one) => one.ip),
    outside: all.filter((one) => one.region !== region).map((one) => one.ip),
  };
};

const pickRegion = (world: World) => world.random.pick(world.kit.deployment.zones).region;

export const Breakers = {
  coreKilled: (world, span) => killCore(world, 'core-killed', world.random.pick(world.kit.cores), span),
  coreFrozen: (world, span) => {
    const one = world.random.pick(world.kit.cores);
    return freeze(world, 'core-frozen', core, one.process, span);
  },
  coreWiped: async (world, span) => {
    if (world.made.some((one) => one.kind === 'core-wiped')) return;
    await killCore(world, 'core-wiped', world.random.pick(world.kit.cores), span, true);
  },
  coresKilledAtOnce: (world, span) =>
    Promise.all(
      world.kit.cores.map((one) => killCore(world, 'cores-killed', one, Math.min(span, 1500))),
    ).then(() => {}),
  coreCut: async (world, span) => {
    const one = world.random.pick(world.kit.cores);
    const ip = World.ip(one.wire);
    const others = allIps(world).map((each) => each.ip);
    await cut(world, 'core-cut', [ip], others, false, span);
  },
  coresSplitOneWay: async (world, span) => {
    const [a, b] = [world.random.pick(world.kit.cores), world.random.pick(world.kit.cores)];
    await cut(world, 'cores-split-one-way', [World.ip(a.wire)], [World.ip(b.wire)], true, span);
  },
  coresSplit: async (world, span) => {
    const [a, b] = [world.random.pick(world.kit.cores), world.random.pick(world.kit.cores)];
    await cut(world, 'cores-split', [World.ip(a.wire)], [World.ip(b.wire)], false, span);
  },
  diskSlow: disk('slow'),
  diskStalled: disk('stall'),
  diskFull: disk('full'),
  diskGone: disk('gone'),
  clockJumped: async (world, span) => {
    const node = world.random.pick([...world.kit.cores, ...world.kit.fronts]).node;
    let heal: () => void = () => {};
    await during(
      world,
      'clock-jumped',
      [],
      span,
      () => {
        heal = world.faults.clock(node, (world.random.next() - 0.5) * 7_200_000);
      },
      () => heal(),
    );
  },
  agentKilled: (world, span) =>
    killFront(world, 'agent-killed', world.random.pick(world.kit.fronts), span, 'agent'),
  proxyKilled: (world, span) =>
    killFront(world, 'proxy-killed', world.random.pick(world.kit.fronts), span, 'proxy'),
  frontKilled: (world, span) =>
    killFront(world, 'front-killed', world.random.pick(world.kit.fronts), span, 'both'),
  agentsKilledAtOnce: (world, span) =>
    Promise.all(
      world.kit.fronts.map((one) => killFront(world, 'agents-killed', one, Math.min(span, 1000), 'agent')),
    ).then(() => {}),
  proxyFrozen: (world, span) => {
    const one = world.random.pick(world.kit.fronts);
    return freeze(world, 'proxy-frozen', one.node, one.proxy, span);
  },
  agentFrozen: (world, span) => {
    const one = world.random.pick(world.kit.fronts);
    return freeze(world, 'agent-frozen', one.node, one.agent, span);
  },
  frontCut: async (world, span) => {
    const one = world.random.pick(world.kit.fronts);
    const others = allIps(world).map((each) => each.ip);
    await cut(world, 'front-cut', [World.ip(one.wire)], others, false, span);
  },
  frontCutFromCores: async (world, span) => {
    const one = world.random.pick(world.kit.fronts);
    const cores = world.kit.cores.map((each) => World.ip(each.wire));
    await cut(world, 'front-cut-from-cores', [World.ip(one.wire)], cores, world.random.next() < 0.4, span);
  },
  regionCut: async (world, span) => {
    const { inside, outside } = regionIps(world, pickRegion(world));
    await cut(world, 'region-cut', inside, outside, false, span);
  },
  regionCutOneWay: async (world, span) => {
    const { inside, outside } = regionIps(world, pickRegion(world));
    await cut(world, 'region-cut-one-way', inside, outside, true, span);
  },
  serverKilled: async (world, span) => {
    const one = world.random.pick(world.kit.servers);
    await alone(world, one, () =>
      during(
        world,
        'server-killed',
        [one.instance],
        span,
        () => one.process?.end('SIGKILL'),
        () => {
          one.cold = 3000;
          return world.kit.startServer(one);
        },
      ),
    );
  },
  serverDark: (world, span) => {
    const one = world.random.pick(world.kit.servers);
    return freeze(world, 'server-dark', one.instance, one.process, span);
  },
  serverResets: serverFault({ kind: 'reset' }),
  serverStalls: serverFault({ kind: 'stall' }),
  serverCuts: serverFault({ kind: 'cut', after: 4 }),
  serverFails: serverFault({ kind: 'status', status: 503 }),
  serverRefuses: serverFault({ kind: 'status', status: 429, isNotRun: true, retryAfter: 1 }),
} as const satisfies Breakers;
