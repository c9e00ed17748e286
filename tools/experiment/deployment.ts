/** The servers of an experiment and the configuration that names them, as the platform's list shows them. */
import type { Random } from '../random.js';
import { Server } from './server.js';
import type { Timeline } from './timeline.js';
import type { Workload } from './workload.js';

/** All servers, and who is told when the list of them changes. */
export type Deployment = {
  readonly servers: () => readonly Server[];
  readonly find: (instance: string) => Server | undefined;
  /** What proxies are told, as a view. */
  readonly view: () => unknown;
  readonly onChange: (see: () => void) => void;
  /** Marks servers as leaving, or takes the mark off. */
  readonly leave: (instances: readonly string[], isLeaving: boolean) => void;
  readonly remove: (instance: string) => void;
  /** A new server of a service, which warms up. */
  readonly add: (zone: Workload.Zone, service: Workload.Service) => Server;
  readonly warm: (instances: readonly string[]) => void;
};

const listLag = 800;
const port = 8000;
const neverFull = 100_000;

const ruleOf = (kind: Workload.Kind) => ({
  name: kind.name,
  match: { path: `/${kind.name}` },
  groups: [kind.service],
  runs: kind.runs,
  ...(kind.homes ? { home: { regions: kind.homes } } : {}),
  hops: kind.servers - 1,
  timeouts: {
    connect: 1000,
    first_byte: kind.deadline,
    per_try: kind.deadline,
    total: kind.deadline,
    idle: kind.deadline,
  },
  retry: {
    count: kind.servers - 1,
    retry_on: ['connect-failure', 'refused-stream', 'reset', 'gateway-error', '5xx'],
  },
  aim: kind.aim,
  ...(kind.gap === undefined ? {} : { gap: kind.gap }),
  priority: kind.priority,
  affinity: kind.prompt !== undefined,
});

const groupOf = (service: Workload.Service, regions: readonly string[]) => ({
  kind: service.engine ? 'model' : 'plain',
  regions,
  proof: { header: 'only-instance', misdirected: 421 },
  not_run: [{ status: 503, header: 'not-run' }],
  concurrent: neverFull,
  ...(service.engine ? { models: ['m'], memory: service.engine.memory } : {}),
  ...(service.warmup ? { warmup: { per_second: service.warmup.perSecond, span: service.warmup.span } } : {}),
});

const documentOf = (workload: Workload) => {
  const regions = [...new Set(workload.zones.map(({ region }) => region))];
  return {
    zones: Object.fromEntries(workload.zones.map(({ name, region }) => [name, { region }])),
    groups: Object.fromEntries(workload.services.map((service) => [service.name, groupOf(service, regions)])),
    homes: { all: { regions } },
    teams: { all: { keys: [], home: 'all', open: true } },
    rules: workload.kinds.map(ruleOf),
  };
};

type Listed = { readonly server: Server; readonly isLeaving: boolean; readonly warming: number };

const viewOf = (document: object, serial: number, listed: readonly Listed[]) => ({
  stamp: { epoch: 1, revision: serial },
  manifest: { revision: 1, epoch: 1, document },
  platform: {
    revision: 1,
    epoch: 1,
    serial,
    leaving: [],
    servers: listed.map(({ server, isLeaving, warming }, index) => ({
      instance: server.instance,
      group: server.service.name,
      address: `10.9.${index >> 8}.${index & 255}:${port}`,
      region: server.zone.region,
      zone: server.zone.name,
      slots: server.service.slots,
      warming,
      isLeaving,
    })),
  },
});

/** Deployments of experiments. */
export const Deployment = {
  of(workload: Workload, timeline: Timeline, random: Random): Deployment {
    const listed = new Map<string, Listed>();
    const document = documentOf(workload);
    const watchers: (() => void)[] = [];
    let built = 0;
    let isPlanned = false;
    const build = (zone: Workload.Zone, service: Workload.Service, warming: number): Server => {
      built += 1;
      const instance = `server-${built}`;
      const speed = service.speeds[built % service.speeds.length]!;
      const server = Server.of({ instance, zone, service, speed, timeline, random });
      listed.set(instance, { server, isLeaving: false, warming });
      return server;
    };
    const change = () => {
      if (isPlanned) return;
      isPlanned = true;
      timeline.after(listLag, () => {
        isPlanned = false;
        for (const see of watchers) see();
      });
    };
    const update = (instances: readonly string[], how: (one: Listed) => Listed) => {
      for (const instance of instances) {
        const one = listed.get(instance);
        if (one) listed.set(instance, how(one));
      }
      change();
    };
    for (const zone of workload.zones)
      for (const service of workload.services)
        for (let count = 0; count < (zone.servers[service.name] ?? 0); count += 1) build(zone, service, 0);
    const all = new Map([...listed].map(([instance, { server }]) => [instance, server]));
    return {
      servers: () => [...listed.values()].map(({ server }) => server),
      find: (instance) => all.get(instance),
      onChange: (see) => void watchers.push(see),
      leave: (instances, isLeaving) => update(instances, (one) => ({ ...one, isLeaving })),
      remove(instance) {
        listed.delete(instance);
        change();
      },
      add(zone, service) {
        const server = build(zone, service, service.warmup?.span ?? 0);
        all.set(server.instance, server);
        change();
        return server;
      },
      warm: (instances) =>
        update(instances, (one) => ({
          ...one,
          warming: (one.server.service.warmup?.span ?? 0) + random.next(),
        })),
      view: () => viewOf(document, built, [...listed.values()]),
    };
  },
};
