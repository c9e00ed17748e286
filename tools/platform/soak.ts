/**
 * A seeded soak of whole programs with tenants: clients go on using their open connections until these are closed, while
 * several series of signals, restarts, faults of servers, changes of tenants and limits, and crowds that do not behave run
 * beside each other. At its end the checks that hold for every machine, in touch or not, judge the recordings. By hand:
 * node dist/tools/platform/soak.js --seed 1 --seeds 50 --seconds 30
 */
import { mkdtempSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import sade from 'sade';
import type { Process } from '../process.js';
import { Random } from '../random.js';
import { Checks } from './checks.js';
import type { Client } from './client.js';
import { Day } from './day.js';
import { PlatformFleet } from './fleet.js';
import { HostileSeries } from './hostile-series.js';
import type { Operator } from './operator.js';
import { Recording } from './recording.js';
import type { Verdict } from './verdict.js';
import { Words } from './words.js';

/** What a soak found. */
export type Soak = {
  readonly verdicts: Readonly<Record<string, Verdict>>;
  readonly counts: Readonly<Record<string, number>>;
  readonly notes: readonly string[];
};

export declare namespace Soak {
  type Terms = {
    readonly seed: number;
    readonly seconds: number;
    readonly frontsPerZone: number;
    /** Without tenants all requests are let in, so that many more reach the servers. */
    readonly hasTenants?: boolean;
    /** Whether crowds that do not behave press machines meanwhile. */
    readonly hasHostile?: boolean;
  };
}

/** Checks that hold for machines out of touch as well. */
const judged = [
  ...['twice', 'refused', 'unasked', 'labels', 'mixed', 'order', 'lost', 'route', 'home', 'attempts'],
  ...['race', 'again', 'invalid', 'inForce', 'back', 'readBack', 'tenant', 'revoked', 'quota'],
  ...['budget', 'failback'],
];
const { names } = PlatformFleet;
const zones = { 'a-1': 'a', 'b-1': 'b', 'c-1': 'c' };
/** What the settings of small machines state, so that small crowds go over it. */
const tightLimits = { 'memory-mb': 192, 'file-descriptors': 500 };
/** Mean pauses between crowds, in milliseconds, of series that overlap. */
const hostileSeries = [400, 700, 1200];
/** Keeps the crowds' choices apart from those of the other series. */
const hostileSeedOffset = 1_000_003;
/** The longest pause between the signals that follow a SIGTERM, in milliseconds. */
const repeatedSignalsMs = 400;
const pause = (spanMs: number) => new Promise<void>((resolve) => setTimeout(resolve, spanMs));

/** The tenants, with keys that come and go, and limits that change. */
class Tenants {
  private serial = 0;
  /** Keys that clients draw from: in force, removed, and never held. */
  readonly drawn: string[] = ['made-up-key'];
  private list: Operator.Subscriber[] = [];

  constructor(private readonly random: Random) {
    for (let index = 0; index < 6; index += 1)
      this.list.push({
        name: `tenant-${index}`,
        credentials: [this.makeKey(), this.makeKey()],
        ...(index === 0 ? {} : { 'rate-per-s': 2 + index, 'burst-size': 3 }),
        ...(index === 1 ? { priority: 0 } : {}),
      });
  }

  current(): readonly Operator.Subscriber[] {
    return this.list;
  }

  change(): void {
    const index = this.random.below(this.list.length);
    const tenant = this.list[index]!;
    const changes: readonly (() => Operator.Subscriber)[] = [
      () => ({ ...tenant, credentials: [...tenant.credentials.slice(1), this.makeKey()] }),
      () => ({ ...tenant, credentials: tenant.credentials.slice(0, 1) }),
      () => ({ ...tenant, 'rate-per-s': 1 + this.random.below(9), 'burst-size': this.random.below(6) }),
    ];
    this.list = this.list.with(index, this.random.pick(changes)());
  }

  private makeKey(): string {
    this.serial += 1;
    const key = `key-${this.serial}-${this.random.below(1_000_000)}`;
    this.drawn.push(key);
    return key;
  }
}

class SoakRun {
  readonly counts: Record<string, number> = {};
  private readonly tenants: Tenants;
  private revision = 2;
  private limits = {};
  private isOver = false;

  constructor(
    private readonly fleet: PlatformFleet,
    private readonly random: Random,
    private readonly hasTenants: boolean,
    private readonly hasHostile: boolean,
    private readonly hostile: HostileSeries,
  ) {
    this.tenants = new Tenants(random);
  }

  kinds(): readonly Client.Kind[] {
    return Day.kinds.map((kind) => ({
      ...kind,
      perSecond: kind.perSecond * 2,
      headers: (random: Random) => ({
        ...kind.headers(random),
        ...this.keyHeader(random.pick(this.tenants.drawn.slice(-16))),
      }),
    }));
  }

  /** A key of the tenant without a limit. */
  readonly currentKey = (): string => this.tenants.current()[0]!.credentials[0]!;

  async put(): Promise<number> {
    const base = this.revision === 2 ? 0 : this.revision - 1;
    const subscribers = this.hasTenants ? { subscribers: this.tenants.current() } : {};
    const configuration = Day.configuration(this.revision);
    const limits = { ...configuration.limits, ...this.limits };
    const next = { ...configuration, limits, ...subscribers };
    const status = await this.fleet.operator.put(next, base);
    if (status === 200) this.revision += 1;
    return status;
  }

  /** All series side by side, each with steps at random moments, for the given time. */
  async play(seconds: number): Promise<void> {
    const series = [
      this.repeat('front', 900, () => this.strikeMachine('front')),
      this.repeat('front', 1300, () => this.strikeMachine('front')),
      this.repeat('control', 3500, () => this.strikeMachine('control')),
      this.repeat('server', 1500, () => this.strikeServer()),
      this.repeat('change', 1100, () => this.changeTenants()),
      this.repeat('limits', 700, () => this.changeLimits()),
      this.repeat('hot', 2500, () => this.burst()),
      this.repeat('failing', 3000, () => this.failService()),
      this.repeat('watch', 100, async () => this.hostile.watch()),
      ...(this.hasHostile
        ? hostileSeries.map((mean) => this.repeat('hostile', mean, this.hostile.press))
        : []),
    ];
    await pause(seconds * 1000);
    this.isOver = true;
    await Promise.all(series);
  }

  private keyHeader(key: string): Record<string, string> {
    return this.hasTenants ? { [Words.key]: key } : {};
  }

  private async repeat(name: string, meanMs: number, step: () => Promise<void>): Promise<void> {
    while (!this.isOver) {
      await pause(meanMs * (0.5 + this.random.below(100) / 100));
      if (this.isOver) return;
      await step();
      this.counts[name] = (this.counts[name] ?? 0) + 1;
    }
  }

  private readonly struck = new Set<string>();

  private async strikeMachine(role: 'front' | 'control'): Promise<void> {
    const free = this.fleet.machines.filter((one) => one.role === role && !this.struck.has(one.name));
    if (free.length === 0) return;
    const machine = this.random.pick(free);
    this.struck.add(machine.name);
    const process = machine.process();
    const kind = this.random.pick(['SIGHUP', 'SIGHUP', 'SIGTERM', 'SIGKILL', 'SIGSTOP'] as const);
    this.counts[kind] = (this.counts[kind] ?? 0) + 1;
    process.signal(kind);
    if (kind === 'SIGSTOP') {
      await pause(300 + this.random.below(5000));
      process.signal('SIGCONT');
    } else if (kind !== 'SIGHUP') {
      const isDrain = kind === 'SIGTERM';
      this.fleet.recording.ends.push({ at: Recording.now(), front: machine.address, isDrain });
      if (isDrain) await this.repeatSignals(process);
      await process.ended;
      await machine.start();
    }
    this.struck.delete(machine.name);
  }

  /** Signals that come while a process ends, which must neither keep it nor end it sooner. */
  private async repeatSignals(process: Process): Promise<void> {
    for (let count = this.random.below(4); count > 0; count -= 1) {
      if (!process.isUp()) return;
      process.signal(this.random.pick(['SIGHUP', 'SIGTERM'] as const));
      await pause(this.random.below(repeatedSignalsMs));
    }
  }

  private async strikeServer(): Promise<void> {
    const up = this.fleet.engines().filter((engine) => engine.isUp());
    const engine = this.random.pick(up);
    const { service, zone } = engine.terms;
    if (this.random.below(2) === 0 || up.length < 7) {
      engine.fault(
        this.random.pick([
          { kind: 'lost', times: 2 },
          { kind: 'cut', after: 2, times: 2 },
        ] as const),
      );
      return;
    }
    await this.fleet.addEngine(service, zone, PlatformFleet.warmup.span);
    await this.fleet.retire(engine);
  }

  private failService(): Promise<void> {
    return this.fleet.failService(
      this.random.pick([names.model, names.plain]),
      1000 + this.random.below(9000),
    );
  }

  private async changeTenants(): Promise<void> {
    this.tenants.change();
    await this.put();
  }

  /** Changes what clients' connections keep from their opening, inside what all clients observe. */
  private async changeLimits(): Promise<void> {
    this.limits = {
      'idle-timeout-ms': 15_000 + 1000 * this.random.below(30),
      'max-header-bytes': 16_384 + 1024 * this.random.below(4),
    };
    await this.put();
  }

  /** One tenant asks for many times its limit, through all regions at once. */
  private async burst(): Promise<void> {
    const tenant = this.random.pick(this.tenants.current().slice(1));
    const key = tenant.credentials[0]!;
    const lookup = Day.kinds.at(-1)!;
    const hot: Client.Kind = { ...lookup, headers: () => this.keyHeader(key), retries: 0 };
    for (let round = 0; round < 12; round += 1) {
      for (const client of this.fleet.clients)
        for (let count = 0; count < 3; count += 1) void client.call(hot);
      await pause(100);
    }
  }
}

const countEnds = (recording: Recording): Record<string, number> => {
  const counts: Record<string, number> = {};
  for (const { outcome, status } of recording.ended)
    counts[`${outcome} ${status}`] = (counts[`${outcome} ${status}`] ?? 0) + 1;
  return counts;
};

export const Soak = {
  judged,
  async play({
    seed,
    seconds,
    frontsPerZone,
    hasTenants = true,
    hasHostile = false,
  }: Soak.Terms): Promise<Soak> {
    const random = Random.of(seed);
    const limits = hasHostile ? { ...PlatformFleet.limits, ...tightLimits } : PlatformFleet.limits;
    const fleet = await PlatformFleet.start({
      folder: mkdtempSync(join(tmpdir(), 'bramblebend-soak-')),
      seed,
      zones,
      fronts: frontsPerZone,
      servers: { [names.model]: 6, [names.plain]: 3 },
      areClientsClinging: true,
      hasUndelimited: true,
      limits,
    });
    const notes: string[] = [];
    let currentKey = () => 'none';
    const hostile = HostileSeries.of(fleet, Random.of(seed + hostileSeedOffset), {
      host: names.host,
      path: '/question/hostile',
      key: () => currentKey(),
      wirePort: PlatformFleet.wirePort,
      limits,
    });
    try {
      const run = new SoakRun(fleet, random, hasTenants, hasHostile, hostile);
      currentKey = run.currentKey;
      notes.push(`first configuration: ${await run.put()}`);
      while (!(await fleet.isReady())) await pause(20);
      for (const client of fleet.clients) client.play(run.kinds());
      await run.play(seconds);
      await Promise.all(fleet.clients.map((client) => client.pause()));
      await fleet.operator.read();
      for (const machine of fleet.machines)
        if (!machine.process().isUp()) notes.push(`${machine.name} has ended by itself`);
      hostile.watch();
      const verdicts = Checks.judge(fleet.recording, fleet.bounds);
      return {
        verdicts: {
          ...Object.fromEntries(judged.map((name) => [name, verdicts[name]!])),
          limits: { occasions: hostile.occasions(), breaches: hostile.breaches() },
        },
        counts: { ...run.counts, ...countEnds(fleet.recording) },
        notes,
      };
    } finally {
      hostile.leave();
      await fleet.stop();
    }
  },
};

const report = (seed: number, { verdicts, counts, notes }: Soak): boolean => {
  const broken = Object.entries(verdicts).flatMap(([name, { breaches }]) =>
    breaches.slice(0, 5).map((breach) => `  ${name}: ${breach}`),
  );
  const occasions = Object.entries(verdicts).map(([name, one]) => `${name} ${one.occasions}`);
  process.stdout.write(`seed ${seed}: ${broken.length === 0 ? 'kept' : 'BROKEN'}; ${notes.join('; ')}\n`);
  process.stdout.write(`  ${JSON.stringify(counts)}\n  occasions: ${occasions.join(', ')}\n`);
  if (broken.length > 0) process.stdout.write(`${broken.join('\n')}\n`);
  return broken.length > 0 || notes.length > 1;
};

type Flags = {
  seed: number;
  seeds: number;
  seconds: number;
  fronts: number;
  tenants: string;
  hostile: string;
};

if (process.argv[1] === fileURLToPath(import.meta.url))
  sade('soak', true)
    .option('--seed', 'the first seed', 1)
    .option('--seeds', 'how many seeds, one after the other', 1)
    .option('--seconds', 'how long each runs', 30)
    .option('--fronts', 'fronts in each of the three zones', 2)
    .option('--tenants', 'on, or off: then requests carry no key and have no limit', 'on')
    .option('--hostile', 'on, or off: then no crowds press the machines', 'on')
    .action(async ({ seed, seeds, seconds, fronts, tenants, hostile }: Flags) => {
      const terms = {
        seconds,
        frontsPerZone: fronts,
        hasTenants: tenants !== 'off',
        hasHostile: hostile !== 'off',
      };
      let bad = 0;
      for (let next = seed; next < seed + seeds; next += 1)
        if (report(next, await Soak.play({ seed: next, ...terms }))) bad += 1;
      process.stdout.write(`${seeds} seeds, ${bad} with a rule broken\n`);
      process.exitCode = bad > 0 ? 1 : 0;
    })
    .parse(process.argv);
