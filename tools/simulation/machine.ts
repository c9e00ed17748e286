// A simulated machine: an address, a disk, and the control program that runs on it, is killed, loses its power with
// what was not synced, or begins again with an empty disk.
import type { Random } from '../random.js';
import { Disk } from './disk.js';
import type { Instance } from './instance.js';
import type { Network } from './network.js';
import { Process } from './process.js';
import type { Program } from './program.js';

export type Machine = {
  readonly name: string;
  readonly ip: string;
  readonly http: string;
  readonly wire: string;
  readonly disk: () => Disk;
  readonly isRunning: () => boolean;
  /** Whether its program runs, or is about to be started again after it could not start. */
  readonly isToRun: () => boolean;
  readonly start: (isInitial: boolean) => void;
  readonly kill: () => void;
  readonly losePower: () => void;
  readonly replaceDisk: () => void;
  /** Asks the program to end in order, and kills it when it takes too long. */
  readonly end: (isForGood?: boolean) => void;
  readonly freeze: () => void;
  readonly thaw: () => void;
  /** What the program says of itself, without a way over the network. */
  readonly health: () => Promise<Machine.Health | undefined>;
  readonly startedAt: () => number;
};

export declare namespace Machine {
  type Core = { readonly disk: string; readonly node: string };
  type Term = {
    readonly epoch: number;
    readonly primary: string;
    readonly inSync: readonly string[];
    readonly cores: readonly Core[];
  };
  type Health = { readonly state: string; readonly tenure: Term | null; readonly node: string };
  type Needs = {
    readonly index: number;
    readonly losses: number;
    readonly seeds: () => readonly string[];
    readonly network: Network;
    readonly random: Random;
    readonly instances: { readonly take: () => Instance; readonly give: (instance: Instance) => void };
    readonly trace: (who: string, text: string, facts?: object) => void;
    readonly diskSerial: () => number;
  };
}

const wirePort = 7000;
const httpPort = 7001;
const endWithin = 10_000;
const startAgainAfter = 500;

export const Machine = {
  token: 'operators-token',
  ipOf: (index: number): string => `10.0.0.${index + 1}`,
  wireOf: (index: number): string => `${Machine.ipOf(index)}:${wirePort}`,
  of(needs: Machine.Needs): Machine {
    const { index, network, random } = needs;
    const { clock } = network;
    const name = `core-${index + 1}`;
    const ip = Machine.ipOf(index);
    const host = network.host(ip);
    let disk = Disk.of(needs.diskSerial());
    let process: Process | undefined;
    let instance: Instance | undefined;
    let running: Awaited<ReturnType<Program['start']>> | undefined;
    let fetch: ((request: Request) => Response | Promise<Response>) | undefined;
    let startedAt = 0;
    /** Set when the machine is started while its program still ends: it starts anew once that has ended. */
    let isStartDue = false;
    let isEnding = false;
    /** When the program, which could not start, is started anew. */
    let retriesAt = 0;
    const trace = (text: string, facts?: object) => needs.trace(name, text, facts);
    const stop = (isClean: boolean) => {
      isEnding = false;
      process?.end(isClean);
      process = undefined;
      running = undefined;
      fetch = undefined;
      host.listeners.clear();
      if (instance) needs.instances.give(instance);
      instance = undefined;
    };
    const begin = (isInitial: boolean) => {
      isStartDue = false;
      const mine = Process.of(clock, ip);
      process = mine;
      instance = needs.instances.take();
      instance.bind({
        process: mine,
        disk,
        random,
        clock,
        network,
        onServer(given) {
          fetch ??= given;
        },
      });
      const note = (text: string, facts?: object) => {
        if (mine.isAlive()) trace(text, facts);
      };
      const startup = {
        node: name,
        zone: 'a-1',
        wire: Machine.wireOf(index),
        http: `${ip}:${httpPort}`,
        seeds: needs.seeds(),
        data: '/data',
        operators: [{ name: 'operator', token: Machine.token }],
        platform: [],
        losses: needs.losses,
        initial: isInitial,
      } as unknown as Parameters<Program['start']>[0];
      startedAt = clock.at();
      instance.program.start(startup, { info: note, error: note, entries: () => [] }).then(
        (made) => {
          if (process === mine) running = made;
        },
        (error: unknown) => {
          if (process !== mine) return;
          trace('the program could not start', { why: String(error) });
          stop(true);
          retriesAt = clock.at() + startAgainAfter;
          clock.after(startAgainAfter, () => {
            if (!process && host.isPowered) begin(false);
          });
        },
      );
    };
    return {
      name,
      ip,
      http: `${ip}:${httpPort}`,
      wire: Machine.wireOf(index),
      disk: () => disk,
      isRunning: () => process !== undefined,
      isToRun: () => process !== undefined || retriesAt >= clock.at(),
      startedAt: () => startedAt,
      start(isInitial) {
        host.isPowered = true;
        if (process) isStartDue = isEnding;
        else begin(isInitial);
      },
      kill() {
        isStartDue = false;
        stop(true);
      },
      losePower() {
        host.isPowered = false;
        isStartDue = false;
        host.boots += 1;
        stop(false);
        disk.losePower(random);
      },
      replaceDisk() {
        disk = Disk.of(needs.diskSerial());
      },
      end(isForGood = false) {
        const mine = process;
        if (isForGood) isStartDue = false;
        if (!mine) return;
        if (!running) return stop(true);
        isEnding = true;
        const finish = () => {
          if (process !== mine) return;
          stop(true);
          if (isStartDue) begin(false);
        };
        running.drain().then(finish, finish);
        clock.after(endWithin, () => {
          if (process === mine) trace('did not end in time and was killed');
          finish();
        });
      },
      freeze: () => process?.freeze(),
      thaw: () => process?.thaw(),
      async health() {
        if (!fetch || !process) return undefined;
        const response = await fetch(new Request(`http://${ip}/health`));
        return (await response.json()) as Machine.Health;
      },
    };
  },
};
