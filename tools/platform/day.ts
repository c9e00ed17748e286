/**
 * A short seeded run on the simulated platform: a fleet, a mix of requests, chosen faults, and the verdicts of the checks at
 * the end. By hand it prints them: node dist/tools/platform/day.js --seed 7 --faults calm
 */
import { mkdtempSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import sade from 'sade';
import type { Random } from '../random.js';
import { Random as Seeded } from '../random.js';
import { Checks } from './checks.js';
import type { Client } from './client.js';
import { PlatformFleet } from './fleet.js';
import type { Operator } from './operator.js';
import { Recording } from './recording.js';
import { Verdict } from './verdict.js';
import { Words } from './words.js';

/** The result of a run. */
export type Day = {
  readonly verdicts: Readonly<Record<string, Verdict>>;
  readonly kinds: Readonly<Record<string, Day.Figures>>;
  readonly statuses: readonly number[];
  readonly notes: readonly string[];
  /** Extra tries by group and by what paid for them, as counted by the fronts that ran at the end. */
  readonly extraTries: Readonly<Record<string, number>>;
  readonly recording: Recording;
};

/** Types used with it. */
export declare namespace Day {
  type Fault = keyof typeof faults;
  type Figures = {
    readonly asked: number;
    readonly served: number;
    readonly inTime: number;
    readonly ends: Readonly<Record<string, number>>;
  };
  type Terms = { readonly seed: number; readonly faults: readonly Fault[]; readonly span?: number };
}

const { names, warmup } = PlatformFleet;
const zones = { 'a-1': 'a', 'b-1': 'b', 'c-1': 'c' };
const pause = (span: number) => new Promise<void>((resolve) => setTimeout(resolve, span));
const hexOf = (random: Random, of: string, count: number): string =>
  `${of}${random.below(count).toString(16).padStart(4, '0')}`;

const kinds: readonly Client.Kind[] = [
  {
    name: 'dossier',
    host: names.host,
    path: (random) => `/dossier/${random.below(50)}`,
    runs: 'once',
    isStream: true,
    aim: 800,
    gap: 600,
    deadline: 4000,
    retries: 1,
    perSecond: 4,
    bytes: 18_000,
    headers: (random) => ({
      [Words.model]: 'm',
      [Words.tokens]: '9190,52',
      [Words.parts]: `${hexOf(random, 'a', 4)}:2520,${hexOf(random, 'b', 65)}:3780,${hexOf(random, 'c', 65_536)}:2890`,
    }),
  },
  {
    name: 'question',
    host: names.host,
    path: (random) => `/question/${random.below(50)}`,
    runs: 'resumable',
    isStream: true,
    aim: 600,
    gap: 600,
    deadline: 10_000,
    retries: 1,
    perSecond: 6,
    bytes: 1700,
    headers: (random) => ({
      [Words.model]: 'm',
      [Words.tokens]: '826,288',
      [Words.parts]: `${hexOf(random, 'd', 8)}:119,${hexOf(random, 'e', 215)}:79,${hexOf(random, 'f', 65_536)}:628`,
    }),
  },
  {
    name: 'lookup',
    host: names.host,
    path: (random) => `/stock/${random.below(50)}`,
    runs: 'repeatable',
    isStream: false,
    aim: 300,
    gap: 0,
    deadline: 3000,
    retries: 1,
    perSecond: 3,
    bytes: 600,
    headers: () => ({}),
  },
];

const route = (name: string, prefix: string, more: object): Operator.Route => ({
  name,
  'origin-host': names.host,
  'path-prefix': prefix,
  ...more,
});

const configuration = (
  revision: number,
  more: { readonly question?: object } = {},
): Operator.Configuration => ({
  revision,
  'route-table': [
    route('dossier', '/dossier/', {
      'route-class': 'streaming',
      'timeout-ms': 4000,
      'target-latency-ms': 800,
      priority: 1,
      'target-service': names.model,
      'max-attempts': 2,
      affinity: true,
      resumable: false,
      'target-gap-ms': 600,
      'home-regions': [],
    }),
    route('question', '/question/', {
      'route-class': 'streaming',
      'timeout-ms': 10_000,
      'target-latency-ms': 600,
      priority: 0,
      'target-service': names.model,
      'max-attempts': 2,
      affinity: true,
      resumable: true,
      'target-gap-ms': 600,
      'home-regions': ['a', 'b'],
      ...more.question,
    }),
    route('stock', '/stock/', {
      'route-class': 'safe',
      'timeout-ms': 3000,
      'target-latency-ms': 300,
      priority: 2,
      'weighted-targets': [
        { 'target-service': names.plain, share: 90 },
        { 'target-service': names.plain, share: 10 },
      ],
      'max-attempts': 2,
      'home-regions': [],
    }),
  ],
  services: [
    {
      name: names.model,
      'health-path': '/health',
      'max-connections': 370,
      protocol: 'h1',
      tls: false,
      'warmup-s': warmup.span / 1000,
      'warmup-per-s': warmup.perSecond,
      runtime: { capacity: 64, 'cache-tokens': 256_325, models: [{ name: 'm' }] },
    },
    { name: names.plain, 'health-path': '/health', 'max-connections': 110, protocol: 'h1', tls: false },
  ],
  limits: {
    'max-header-bytes': 16_384,
    'max-body-bytes': 4_194_304,
    'header-timeout-ms': 3000,
    'idle-timeout-ms': 15_000,
  },
});

type Play = (fleet: PlatformFleet, random: Random) => Promise<void>;

/** How long a server of a day is cold, in milliseconds. */
const coldSpanMs = 2500;
/** Servers that are cold one after the other, until one of them has got a request. */
const maxColdRounds = 5;
/** How long all servers of a service fail; longer than the window in which retries are counted. */
const failingSpanMs = 12_000;

const someEngine = (fleet: PlatformFleet, random: Random, service: string = names.model) =>
  random.pick(fleet.engines().filter((engine) => engine.terms.service === service && engine.isUp()));

const faults = {
  crash: async (fleet, random) => fleet.crash(someEngine(fleet, random)),
  dark: async (fleet, random) => {
    const engine = someEngine(fleet, random);
    engine.fault({ kind: 'dark' });
    await pause(2500);
    engine.fault({ kind: 'none' });
  },
  cut: async (fleet, random) => someEngine(fleet, random).fault({ kind: 'cut', after: 2, times: 3 }),
  garble: async (fleet, random) => someEngine(fleet, random).fault({ kind: 'garble', times: 2 }),
  surplus: async (fleet, random) => {
    someEngine(fleet, random).fault({ kind: 'surplus', when: 'next', times: 3 });
    someEngine(fleet, random, names.plain).fault({ kind: 'surplus', when: 'at-once', times: 3 });
  },
  lost: async (fleet, random) => {
    someEngine(fleet, random).fault({ kind: 'lost', times: 2 });
    someEngine(fleet, random, names.plain).fault({ kind: 'lost', times: 2 });
  },
  grey: async (fleet, random) => {
    const engine = someEngine(fleet, random);
    engine.fault({ kind: 'grey', oneIn: 3 });
    await pause(2500);
    engine.fault({ kind: 'none' });
  },
  failing: (fleet) => fleet.failService(names.plain, failingSpanMs),
  health: async (fleet, random) => {
    someEngine(fleet, random).fault({ kind: 'health', says: 503 });
    await pause(2500);
  },
  forget: async (fleet) => {
    for (const engine of fleet.engines()) engine.fault({ kind: 'forget' });
  },
  full: async (fleet, random) =>
    someEngine(fleet, random).fault({ kind: 'answer', status: 503, retryAfter: 0.2, times: 6 }),
  drain: async (fleet, random) => {
    const engine = someEngine(fleet, random);
    await fleet.addEngine(names.model, engine.terms.zone, warmup.span);
    await fleet.retire(engine);
  },
  cold: async (fleet, random) => {
    for (let round = 0; round < maxColdRounds; round += 1) {
      someEngine(fleet, random).chill(coldSpanMs);
      await pause(coldSpanMs);
      if (Verdict.arrivals(fleet.recording).some(({ isCold }) => isCold)) return;
    }
  },
  evacuate: async (fleet, random) => {
    const zone = random.pick(Object.keys(zones));
    await fleet.operator.evacuate(zone);
    await pause(3500);
    await fleet.operator.takeBack(zone);
  },
  change: async (fleet) => {
    const [newest] = versionsOf(fleet.recording).slice(-1);
    await fleet.operator.put(
      configuration(newest! + 3, { question: { 'timeout-ms': 9000, 'home-regions': ['a', 'b', 'c'] } }),
      newest!,
    );
  },
  race: async (fleet) => {
    const [newest = 0] = versionsOf(fleet.recording).slice(-1);
    await Promise.all([
      fleet.operator.put(configuration(newest + 2, { question: { 'timeout-ms': 9500 } }), newest),
      fleet.operator.put(configuration(newest + 4, { question: { 'timeout-ms': 8500 } }), newest),
    ]);
  },
  bad: async (fleet) => {
    const [newest = 0] = versionsOf(fleet.recording).slice(-1);
    const wrong = configuration(newest + 5, { question: { 'target-service': 'nobody' } });
    await fleet.operator.put(wrong, newest, { isValid: false });
  },
  again: async (fleet) => {
    const [newest = 0] = versionsOf(fleet.recording).slice(-1);
    const next = configuration(newest + 3, { question: { 'timeout-ms': 9200 } });
    await fleet.operator.put(next, newest);
    await fleet.operator.put(next, newest);
  },
  frontKill: async (fleet, random) => restart(fleet, random, 'front'),
  controlKill: async (fleet, random) => restart(fleet, random, 'control'),
  listDown: async (fleet) => {
    fleet.list.fault(true);
    await pause(2000);
    fleet.list.fault(false);
  },
} satisfies Record<string, Play>;

const restart = async (fleet: PlatformFleet, random: Random, role: 'front' | 'control'): Promise<void> => {
  const machine = random.pick(fleet.machines.filter((one) => one.role === role));
  fleet.recording.ends.push({ at: Recording.now(), front: machine.address });
  await machine.process().end('SIGKILL');
  await pause(500);
  await machine.start();
};

const versionsOf = (recording: Recording): readonly number[] =>
  recording.orders
    .flatMap((order) => (order.kind === 'configuration' && order.status === 200 ? [order.revision] : []))
    .sort((a, b) => a - b);

const figuresOf = (recording: Recording, kind: Client.Kind): Day.Figures => {
  const sent = recording.sent.filter((one) => one.kind === kind.name);
  const kindOf = new Set(sent.map((one) => one.request));
  const ended = recording.ended.filter((one) => kindOf.has(one.request));
  const last = new Map(ended.map((one) => [one.request, one]));
  const began = new Map([...sent].reverse().map((one) => [one.request, one.at]));
  const served = [...last.values()].filter((one) => one.outcome === 'whole');
  const inTime = served.filter((one) => {
    const tries = ended.filter((other) => other.request === one.request);
    const first = tries[0]!;
    const waited = kind.isStream
      ? (first.first ?? Number.POSITIVE_INFINITY)
      : one.at - began.get(one.request)!;
    return tries.length === 1 && waited <= kind.aim && (one.widest ?? 0) <= Math.max(kind.gap, 1);
  });
  const ends: Record<string, number> = {};
  for (const one of ended) {
    const code = /"(?:code|cause)":"(\w+)"/.exec(one.why ?? '')?.[1];
    const name = [one.outcome, one.status, ...(code === undefined ? [] : [code])].join(' ');
    ends[name] = (ends[name] ?? 0) + 1;
  }
  return { asked: kindOf.size, served: served.length, inTime: inTime.length, ends };
};

/** Plays runs. */
export const Day = {
  faults: Object.keys(faults) as readonly Day.Fault[],
  kinds,
  configuration,
  async play(terms: Day.Terms): Promise<Day> {
    const random = Seeded.of(terms.seed);
    const notes: string[] = [];
    const fleet = await PlatformFleet.start({
      folder: mkdtempSync(join(tmpdir(), 'bramblebend-day-')),
      seed: terms.seed,
      zones,
      fronts: 1,
      servers: { [names.model]: 6, [names.plain]: 3 },
    });
    try {
      const first = await fleet.operator.put(configuration(2), 0);
      notes.push(`first configuration: ${first}`);
      while (!(await fleet.isReady())) await pause(20);
      const span = terms.span ?? 4000;
      for (const client of fleet.clients) client.play(kinds);
      await pause(span / 2);
      for (const fault of terms.faults) {
        await faults[fault](fleet, random);
        await pause(span / 4);
      }
      await pause(span / 2);
      await Promise.all(fleet.clients.map((client) => client.pause()));
      await fleet.operator.read();
      const extraTries = await fleet.extraTries();
      for (const machine of fleet.machines)
        if (!machine.process().isUp()) notes.push(`${machine.name} has ended by itself`);
      return {
        verdicts: Checks.judge(fleet.recording, fleet.bounds),
        kinds: Object.fromEntries(kinds.map((kind) => [kind.name, figuresOf(fleet.recording, kind)])),
        statuses: fleet.recording.orders.map((order) => order.status),
        notes,
        extraTries,
        recording: fleet.recording,
      };
    } finally {
      await fleet.stop();
    }
  },
};

const print = (day: Day): void => {
  const lines = Object.entries(day.verdicts).map(
    ([name, { occasions, breaches }]) =>
      `${name.padEnd(12)} ${String(occasions).padStart(6)} occasions ${breaches.length === 0 ? 'kept' : `BROKEN ${breaches.length}`}`,
  );
  process.stdout.write(
    `${lines.join('\n')}\n${JSON.stringify(day.kinds, null, 1)}\nextra tries: ${JSON.stringify(day.extraTries)}\n${day.notes.join('\n')}\n`,
  );
  for (const [name, { breaches }] of Object.entries(day.verdicts))
    for (const breach of breaches.slice(0, 5)) process.stdout.write(`${name}: ${breach}\n`);
};

if (process.argv[1] === fileURLToPath(import.meta.url))
  sade('day', true)
    .option('--seed', 'seed of the day', 1)
    .option('--faults', `calm, all, or some of ${Object.keys(faults).join(',')}`, 'calm')
    .option('--span', 'milliseconds of the calm before and after', 4000)
    .action(async (flags: { seed: number; faults: string; span: number }) => {
      const chosen =
        flags.faults === 'calm'
          ? []
          : flags.faults === 'all'
            ? Day.faults
            : (flags.faults.split(',') as readonly Day.Fault[]);
      const day = await Day.play({ seed: flags.seed, faults: chosen, span: flags.span });
      print(day);
      process.exitCode = Object.values(day.verdicts).some((verdict) => verdict.breaches.length > 0) ? 1 : 0;
    })
    .parse(process.argv);
