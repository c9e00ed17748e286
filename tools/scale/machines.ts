/**
 * The machines of a scale run, each a real agent and a real proxy, and the questions put to all of them: whether a
 * state is in force, whether word of the primary and the whole roster have come, how deep the agents stand.
 */
import { readFileSync } from 'node:fs';
import { setTimeout as pause } from 'node:timers/promises';
import { request } from 'undici';
import { Stamp } from '../../src/common/stamp.js';
import type { Process } from '../process.js';
import { Counts } from './counts.js';

/** A machine by its name and zone. */
export type Machine = { readonly node: string; readonly zone: string };

/** All machines of a run. */
export type Machines = {
  readonly all: () => readonly Machine[];
  readonly start: (machines: readonly Machine[]) => Promise<void>;
  /** Ends them in order, proxies first. */
  readonly stop: (machines: readonly Machine[]) => Promise<void>;
  /** Resolves once every proxy has the state in force, with the moment of the last. */
  readonly reach: (stamp: Stamp) => Promise<number>;
  /** Resolves once all these proxies have word from after the moment, and a roster of that size if one is given. */
  readonly hear: (among: readonly Machine[], since: number, roster?: number) => Promise<number>;
  /** How many agents stand how deep. */
  readonly depths: () => Promise<Readonly<Record<string, number>>>;
  /** The age of the oldest word that a proxy has, in milliseconds. */
  readonly oldest: () => Promise<number>;
};

/** What the machines need of the run. */
export declare namespace Machines {
  type Needs = {
    readonly network: string;
    readonly seeds: readonly string[];
    /** Starts a program that writes its counts to the file of that name. */
    readonly launch: (name: string, program: string, startup: object) => Promise<Process>;
    readonly countsFile: (name: string) => string;
  };
}

type Running = {
  readonly machine: Machine;
  readonly agent: Process;
  readonly proxy: Process;
  readonly agentOps: string;
  readonly proxyOps: string;
};

const startAtOnce = 6;
const lookEvery = 20;
const within = 90_000;
/** Addresses of the cores lie below it. */
const firstAddress = 10;

const read = async <T>(address: string, path: string, as: (text: string) => T): Promise<T | undefined> => {
  const answer = await request(`http://${address}${path}`).catch(() => undefined);
  const text = await answer?.body.text().catch(() => undefined);
  return text === undefined ? undefined : as(text);
};

const ageOf = (metrics: string): number => {
  const seconds = /^bramblebend_news_age_seconds (\S+)$/m.exec(metrics)?.[1];
  return seconds === undefined || seconds === '+Inf' ? Number.POSITIVE_INFINITY : Number(seconds) * 1000;
};

const until = async (isMet: () => Promise<boolean>, what: string): Promise<number> => {
  for (const began = Counts.now(); ; await pause(lookEvery)) {
    if (await isMet()) return Counts.now();
    if (Counts.now() - began > within) throw new Error(`${what} not in ${within} ms`);
  }
};

const last = async (moments: readonly Promise<number>[]): Promise<number> =>
  Math.max(0, ...(await Promise.all(moments)));

/** Starts machines on addresses of one network. */
export const Machines = {
  of({ network, seeds, launch, countsFile }: Machines.Needs): Machines {
    const running = new Map<string, Running>();
    let addresses = 0;
    const startOne = async (machine: Machine): Promise<void> => {
      const { node, zone } = machine;
      const ip = `${network}.${firstAddress + addresses++}`;
      const [wire, feed, agentOps] = [`${ip}:7000`, `${ip}:7001`, `${ip}:8082`];
      const [listen, proxyOps] = [`${ip}:8080`, `${ip}:8081`];
      const agentTerms = { node: `${node}-agent`, zone, wire, feed, ops: agentOps, seeds };
      const agent = await launch(`${node}-agent`, 'src/bin/agent.js', agentTerms);
      const proxyTerms = { node, zone, listen, ops: proxyOps, agent: feed };
      const proxy = await launch(node, 'src/bin/proxy.js', proxyTerms);
      running.set(node, { machine, agent, proxy, agentOps, proxyOps });
    };
    const stopOne = async (node: string): Promise<void> => {
      const one = running.get(node);
      running.delete(node);
      await one?.proxy.end('SIGTERM');
      await one?.agent.end('SIGTERM');
    };
    const isInForce = async ({ proxyOps }: Running, stamp: Stamp): Promise<boolean> => {
      const told = await read(proxyOps, '/health', (text) => JSON.parse(text) as { stamp: Stamp });
      return told !== undefined && Stamp.compare(told.stamp, stamp) >= 0;
    };
    const heardAt = async ({ proxyOps }: Running): Promise<number> =>
      Counts.now() - ((await read(proxyOps, '/metrics', ageOf)) ?? Number.POSITIVE_INFINITY);
    const rosterAt = (node: string): number => {
      try {
        return (JSON.parse(readFileSync(countsFile(node), 'utf8')) as Counts.Sample).roster;
      } catch {
        return 0;
      }
    };
    return {
      all: () => [...running.values()].map(({ machine }) => machine),
      async start(machines) {
        const waiting = [...machines];
        const work = async () => {
          for (let one = waiting.shift(); one; one = waiting.shift()) await startOne(one);
        };
        await Promise.all(Array.from({ length: startAtOnce }, work));
      },
      stop: async (machines) => void (await Promise.all(machines.map(({ node }) => stopOne(node)))),
      reach: (stamp) =>
        last([...running.values()].map((one) => until(() => isInForce(one, stamp), one.machine.node))),
      hear: (among, since, roster) =>
        last(
          among.map(({ node }) => {
            const one = running.get(node)!;
            const isMet = async () =>
              (await heardAt(one)) > since && (roster === undefined || rosterAt(node) === roster);
            return until(isMet, node);
          }),
        ),
      async depths() {
        const sums: Record<string, number> = {};
        for (const { agentOps } of running.values()) {
          const told = await read(agentOps, '/health', (text) => JSON.parse(text) as { depth: number });
          const depth = String(told?.depth);
          sums[depth] = (sums[depth] ?? 0) + 1;
        }
        return sums;
      },
      oldest: () => last([...running.values()].map(async (one) => Counts.now() - (await heardAt(one)))),
    };
  },
};
