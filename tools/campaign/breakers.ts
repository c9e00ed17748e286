// The faults that a campaign draws from: those of our own machines, disks, clocks and links. Each breaks
// something, waits, and mends it again. The servers' and the callers' are kept beside them.
import { appendFileSync, existsSync, rmSync, statSync, truncateSync } from 'node:fs';
import { join } from 'node:path';
import { Faults } from '../faults/faults.js';
import type { FleetKit } from '../fleet-kit.js';
import type { Process } from '../process.js';
import { CallerBreakers } from './caller-breakers.js';
import { Places } from './places.js';
import { ServerBreakers } from './server-breakers.js';
import { World } from './world.js';

export type Breakers = Readonly<Record<string, (world: World, span: number) => Promise<void>>>;

const { during, alone } = Places;

const cut = async (
  world: World,
  kind: string,
  from: string[],
  to: string[],
  way: Faults.Way,
  span: number,
) => {
  let heal: () => void = () => {};
  await during(
    world,
    kind,
    { cuts: Faults.pairs(from, to, way) },
    span,
    () => {
      heal = world.faults.cut(from, to, way);
    },
    () => heal(),
  );
};

const freeze = (world: World, kind: string, name: string, one: Process | undefined, span: number) =>
  during(
    world,
    kind,
    { down: [name] },
    span,
    () => one?.signal('SIGSTOP'),
    () => one?.signal('SIGCONT'),
  );

const killCore = (
  world: World,
  kind: string,
  one: FleetKit.Core,
  span: number,
  between: () => void = () => {},
) =>
  alone(world, one, () =>
    during(
      world,
      kind,
      { down: [one.node] },
      span,
      async () => {
        await one.process?.end('SIGKILL');
        between();
      },
      () => world.kit.startCore(one),
    ),
  );

const wipe = (one: FleetKit.Core) => rmSync(one.data, { recursive: true, force: true });

const tear = (world: World, one: FleetKit.Core) => {
  const path = join(one.data, 'state.log');
  if (!existsSync(path)) return;
  if (world.random.next() < 0.5) appendFileSync(path, Buffer.from([0, 0, 1, 0, 7, 7, 7]));
  else {
    appendFileSync(path, Buffer.alloc(40));
    truncateSync(path, statSync(path).size - 1 - world.random.below(30));
  }
};

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
      {
        down: [...(parts === 'agent' ? [] : [one.node]), ...(parts === 'proxy' ? [] : [`${one.node}-agent`])],
      },
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
      { disks: [one.node] },
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

const pickCore = (world: World) => world.random.pick(world.kit.cores);
const pickFront = (world: World) => world.random.pick(world.kit.fronts);
const wireIps = (list: readonly { readonly wire: string }[]) => list.map((one) => World.ip(one.wire));
const allIps = (world: World) => Places.all(world).map((one) => one.ip);
const others = (world: World, ip: string) => allIps(world).filter((one) => one !== ip);

const regionCut = (kind: string, way: Faults.Way) => async (world: World, span: number) => {
  const region = Places.region(world);
  const all = Places.all(world);
  const inside = all.filter((one) => one.region === region).map((one) => one.ip);
  const outside = all.filter((one) => one.region !== region).map((one) => one.ip);
  await cut(world, kind, inside, outside, way, span);
};

