// The hollow machines of a run, spread over a few processes, and the questions put to all of them at once.
import { type ChildProcess, fork } from 'node:child_process';
import type { Stamp } from '../../src/kinds/stamp.js';
import type { Counts } from './counts.js';
import type { Hollow } from './hollow.js';
import type { Host } from './host.js';

export type Crowd = {
  readonly machines: () => readonly Hollow.Machine[];
  readonly start: (machines: readonly Hollow.Machine[]) => Promise<void>;
  readonly stop: (machines: readonly Hollow.Machine[]) => Promise<void>;
  readonly reach: (stamp: Stamp) => Promise<number>;
  readonly hear: (since: number, roster: number) => Promise<number>;
  readonly sample: () => Promise<readonly Crowd.Sample[]>;
  readonly depths: () => Promise<Readonly<Record<string, number>>>;
  readonly end: () => void;
};

export declare namespace Crowd {
  type Sample = { readonly sample: Counts.Sample; readonly oldest: number };
}

const within = 90_000;

export const Crowd = {
  of(processes: number, terms: Host.Terms): Crowd {
    const waiting = new Map<number, (told: Host.Tells) => void>();
    const hosts: ChildProcess[] = Array.from({ length: processes }, () => {
      const host = fork(new URL('host.js', import.meta.url).pathname);
      host.on('message', (told) => waiting.get((told as Host.Tells).serial)?.(told as Host.Tells));
      return host;
    });
    process.on('exit', () => {
      for (const host of hosts) host.kill('SIGKILL');
    });
    const held = new Map<string, { readonly machine: Hollow.Machine; readonly host: ChildProcess }>();
    let serial = 0;
    let next = 0;
    const ask = (host: ChildProcess, told: Host.Told): Promise<Host.Tells> =>
      new Promise((resolve, reject) => {
        serial += 1;
        const mine = serial;
        const late = setTimeout(() => {
          waiting.delete(mine);
          reject(new Error(`${told.kind} was not met by all hollow nodes in ${within} ms`));
        }, within);
        waiting.set(mine, (response) => {
          clearTimeout(late);
          waiting.delete(mine);
          resolve(response);
        });
        host.send({ ...told, serial: mine });
      });
    const askAll = (told: Host.Told) => Promise.all(hosts.map((host) => ask(host, told)));
    const last = (tells: readonly Host.Tells[]) =>
      Math.max(...tells.map((one) => (one.kind === 'done' ? one.at : 0)));
    const share = (machines: readonly Hollow.Machine[], host: ChildProcess) =>
      machines.filter((machine) => held.get(machine.node)?.host === host);
    return {
      machines: () => [...held.values()].map(({ machine }) => machine),
      async start(machines) {
        for (const machine of machines) {
          held.set(machine.node, { machine, host: hosts[next % hosts.length]! });
          next += 1;
        }
        await Promise.all(
          hosts.map((host) => ask(host, { kind: 'start', machines: share(machines, host), terms })),
        );
      },
      async stop(machines) {
        await Promise.all(
          hosts.map((host) =>
            ask(host, { kind: 'stop', nodes: share(machines, host).map((one) => one.node) }),
          ),
        );
        for (const { node } of machines) held.delete(node);
      },
      reach: async (stamp) => last(await askAll({ kind: 'expect', stamp })),
      hear: async (since, roster) => last(await askAll({ kind: 'hear', since, roster })),
      sample: async () =>
        (await askAll({ kind: 'sample' })).flatMap((one) =>
          one.kind === 'sample' ? [{ sample: one.sample, oldest: one.oldest }] : [],
        ),
      async depths() {
        const all = (await askAll({ kind: 'depths' })).flatMap((one) =>
          one.kind === 'depths' ? one.depths : [],
        );
        const sums: Record<string, number> = {};
        for (const depth of all) sums[depth] = (sums[depth] ?? 0) + 1;
        return sums;
      },
      end() {
        for (const host of hosts) host.disconnect();
      },
    };
  },
};
