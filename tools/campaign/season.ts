// One seed of the campaign: a whole fleet under its mix of requests while faults drawn from the seed break
// it, several at once; then everything heals and must serve again in time, and at the end a final fault.
import { setMaxListeners } from 'node:events';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { Caller } from '../caller.js';
import { Baobab } from '../deployments/baobab.js';
import { Deployment } from '../deployments/deployment.js';
import { Likhet } from '../deployments/likhet.js';
import { Faults } from '../faults/faults.js';
import { FleetKit } from '../fleet-kit.js';
import { InForce } from '../in-force.js';
import { Journal } from '../journal.js';
import { Random } from '../random.js';
import { Actors } from './actors.js';
import { Breakers } from './breakers.js';
import { Recovery } from './recovery.js';
import { Tenants } from './tenants.js';
import { Verdicts } from './verdicts.js';
import { World } from './world.js';

export type Season = Verdicts & { readonly folder: string; readonly isClean: boolean };

export declare namespace Season {
  type Terms = {
    readonly deployment: 'baobab' | 'likhet';
    readonly seed: number;
    readonly seconds: number;
    readonly only: readonly string[];
    readonly final: 'off' | Recovery | 'drawn';
    readonly keep: boolean;
    readonly small: boolean;
    readonly atOnce: number;
  };
}

const illCallers = 0.05;

const breakThings = async (world: World, random: Random, terms: Season.Terms) => {
  const names = Object.keys(Breakers).filter((name) => terms.only.length === 0 || terms.only.includes(name));
  const running = new Set<Promise<void>>();
  const until = performance.now() + terms.seconds * 1000;
  while (performance.now() < until) {
    await World.pause(300 + random.below(1500));
    if (running.size >= terms.atOnce) continue;
    const name = random.pick(names) as keyof typeof Breakers;
    const work: Promise<void> = Breakers[name](world, 400 + random.below(5000))
      .catch((error: unknown) => {
        process.stderr.write(`breaker ${name}: ${String(error)}\n`);
      })
      .finally(() => running.delete(work));
    running.add(work);
  }
  return () => Promise.all([...running]);
};

const keepLogs = async (kit: FleetKit): Promise<void> => {
  const places = [
    ...kit.cores.map((core) => [core.node, core.http] as const),
    ...kit.fronts.flatMap((front) => [
      [front.node, front.ops] as const,
      [`${front.node}-agent`, front.agentOps] as const,
    ]),
  ];
  await Promise.all(
    places.map(async ([node, address]) => {
      const told = await fetch(`http://${address}/log`, { signal: AbortSignal.timeout(3000) }).catch(
        () => undefined,
      );
      if (told) writeFileSync(join(kit.folder, `${node}.ring`), await told.text());
    }),
  );
};

const machine = ({ node, wire }: { node: string; wire: string }) => ({ node, ip: World.ip(wire) });

export const Season = {
  async run(terms: Season.Terms): Promise<Season> {
    const whole = { baobab: Baobab, likhet: Likhet }[terms.deployment];
    const chosen = terms.small ? Deployment.shrink(whole) : whole;
    const folder = mkdtempSync(join(tmpdir(), `bramblebend-campaign-${terms.seed}-`));
    const faults = Faults.open(join(folder, 'faults.json'));
    const kit = await FleetKit.start({ folder, deployment: chosen, faults });
    const cores = [...kit.cores];
    const servers = [...kit.servers];
    const stop = new AbortController();
    setMaxListeners(0, stop.signal);
    const salted = (salt: number) => Random.of(terms.seed * 1000 + salt);
    const callersJournal = Journal.open(join(folder, 'callers.journal'));
    const world: World = {
      kit,
      faults,
      random: salted(0),
      made: [],
      operators: Journal.open(join(folder, 'operators.journal')),
      monitor: Journal.open(join(folder, 'monitor.journal')),
      callers: callersJournal,
      list: { serial: 0, evacuated: [] },
      busy: new Set(),
      acks: new Set(),
      strangers: new Map(),
      stop: stop.signal,
    };
    const settled = (work: Promise<Record<string, number>>) => work.catch((error: Error) => error.message);
    try {
      await InForce.putWhenReady(kit, chosen.manifest);
      await Actors.putServers(world);
      await InForce.everywhere(kit);
      const startedAt = Journal.now();
      const callers = Caller.run({
        kinds: chosen.mix,
        proxies: () => kit.fronts.map((front) => front.listen),
        random: salted(5),
        journal: callersJournal,
        ill: illCallers,
      });
      const acting = Actors.run(world, salted);
      const ended = await breakThings(world, salted(6), terms);
      stop.abort();
      await ended();
      faults.healAll();
      await acting;
      for (const server of kit.servers)
        await fetch(`http://${server.address}/_fault`, { method: 'POST', body: '{"kind":"none"}' }).catch(
          () => {},
        );
      const healed = await settled(Recovery.afterFaults(world));
      await callers.stop();
      const finalAt = Journal.now();
      const final = terms.final === 'drawn' ? salted(7).pick(Recovery.kinds) : terms.final;
      const watch = new AbortController();
      setMaxListeners(0, watch.signal);
      const watching = Actors.look({ ...world, stop: watch.signal });
      const back = final === 'off' ? 'off' : await settled(Recovery.afterFinal(world, final));
      watch.abort();
      await watching;
      const all = [...new Set([...servers, ...kit.servers])];
      Verdicts.keep(folder, {
        made: world.made,
        cores: [...new Set([...cores, ...kit.cores])].map(machine),
        fronts: kit.fronts.map((front) => ({ ...machine(front), listen: front.listen })),
        servers: all.map(({ instance, backEnd: { group, region, zone } }) => ({
          instance,
          group,
          region,
          zone,
        })),
        homes: Object.fromEntries(
          Object.entries(chosen.manifest.homes).map(([name, home]) => [name, home.regions]),
        ),
        tenants: Tenants.of(chosen),
        startedAt,
        finalAt,
        final,
        healed,
        back,
      });
      const told = Verdicts.of(folder);
      const isClean = Object.values(told.verdicts).every(({ breaches }) => breaches.length === 0);
      if (!isClean || terms.keep) await keepLogs(kit);
      else rmSync(folder, { recursive: true, force: true });
      return { ...told, folder, isClean };
    } finally {
      stop.abort();
      await kit.stop();
      await Promise.all([...world.strangers.values()].map((one) => one.process?.end('SIGKILL')));
    }
  },
};
