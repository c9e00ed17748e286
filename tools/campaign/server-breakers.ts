// The faults of servers: one that fails or refuses, many at once and for long, crash loops, dark and
// swallowed ones, and addresses that another service or another instance of the same group takes over.
import type { FleetKit } from '../fleet-kit.js';
import { Actors } from './actors.js';
import type { Breakers } from './breakers.js';
import { Places } from './places.js';
import { World } from './world.js';

const { during, alone } = Places;

const command = (server: FleetKit.Server, fault: object) =>
  fetch(`http://${server.address}/_fault`, {
    method: 'POST',
    body: JSON.stringify(fault),
    signal: AbortSignal.timeout(1000),
  }).catch(() => undefined);

const pickServer = (world: World) => world.random.pick(world.kit.servers);

const failing = (world: World, kind: string, list: readonly FleetKit.Server[], fault: object, span: number) =>
  during(
    world,
    kind,
    {},
    span,
    () => Promise.all(list.map((one) => command(one, fault))),
    () => Promise.all(list.map((one) => command(one, { kind: 'none' }))),
  );

const one = (fault: { readonly kind: string }) => (world: World, span: number) =>
  failing(world, `server-${fault.kind}`, [pickServer(world)], fault, Math.min(span, 2500));

const many = (kind: string, fault: object) => (world: World, span: number) => {
  const { group } = pickServer(world).backEnd;
  const list = world.kit.servers.filter((server) => server.backEnd.group === group);
  return failing(world, kind, list, fault, span + 1500);
};

const takeOver =
  (kind: string, other: (old: FleetKit.Server) => FleetKit.Server) => (world: World, span: number) => {
    const old = pickServer(world);
    return alone(world, old, () =>
      during(
        world,
        kind,
        { down: [old.instance] },
        Math.min(span, 3000),
        async () => {
          await old.process?.end('SIGKILL');
          await world.kit.startServer(other(old));
        },
        async () => {
          await world.strangers.get(old.address)?.process?.end('SIGKILL');
          old.cold = 3000;
          await world.kit.startServer(old);
        },
      ),
    );
  };

const stranger =
  (name: string, service: (old: FleetKit.Server) => string) =>
  (world: World) =>
  (old: FleetKit.Server): FleetKit.Server => {
    const instance = `stranger-${name}-${old.instance}`;
    const made = {
      ...old,
      instance,
      service: service(old),
      journal: `${world.kit.folder}/${instance}.journal`,
    };
    world.strangers.set(old.address, made);
    return made;
  };

const otherService = stranger('service', () => 'a-service-of-somebody');
const sibling = stranger('sibling', (old) => old.backEnd.group);

const dark =
  (kind: string, choose: (world: World) => readonly FleetKit.Server[]) => (world: World, span: number) => {
    const list = choose(world);
    const ips = list.map((server) => World.ip(server.address));
    const outside = Places.all(world)
      .map(({ ip }) => ip)
      .filter((ip) => !ips.includes(ip));
    let heal: () => void = () => {};
    return during(
      world,
      kind,
      { down: list.map((server) => server.instance) },
      span,
      () => {
        heal = world.faults.cut(ips, outside, 'both');
      },
      () => heal(),
    );
  };

export const ServerBreakers = {
  serverKilled: (world, span) => Places.killServer(world, 'server-killed', pickServer(world), span),
  serverLoops: async (world) => {
    const server = pickServer(world);
    for (let round = 0; round < 3 && !world.stop.aborted; round += 1) {
      await Places.killServer(world, 'server-loops', server, 300);
      await World.pause(700, world.stop);
    }
  },
  serverFrozen: (world, span) => {
    const server = pickServer(world);
    return during(
      world,
      'server-frozen',
      { down: [server.instance] },
      span,
      () => server.process?.signal('SIGSTOP'),
      () => server.process?.signal('SIGCONT'),
    );
  },
  serverDark: dark('server-dark', (world) => [pickServer(world)]),
  serversDark: dark('region-servers-dark', (world) => {
    const region = Places.region(world);
    return world.kit.servers.filter((server) => server.backEnd.region === region);
  }),
  serverResets: one({ kind: 'reset' }),
  serverStalls: one({ kind: 'stall' }),
  serverCuts: one({ kind: 'cut', after: 4 } as { kind: string }),
  serverFails: one({ kind: 'status', status: 503 } as { kind: string }),
  serverRefuses: one({ kind: 'status', status: 429, isNotRun: true, retryAfter: 1 } as { kind: string }),
  groupFails: many('group-fails', { kind: 'status', status: 503 }),
  groupRefuses: many('group-refuses', { kind: 'status', status: 429, isNotRun: true }),
  groupCuts: many('group-cuts', { kind: 'cut', after: 4 } as { kind: string }),
  groupResets: many('group-resets', { kind: 'reset' }),
  removedAtShortNotice: (world, span) =>
    Actors.replace(world, world.random, pickServer(world), Math.min(span, 1500)),
  groupRolled: async (world) => {
    const { group, region } = pickServer(world).backEnd;
    const list = world.kit.servers.filter(
      ({ backEnd }) => backEnd.group === group && backEnd.region === region,
    );
    for (const server of list)
      if (!world.stop.aborted) await Actors.replace(world, world.random, server, 1000);
  },
  listRacesNotices: async (world) => {
    const [one, other] = Places.two(world, world.kit.servers);
    await Promise.all([
      Actors.putServers(world),
      Actors.replace(world, world.random, one),
      Actors.putServers(world),
      Actors.replace(world, world.random, other),
      Actors.putServers(world),
    ]);
  },
  addressOfStranger: (world, span) => takeOver('address-of-stranger', otherService(world))(world, span),
  addressOfSibling: (world, span) => takeOver('address-of-sibling', sibling(world))(world, span),
} as const satisfies Breakers;
