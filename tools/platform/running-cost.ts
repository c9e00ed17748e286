#!/usr/bin/env node
// What a running fleet costs in processor time, by role: at rest, for each request, for each event of a stream and
// for each change of the configuration. Whole programs on loopback; the kernel's counters of each are read before
// and after a span of one kind of work, and what rest costs is taken off.
import { mkdtempSync, readdirSync, readFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join, resolve } from 'node:path';
import { setTimeout as pause } from 'node:timers/promises';
import { pathToFileURL } from 'node:url';
import sade from 'sade';
import { Main } from '../main.js';
import type { Client } from './client.js';
import { Day } from './day.js';
import { PlatformFleet } from './fleet.js';
import type { Operator } from './operator.js';

type Role = PlatformFleet.Machine['role'];
type Costs = Readonly<Record<Role, number>>;
type Flags = {
  fronts: number;
  seconds: number;
  routes: string;
  changes: number;
  program?: string;
  node?: string;
};

const zones = { 'a-1': 'a', 'a-2': 'a', 'b-1': 'b', 'b-2': 'b', 'c-1': 'c', 'c-2': 'c' };
const settleFor = 3000;
const roles: readonly Role[] = ['front', 'control'];
const [dossier, question, lookup] = Day.kinds as readonly [Client.Kind, Client.Kind, Client.Kind];

/** Processor milliseconds of all threads of a process, as the kernel counts them. */
const processorOf = (pid: number): number =>
  readdirSync(`/proc/${pid}/task`)
    .map((task) => Number(readFileSync(`/proc/${pid}/task/${task}/schedstat`, 'utf8').split(' ')[0]))
    .reduce((sum, one) => sum + one, 0) / 1e6;

const isOf = (role: Role) => (machine: PlatformFleet.Machine) => machine.role === role;

const configurationOf = (revision: number, routes: number): Operator.Configuration => {
  const usual = Day.configuration(revision, { question: { 'timeout-ms': 9000 + (revision % 1000) } });
  const [first] = usual['route-table'];
  const idle = Array.from({ length: Math.max(0, routes - usual['route-table'].length) }, (_none, index) => ({
    ...first!,
    name: `idle-${index}`,
    'path-prefix': `/idle-${index}/`,
  }));
  return { ...usual, 'route-table': [...usual['route-table'], ...idle] };
};

/** Mean milliseconds of processor time a second of one machine of each role while the work is done. */
const spend = async (fleet: PlatformFleet, work: () => Promise<unknown>): Promise<Costs> => {
  const read = () => new Map(fleet.machines.map((one) => [one, processorOf(one.process().pid)]));
  const began = performance.now();
  const before = read();
  await work();
  const after = read();
  const seconds = (performance.now() - began) / 1000;
  const mean = (role: Role): number => {
    const machines = fleet.machines.filter(isOf(role));
    const spent = machines.reduce((sum, one) => sum + after.get(one)! - before.get(one)!, 0);
    return spent / machines.length / seconds;
  };
  return { front: mean('front'), control: mean('control') };
};

const print = (what: string, costs: Costs, digits = 2): void => {
  const values = roles.map((role) => `${role} ${costs[role].toFixed(digits)}`);
  process.stdout.write(`${what.padEnd(44)} ${values.join('  ')}\n`);
};

const above = (costs: Costs, rest: Costs, count: number, machines: number): Costs => ({
  front: ((costs.front - rest.front) * machines) / count,
  control: ((costs.control - rest.control) * machines) / count,
});

/** Plays one kind of request alone and prints what each of its requests costs the front that serves it. */
const playKind = async (fleet: PlatformFleet, kind: Client.Kind, rest: Costs, flags: Flags) => {
  const fronts = fleet.machines.filter(isOf('front')).length;
  const sentBefore = fleet.recording.sent.length;
  for (const client of fleet.clients) client.play([{ ...kind, perSecond: 5 * flags.fronts }]);
  const costs = await spend(fleet, () => pause(flags.seconds * 1000));
  const sent = (fleet.recording.sent.length - sentBefore) / flags.seconds;
  await Promise.all(fleet.clients.map((client) => client.pause()));
  print(`${kind.name}: ms a second (${sent.toFixed(0)} requests a second in all)`, costs);
  print(`${kind.name}: ms a request`, above(costs, rest, sent, fronts), 3);
};

const playChanges = async (fleet: PlatformFleet, routes: number, revision: number, flags: Flags) => {
  const first = await fleet.operator.put(configurationOf(revision + 1, routes), revision);
  if (first !== 200) throw new Error(`a configuration of ${routes} routes was answered ${first}`);
  await pause(settleFor);
  const rest = await spend(fleet, () => pause(flags.seconds * 1000));
  print(`rest with ${routes} routes: ms a second`, rest);
  let last = revision + 1;
  const began = performance.now();
  const costs = await spend(fleet, async () => {
    for (let count = 0; count < flags.changes; count += 1) {
      await fleet.operator.put(configurationOf(last + 1, routes), last);
      last += 1;
      await pause(Math.max(0, began + (count + 1) * 500 - performance.now()));
    }
  });
  const perSecond = flags.changes / ((performance.now() - began) / 1000);
  print(`change with ${routes} routes: ms each`, above(costs, rest, perSecond, 1));
  return { last, rest };
};

const run = async (flags: Flags): Promise<number> => {
  const fleet = await PlatformFleet.start({
    folder: mkdtempSync(join(tmpdir(), 'bramblebend-cost-')),
    seed: 7,
    zones,
    fronts: flags.fronts,
    servers: { [PlatformFleet.names.model]: 12, [PlatformFleet.names.plain]: 6 },
    ...(flags.node === undefined ? {} : { flags: String(flags.node).split(' ') }),
    ...(flags.program === undefined ? {} : { program: pathToFileURL(resolve(flags.program)) }),
  });
  try {
    let last = 0;
    for (const routes of String(flags.routes).split(',').map(Number)) {
      const played = await playChanges(fleet, routes, last, flags);
      last = played.last;
      for (const kind of [lookup, question, dossier]) await playKind(fleet, kind, played.rest, flags);
    }
  } finally {
    await fleet.stop();
  }
  return 0;
};

sade('running-cost', true)
  .describe('Processor time of a running fleet by role: at rest, a request, an event, a change.')
  .option('--fronts', 'fronts in each of the six zones', 2)
  .option('--seconds', 'length of each span', 8)
  .option('--routes', 'numbers of routes, in turn', '8,300,2000')
  .option('--changes', 'changes with each number of routes', 12)
  .option('--program', 'the program that machines run; the compiled sources without')
  .option('--node', 'more flags of the runtime, divided by spaces')
  .action((flags) => Main(run(flags as Flags)))
  .parse(process.argv);