const nodeBreakers = {
  coreKilled: (world, span) => killCore(world, 'core-killed', pickCore(world), span),
  coreKilledAtAck: (world, span) =>
    new Promise((resolve) => {
      const finish = () => {
        world.acks.delete(see);
        world.stop.removeEventListener('abort', finish);
        resolve();
      };
      const see = (node: string) => {
        const one = world.kit.cores.find((core) => core.node === node);
        if (!one) return;
        world.acks.delete(see);
        void killCore(world, 'core-killed-at-ack', one, span).then(finish);
      };
      world.acks.add(see);
      world.stop.addEventListener('abort', finish, { once: true });
    }),
  coreKilledInChange: async (world, span) => {
    const [first, second] = Places.two(world, world.kit.cores);
    const frozen = freeze(world, 'core-frozen', first.node, first.process, span);
    await World.pause(1100 + world.random.below(900), world.stop);
    await Promise.all([frozen, killCore(world, 'core-killed-in-change', second, span)]);
  },
  coresInRow: async (world, span) => {
    const [first, second] = Places.two(world, world.kit.cores);
    await killCore(world, 'core-killed', first, Math.min(span, 1500));
    await World.pause(5000, world.stop);
    await killCore(world, 'core-killed-next', second, span);
  },
  coreFrozen: (world, span) => {
    const one = pickCore(world);
    return freeze(world, 'core-frozen', one.node, one.process, span);
  },
  coreWiped: async (world, span) => {
    if (world.made.some((one) => one.kind === 'core-wiped')) return;
    const one = pickCore(world);
    await killCore(world, 'core-wiped', one, span, () => wipe(one));
  },
  coreTorn: async (world, span) => {
    const one = pickCore(world);
    await killCore(world, 'core-torn', one, span, () => tear(world, one));
  },
  coreReplaced: async (world, span) => {
    if (world.made.some((one) => ['core-replaced', 'core-wiped'].includes(one.kind))) return;
    const [lost, other] = Places.two(world, world.kit.cores);
    await alone(world, lost, async () => {
      const node = `${lost.node}-new`;
      const ip = world.kit.newAddress();
      const fresh = {
        node,
        zone: lost.zone,
        wire: `${ip}:7000`,
        http: `${ip}:7080`,
        data: `${lost.data}-new`,
      };
      World.begin(world, 'core-replaced', { down: [lost.node] });
      const started = World.begin(world, 'core-not-yet', { down: [node] });
      await lost.process?.end('SIGKILL');
      const frozen = freeze(world, 'core-frozen', other.node, other.process, Math.min(span, 2500));
      await World.pause(300, world.stop);
      await world.kit.startCore(fresh);
      world.kit.cores.splice(world.kit.cores.indexOf(lost), 1, fresh);
      await frozen;
      await World.pause(4000, world.stop);
      started();
    });
  },
  coresKilledAtOnce: async (world, span) => {
    await Promise.all(
      world.kit.cores.map((one) => killCore(world, 'cores-killed', one, Math.min(span, 1500))),
    );
  },
  primaryCut: async (world) => {
    const one = await Places.leader(world);
    if (!one) return;
    const ip = World.ip(one.wire);
    await cut(world, 'primary-cut', [ip], others(world, ip), 'both', 6000);
  },
  primaryFrozen: async (world, span) => {
    const one = await Places.leader(world);
    if (one) await freeze(world, 'primary-frozen', one.node, one.process, span + 1500);
  },
  coreCut: async (world, span) => {
    const ip = World.ip(pickCore(world).wire);
    await cut(world, 'core-cut', [ip], others(world, ip), 'both', span);
  },
  coreCutOneWay: async (world, span) => {
    const ip = World.ip(pickCore(world).wire);
    await cut(world, 'core-cut-one-way', [ip], others(world, ip), 'one', span);
  },
  coresSplitOneWay: async (world, span) => {
    const [a, b] = wireIps(Places.two(world, world.kit.cores));
    await cut(world, 'cores-split-one-way', [a!], [b!], 'one', span);
  },
  coresSplit: async (world, span) => {
    const [a, b] = wireIps(Places.two(world, world.kit.cores));
    await cut(world, 'cores-split', [a!], [b!], 'both', span);
  },
  diskSlow: disk('slow'),
  diskStalled: disk('stall'),
  diskFull: disk('full'),
  diskGone: disk('gone'),
  clockJumped: async (world, span) => {
    const { node } = world.random.pick([...world.kit.cores, ...world.kit.fronts]);
    let heal: () => void = () => {};
    await during(
      world,
      'clock-jumped',
      {},
      span,
      () => {
        heal = world.faults.clock(node, (world.random.next() - 0.5) * 7_200_000);
      },
      () => heal(),
    );
  },
  agentKilled: (world, span) => killFront(world, 'agent-killed', pickFront(world), span, 'agent'),
  proxyKilled: (world, span) => killFront(world, 'proxy-killed', pickFront(world), span, 'proxy'),
  frontKilled: (world, span) => killFront(world, 'front-killed', pickFront(world), span, 'both'),
  agentsKilledAtOnce: async (world, span) => {
    await Promise.all(
      world.kit.fronts.map((one) => killFront(world, 'agents-killed', one, Math.min(span, 1000), 'agent')),
    );
  },
  manyKilled: async (world, span) => {
    const fronts = world.kit.fronts.filter(() => world.random.next() < 0.5);
    const short = Math.min(span, 1500);
    await Promise.all([
      killCore(world, 'many-killed', pickCore(world), short),
      ...fronts.map((one) => killFront(world, 'many-killed', one, short, 'both')),
    ]);
  },
  regionKilled: async (world, span) => {
    const region = Places.region(world);
    const isThere = ({ zone }: { zone: string }) => Places.regionOf(world, zone) === region;
    await Promise.all([
      ...world.kit.cores.filter(isThere).map((one) => killCore(world, 'region-killed', one, span)),
      ...world.kit.fronts.filter(isThere).map((one) => killFront(world, 'region-killed', one, span, 'both')),
      ...world.kit.servers
        .filter((one) => one.backEnd.region === region)
        .map((one) => Places.killServer(world, 'region-killed', one, span)),
    ]);
  },
  frontBesideStale: async (world) => {
    const stale = pickCore(world);
    const fresh = pickFront(world);
    const island = wireIps([stale, fresh]);
    const outside = allIps(world).filter((one) => !island.includes(one));
    const aside = cut(world, 'island-cut', island, outside, 'both', 8000);
    await World.pause(5000, world.stop);
    await killFront(world, 'front-killed-beside-stale', fresh, 100, 'both');
    await aside;
  },
  proxyFrozen: (world, span) => {
    const one = pickFront(world);
    return freeze(world, 'proxy-frozen', one.node, one.proxy, span);
  },
  agentFrozen: (world, span) => {
    const one = pickFront(world);
    return freeze(world, 'agent-frozen', `${one.node}-agent`, one.agent, span);
  },
  frontCut: async (world, span) => {
    const ip = World.ip(pickFront(world).wire);
    await cut(world, 'front-cut', [ip], others(world, ip), 'both', span);
  },
  frontCutFromCores: async (world, span) => {
    const way = world.random.next() < 0.4 ? 'one' : 'both';
    const ip = World.ip(pickFront(world).wire);
    await cut(world, 'front-cut-from-cores', [ip], wireIps(world.kit.cores), way, span);
  },
  regionCut: regionCut('region-cut', 'both'),
  regionCutOneWay: regionCut('region-cut-one-way', 'one'),
} as const satisfies Breakers;

export const Breakers = { ...nodeBreakers, ...ServerBreakers, ...CallerBreakers };
