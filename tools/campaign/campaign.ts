// The seeded campaign: a whole fleet under its mix of requests while faults drawn from a seed break it,
// several at once; then everything heals and must serve again in time, and at the end a final fault wipes
// all. Exit code 1 when a checker found a breach.
import { setMaxListeners } from 'node:events';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import sade from 'sade';
import { Caller } from '../caller.js';
import { Checkers } from '../checkers.js';
import { Baobab } from '../deployments/baobab.js';
import { Deployment } from '../deployments/deployment.js';
import { Likhet } from '../deployments/likhet.js';
import { Faults } from '../faults/faults.js';
import { FleetKit } from '../fleet-kit.js';
import { InForce } from '../in-force.js';
import { Journal } from '../journal.js';
import { Main } from '../main.js';
import { Random } from '../random.js';
import { Report } from '../report.js';
import { Actors } from './actors.js';
import { Breakers } from './breakers.js';
import { Judge } from './judge.js';
import { World } from './world.js';

type Flags = {
  deployment: 'baobab' | 'likhet';
  seed: number;
  seeds: number;
  seconds: number;
  only: string;
  final: string;
  keep: boolean;
  small: boolean;
};

const backWithin = 12_000;
const mostAtOnce = 3;

const breakThings = async (world: World, random: Random, seconds: number, only: readonly string[]) => {
  const names = Object.keys(Breakers).filter((name) => only.length === 0 || only.includes(name));
  const running = new Set<Promise<void>>();
  const until = performance.now() + seconds * 1000;
  while (performance.now() < until) {
    await World.pause(300 + random.below(1500));
    if (running.size >= mostAtOnce) continue;
    const name = random.pick(names) as keyof typeof Breakers;
    const work = Breakers[name](world, 400 + random.below(5000))
      .catch((error: unknown) => {
        process.stderr.write(`breaker ${name}: ${String(error)}\n`);
      })
      .finally(() => running.delete(work));
    running.add(work);
  }
  await Promise.all([...running]);
};

const serveEach = async (kit: FleetKit, tag: string, within: number): Promise<number> => {
  const began = performance.now();
  const serve = async (front: FleetKit.Front) => {
    for (const kind of kit.deployment.mix)
      for (let count = 0; ; count += 1) {
        const entry = await Caller.once(kind, {
          id: `${tag}-${front.node}-${kind.name}-${count}`,
          proxy: front.listen,
          home: kind.homes[0]!,
          prefix: 0,
        });
        if (entry.outcome === 'whole') break;
        if (performance.now() - began > within)
          throw new Error(`${front.node} serves no ${kind.name}: ${JSON.stringify(entry)}`);
        await World.pause(50);
      }
  };
  await Promise.all(kit.fronts.map(serve));
  return performance.now() - began;
};

const recover = async (kit: FleetKit, world: World, tag: string): Promise<number> => {
  const began = performance.now();
  const left = () => Math.max(1, 3 * backWithin - (performance.now() - began));
  const stages: Record<string, number> = {};
  const mark = (name: string) => {
    stages[name] = Math.round(performance.now() - began);
  };
  await InForce.putWhenReady(kit, { ...kit.deployment.manifest, note: tag }, left());
  mark('manifest');
  while (!(await Actors.putServers(world)) && left() > 1) await World.pause(50);
  mark('servers');
  await InForce.everywhere(kit, kit.fronts, left());
  mark('inForce');
  await serveEach(kit, tag, left());
  mark('served');
  process.stderr.write(`${tag} ${JSON.stringify(stages)}\n`);
  return performance.now() - began;
};

