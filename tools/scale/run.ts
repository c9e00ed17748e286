/** One scale run: starts cores and machines, measures each role at rest and over each event, and ends them all. */
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as pause } from 'node:timers/promises';
import { type Cost, Costs, type Rates } from './costs.js';
import { Counts } from './counts.js';
import { Documents } from './documents.js';
import { type ScaleEvent, ScaleEvents } from './events.js';
import { Stage } from './stage.js';
import { World } from './world.js';

/** A run's outcome. */
export type Run = { readonly report: Run.Report };

/** Size, events and report of a run. */
export declare namespace Run {
  type Size = World.Size & {
    /** How long to measure at rest, in seconds. */
    readonly seconds: number;
    /** How often each document is changed. */
    readonly changes: number;
    readonly events: readonly string[];
  };
  type Event = {
    readonly name: string;
    /** How long the last proxy took to be through it, in milliseconds, if all were. */
    readonly last: number | undefined;
    readonly seconds: number;
    readonly extra: Readonly<Record<string, Cost>>;
    readonly kinds: Readonly<Record<string, Counts.Rate['kinds']>>;
    readonly why?: string;
  };
  type Report = {
    readonly size: Run.Size;
    readonly startedIn: number;
    readonly members: number;
    readonly depths: Readonly<Record<string, number>>;
    readonly oldest: number;
    readonly bytes: Readonly<Record<Documents.Kind, number>>;
    readonly rest: Rates;
    readonly events: readonly Run.Event[];
  };
}

const settleFor = 2500;
const quietFor = 5000;
const settleWithin = 60_000;
/** How often the members are looked at meanwhile, in milliseconds. */
const lookEvery = 100;
const mostSpans = 4;

const tell = (text: string) => void process.stderr.write(`${new Date().toISOString()} ${text}\n`);

/** At rest is when the tree has settled: no roster came down for a while, since no node moved. */
const settle = async (stage: Stage): Promise<void> => {
  const began = Counts.now();
  const rosters = () => stage.sample(Costs.leaf)?.got.roster?.frames;
  for (let quiet = 0, seen = rosters(); quiet < quietFor && Counts.now() - began < settleWithin; ) {
    await pause(settleFor);
    quiet = rosters() === seen ? quiet + settleFor : 0;
    seen = rosters();
  }
};

/** Starts the fleet; resolves with how long it took until all hear all, in milliseconds. */
const start = async (size: Run.Size, stage: Stage, world: World, documents: Documents): Promise<number> => {
  const { machines } = stage;
  const began = Counts.now();
  await Promise.all([0, 1, 2].map(stage.startCore));
  await documents.put('manifest');
  const measured = [Costs.relay, Costs.leaf].map((node) => ({ node, zone: world.zones[0]! }));
  for (const machine of measured) await machines.start([machine]);
  await machines.start(
    Array.from({ length: size.nodes - measured.length }, (_none, index) => {
      const zone = world.zones[index % world.zones.length]!;
      return { node: `${zone}-m-${String(index).padStart(4, '0')}`, zone };
    }),
  );
  const { stamp } = await documents.put('servers');
  await machines.reach(stamp);
  await machines.hear(machines.all(), 0, size.nodes);
  return Counts.now() - began;
};

const membersNow = async (stage: Stage): Promise<number> => {
  for (const began = Counts.now(); ; await pause(lookEvery)) {
    const { status, body } = await stage.operate('GET', '/v1/nodes');
    if (status === 200) return (body.nodes as readonly unknown[]).length;
    if (Counts.now() - began > settleWithin) throw new Error(`the cores do not tell the nodes: ${status}`);
  }
};

/** How many links were opened by all processes: each that moves, or was taken for gone, opens one. */
const linksOpened = (stage: Stage): number =>
  [...stage.processes().keys()]
    .map((name) => stage.sample(name)?.sent.hello?.frames ?? 0)
    .reduce((sum, count) => sum + count, 0);

type Rest = { readonly rest: Rates; readonly members: number; readonly opened: number };

/** Measures for a span, and tells the fewest members that were seen in it and how many links were opened. */
const measureSpan = async (stage: Stage, seconds: number): Promise<Rest> => {
  const began = Counts.now();
  const before = Costs.samples(stage);
  const openedBefore = linksOpened(stage);
  let members = await membersNow(stage);
  while (Counts.now() - began < seconds * 1000) {
    await pause(lookEvery);
    members = Math.min(members, await membersNow(stage));
  }
  const rest = await Costs.between(stage, before, Costs.samples(stage));
  // One that lost its link near the end opens the next a little later.
  await pause(settleFor);
  return { rest, members, opened: linksOpened(stage) - openedBefore };
};

/** Measures once no node came or went; on a machine that is full some fall silent now and then. */
const measureRest = async (stage: Stage, size: Run.Size): Promise<Rest> => {
  const all = Stage.cores + 2 * size.nodes;
  for (let spans = 1; ; spans += 1) {
    await settle(stage);
    const found = await measureSpan(stage, size.seconds);
    const isCalm = found.members === all && found.opened === 0;
    if (isCalm || spans === mostSpans) return found;
    tell(`${found.members} of ${all} members, ${found.opened} links opened: settling again`);
  }
};

const measureEvent = async (stage: Stage, rest: Rates, { name, play }: ScaleEvent): Promise<Run.Event> => {
  const before = Costs.samples(stage);
  const outcome = await play().then(
    (last) => ({ last }),
    (error) => ({ last: undefined, why: String(error) }),
  );
  await pause(settleFor);
  const spent = await Costs.between(stage, before, Costs.samples(stage));
  tell(`${name}: ${'why' in outcome ? outcome.why : `${Math.round(outcome.last)} ms`}`);
  return {
    name,
    seconds: spent.primary?.seconds ?? 0,
    extra: Costs.aboveRest(spent, rest),
    kinds: Object.fromEntries(Object.entries(spent).map(([role, rate]) => [role, rate.kinds])),
    ...outcome,
  };
};

const measure = async (size: Run.Size, world: World, stage: Stage): Promise<Run.Report> => {
  const documents = Documents.of(stage, world);
  const startedIn = await start(size, stage, world, documents);
  tell(`${size.nodes} nodes started in ${Math.round(startedIn)} ms`);
  const { rest, members } = await measureRest(stage, size);
  tell('measured at rest');
  const depths = await stage.machines.depths();
  const oldest = await stage.machines.oldest();
  const { zones } = world;
  const events: Run.Event[] = [];
  for (const event of ScaleEvents.of(size.events, { stage, documents, zones, changes: size.changes }))
    events.push(await measureEvent(stage, rest, event));
  const bytes = documents.lengths();
  return { size, startedIn, members, depths, oldest, bytes, rest, events };
};

/** Plays scale runs. */
export const Run = {
  kinds: ScaleEvents.kinds,
  async of(size: Run.Size): Promise<Run.Report> {
    const folder = mkdtempSync(join(tmpdir(), 'bramblebend-scale-'));
    const stage = Stage.of(folder);
    try {
      return await measure(size, World.of(size), stage);
    } finally {
      await stage.end();
      rmSync(folder, { recursive: true, force: true });
    }
  },
};
