#!/usr/bin/env node
/**
 * What a front's request path costs beside bare relays: npm run -s bench:relay. Each relay runs in a fresh process, all in
 * turn in one run, several times; a table shows the medians and spreads, or one JSON object with `--json`.
 */
import { type ChildProcess, fork } from 'node:child_process';
import { once } from 'node:events';
import { loadavg } from 'node:os';
import { fileURLToPath } from 'node:url';
import sade from 'sade';
import { Main } from '../main.js';
import type { RelaySubject } from './relay-subject.js';
import { RelayTraffic } from './relay-traffic.js';

type Flags = {
  readonly repeats: number;
  readonly concurrency: number;
  readonly gap: number;
  readonly events: string;
  readonly json?: boolean;
  readonly only?: string;
};
type Cost = RelaySubject.Cost;
/** Costs a request, by the number of events of its answer, and of a start. */
type Measured = { readonly start: number; readonly byEvents: ReadonlyMap<number, Cost> };
type Subject = {
  readonly child: ChildProcess;
  readonly address: string;
  readonly cost: () => Promise<Cost>;
};

const names: readonly RelaySubject.Name[] = ['front', 'undici', 'http', 'net'];
/** Events that one shape has in all its requests, so that long streams do not take all the time. */
const eventsInAll = 8000;
const mostRequests = 200;
const firstRequests: RelayTraffic.Shape = { requests: 16, events: 2 };
const path = '/stream/a';
const script = fileURLToPath(new URL('relay-subject.js', import.meta.url));

const startSubject = async (name: RelaySubject.Name, server: string): Promise<Subject> => {
  const child = fork(script, [name, server]);
  const next = async <T>(): Promise<T> => (await once(child, 'message'))[0] as T;
  const { address } = await next<{ address: string }>();
  return {
    child,
    address,
    async cost() {
      child.send('cost');
      return (await next<{ cost: Cost }>()).cost;
    },
  };
};

const difference = (after: Cost, before: Cost, count: number): Cost => ({
  processor: (after.processor - before.processor) / count,
  reads: (after.reads - before.reads) / count,
  writes: (after.writes - before.writes) / count,
});

const shapesOf = ({ events }: Flags): RelayTraffic.Shape[] =>
  String(events)
    .split(',')
    .map(Number)
    .map((count) => ({ events: count, requests: Math.min(mostRequests, Math.ceil(eventsInAll / count)) }));

/** One process for each shape, so that each is as cold as the other. */
const measure = async (name: RelaySubject.Name, server: string, flags: Flags): Promise<Measured> => {
  const byEvents = new Map<number, Cost>();
  let start = 0;
  for (const shape of shapesOf(flags)) {
    const subject = await startSubject(name, server);
    start = (await subject.cost()).processor;
    await RelayTraffic.play(subject.address, path, firstRequests, flags.concurrency);
    const before = await subject.cost();
    await RelayTraffic.play(subject.address, path, shape, flags.concurrency);
    byEvents.set(shape.events, difference(await subject.cost(), before, shape.requests));
    subject.child.disconnect();
    await once(subject.child, 'exit');
  }
  return { start, byEvents };
};

const median = (values: readonly number[]): number =>
  [...values].sort((a, b) => a - b)[Math.floor(values.length / 2)] ?? Number.NaN;

type Figure = { readonly median: number; readonly least: number; readonly most: number };

const figureOf = (values: readonly number[]): Figure => ({
  median: median(values),
  least: Math.min(...values),
  most: Math.max(...values),
});

const text = ({ median: middle, least, most }: Figure): string =>
  `${middle.toFixed(2)} (${least.toFixed(2)}-${most.toFixed(2)})`;

const figuresOf = (runs: readonly Measured[]) => {
  const each = (events: number, what: keyof Cost) =>
    figureOf(runs.map(({ byEvents }) => byEvents.get(events)![what]));
  const events = [...runs[0]!.byEvents.keys()];
  return {
    start: figureOf(runs.map((run) => run.start)),
    requests: events.map((count) => ({ events: count, processor: each(count, 'processor') })),
    calls: events.map((count) => ({
      events: count,
      reads: each(count, 'reads').median,
      writes: each(count, 'writes').median,
    })),
  };
};

type Figures = ReturnType<typeof figuresOf>;

const printTable = (all: ReadonlyMap<RelaySubject.Name, Figures>): void => {
  const row = (cells: readonly string[]) => process.stdout.write(`| ${cells.join(' | ')} |\n`);
  const events = [...all.values()][0]!.requests.map((one) => one.events);
  row(['processor ms', 'start', ...events.map((count) => `request, ${count} events`)]);
  row(['---', '---', ...events.map(() => '---')]);
  for (const [name, { start, requests }] of all)
    row([name, text(start), ...requests.map((one) => text(one.processor))]);
  for (const [name, { calls }] of all)
    row([
      `${name}: reads, writes`,
      '',
      ...calls.map((one) => `${one.reads.toFixed(1)}, ${one.writes.toFixed(1)}`),
    ]);
};

const run = async (flags: Flags): Promise<number> => {
  const { repeats, json, only } = flags;
  const server = await RelayTraffic.startServer(flags.gap);
  const chosen = names.filter((name) => only === undefined || only.split(',').includes(name));
  const runs = new Map<RelaySubject.Name, Measured[]>(chosen.map((name) => [name, []]));
  for (let count = 0; count < repeats; count += 1)
    for (const name of chosen) runs.get(name)!.push(await measure(name, server.address, flags));
  await server.stop();
  const all = new Map([...runs].map(([name, measured]) => [name, figuresOf(measured)]));
  const load = loadavg()[0]!.toFixed(1);
  if (json)
    process.stdout.write(`${JSON.stringify({ load, repeats, ...Object.fromEntries(all) }, null, 2)}\n`);
  else {
    printTable(all);
    process.stdout.write(`median (least-most) of ${repeats}; load ${load}\n`);
  }
  return 0;
};

sade('bench:relay', true)
  .describe('Processor time of the request path of a front beside bare relays.')
  .option('--repeats', 'fresh processes of each', 5)
  .option('--concurrency', 'requests at a time', 8)
  .option('--gap', 'milliseconds between two events of a stream', 4)
  .option('--events', 'events of an answer, in turn', '1,7,36,200')
  .option('--only', 'relays to measure, divided by commas')
  .option('--json', 'print one JSON object in place of the table')
  .action((flags) => Main(run(flags as Flags)))
  .parse(process.argv);