const finalFault = async (kit: FleetKit, world: World): Promise<number> => {
  const nodes = [
    ...kit.cores.map((core) => core.process),
    ...kit.fronts.flatMap((one) => [one.agent, one.proxy]),
  ];
  await Promise.all(nodes.map((one) => one?.end('SIGKILL')));
  for (const core of kit.cores) rmSync(core.data, { recursive: true, force: true });
  const began = performance.now();
  await Promise.all([
    ...kit.cores.map(kit.startCore),
    ...kit.fronts.map(kit.startAgent),
    ...kit.fronts.map(kit.startProxy),
  ]);
  await recover(kit, world, 'after-final');
  return performance.now() - began;
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

const runSeed = async (flags: Flags, seed: number): Promise<boolean> => {
  const whole = { baobab: Baobab, likhet: Likhet }[flags.deployment];
  const chosen = flags.small ? Deployment.shrink(whole) : whole;
  const folder = mkdtempSync(join(tmpdir(), `bramblebend-campaign-${seed}-`));
  const faults = Faults.open(join(folder, 'faults.json'));
  const kit = await FleetKit.start({ folder, deployment: chosen, faults });
  const known = [...kit.servers];
  const stop = new AbortController();
  setMaxListeners(0, stop.signal);
  const salted = (salt: number) => Random.of(seed * 1000 + salt);
  const world: World = {
    kit,
    faults,
    random: salted(0),
    made: [],
    operators: Journal.open(join(folder, 'operators.journal')),
    monitor: Journal.open(join(folder, 'monitor.journal')),
    list: { serial: 0, evacuated: [] },
    busy: new Set(),
    stop: stop.signal,
  };
  try {
    await InForce.putWhenReady(kit, chosen.manifest);
    await Actors.putServers(world);
    await InForce.everywhere(kit);
    const callers = Caller.run({
      kinds: chosen.mix,
      proxies: () => kit.fronts.map((front) => front.listen),
      random: salted(5),
      journal: Journal.open(join(folder, 'callers.journal')),
    });
    const acting = Actors.run(world, salted);
    const only = flags.only === '' ? [] : String(flags.only).split(',');
    await breakThings(world, salted(6), flags.seconds, only);
    stop.abort();
    faults.healAll();
    await acting;
    for (const server of kit.servers)
      await fetch(`http://${server.address}/_fault`, { method: 'POST', body: '{"kind":"none"}' }).catch(
        () => {},
      );
    const healed = await recover(kit, world, 'after-faults').catch((error: Error) => error);
    await callers.stop();
    const finalAt = Journal.now();
    const final = flags.final === 'off' ? 0 : await finalFault(kit, world).catch((error: Error) => error);
    const journals = Report.read({ ...kit, servers: [...new Set([...known, ...kit.servers])] });
    const strangers = known.flatMap((server) =>
      Journal.read<Checkers.Run>(join(folder, `stranger-${server.instance.split('.r')[0]}.journal`)),
    );
    const zones = new Map([...known, ...kit.servers].map((one) => [one.instance, one.backEnd.zone]));
    const nodes = new Map(kit.fronts.map((front) => [front.listen, front.node]));
    const records: Judge.Records = {
      operators: Journal.read(join(folder, 'operators.journal')),
      held: Journal.read(join(folder, 'monitor.journal')),
      made: world.made,
      runs: [...journals.runs, ...strangers],
      ended: journals.ended,
      sent: Journal.read<Judge.Records['sent'][number] & { event: string }>(
        join(folder, 'callers.journal'),
      ).filter((one) => one.event === 'sent'),
      zoneOf: (instance) => zones.get(instance),
      nodeOf: (proxy) => nodes.get(proxy),
      finalAt,
    };
    const breaches: Record<string, readonly string[]> = {};
    for (const [name, check] of Object.entries(Checkers)) breaches[name] = check(journals);
    for (const [name, check] of Object.entries(Judge)) breaches[name] = check(records);
    const isLate = (span: number | Error) => span instanceof Error || span > backWithin;
    breaches.backInTime = [
      ...(isLate(healed) ? [`after the faults: ${String(healed)}`] : []),
      ...(isLate(final) ? [`after the final fault: ${String(final)}`] : []),
    ];
    await keepLogs(kit);
    const found = Object.entries(breaches).filter(([, list]) => list.length > 0);
    const whole = journals.ended.filter((one) => one.outcome === 'whole').length;
    const outcomes = journals.ended.reduce<Record<string, number>>((counts, one) => {
      const key = one.outcome === 'dropped' ? String(one.status) : one.outcome;
      counts[key] = (counts[key] ?? 0) + 1;
      return counts;
    }, {});
    const acks = records.operators.filter((one) => one.event === 'answer' && one.status === 200).length;
    process.stdout.write(
      `${JSON.stringify({
        seed,
        deployment: flags.deployment,
        faults: world.made.length,
        requests: journals.ended.length,
        whole,
        outcomes,
        changes: acks,
        backAfterFaultsMs: healed instanceof Error ? healed.message : Math.round(healed),
        backAfterFinalMs: final instanceof Error ? final.message : Math.round(final),
        breaches: Object.fromEntries(found.map(([name, list]) => [name, [list.length, ...list.slice(0, 5)]])),
        ...(found.length > 0
          ? {
              folder,
              made: world.made.map(
                (one) => `${one.kind} ${one.touches.join(' ')} ${Math.round(one.from)}-${Math.round(one.to)}`,
              ),
            }
          : {}),
      })}\n`,
    );
    if (found.length === 0 && !flags.keep) rmSync(folder, { recursive: true, force: true });
    return found.length === 0;
  } finally {
    await kit.stop();
  }
};

const run = async (flags: Flags): Promise<number> => {
  let isClean = true;
  for (let seed = Number(flags.seed); seed < Number(flags.seed) + Number(flags.seeds); seed += 1)
    isClean = (await runSeed(flags, seed)) && isClean;
  return isClean ? 0 : 1;
};

sade('campaign', true)
  .option('--deployment', 'baobab or likhet', 'baobab')
  .option('--seed', 'first seed', 1)
  .option('--seeds', 'how many seeds', 1)
  .option('--seconds', 'how long faults are made', 25)
  .option('--only', 'breakers to draw from, comma-separated', '')
  .option('--final', 'on or off: the final fault at the end', 'on')
  .option('--small', 'one machine and one server of each kind a zone', false)
  .option('--keep', 'keep the journals of clean runs', false)
  .action((flags: Flags) => {
    Main(run(flags));
  })
  .parse(process.argv);
