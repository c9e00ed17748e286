/**
 * A small fleet on the platform, on loopback addresses: control nodes and fronts as whole programs that read settings files,
 * with simulated servers, list, clients and operator around them.
 */
import { mkdirSync, rmSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { request } from 'undici';
import { stringify } from 'yaml';
import { Process } from '../process.js';
import { Random } from '../random.js';
import { Client } from './client.js';
import { Engine } from './engine.js';
import { EngineModel } from './engine-model.js';
import { PlatformList } from './list.js';
import { Operator } from './operator.js';
import { Recording } from './recording.js';
import { SlotModel } from './slot-model.js';
import type { Verdict } from './verdict.js';
import { Words } from './words.js';

/** A running fleet. */
export type PlatformFleet = {
  readonly recording: Recording;
  readonly machines: readonly PlatformFleet.Machine[];
  readonly list: PlatformList;
  readonly operator: Operator;
  readonly clients: readonly Client[];
  readonly engines: () => readonly Engine[];
  readonly addEngine: (service: string, zone: string, coldFor?: number) => Promise<Engine>;
  /** Shows it as draining, and ends it when its time is over. */
  readonly retire: (engine: Engine) => Promise<void>;
  readonly crash: (engine: Engine) => Promise<void>;
  readonly bounds: Verdict.Bounds;
  /** Lets all servers of a service answer every request with a failure for a while. */
  readonly failService: (service: string, spanMs: number) => Promise<void>;
  readonly isReady: () => Promise<boolean>;
  /** Extra tries that the running fronts counted, by group and by what paid for them. */
  readonly extraTries: () => Promise<Readonly<Record<string, number>>>;
  readonly stop: () => Promise<void>;
};

/** Types used with it. */
export declare namespace PlatformFleet {
  type Terms = {
    readonly folder: string;
    readonly seed: number;
    /** Region of each zone. */
    readonly zones: Readonly<Record<string, string>>;
    readonly fronts: number;
    readonly servers: Readonly<Record<string, number>>;
    readonly drain?: number;
    /** What the settings state of each machine, where it differs. */
    readonly limits?: Partial<Limits>;
    /** Whether clients go on using their open connections until these are closed. */
    readonly areClientsClinging?: boolean;
    /** Whether the answers of some servers have neither length nor chunks. */
    readonly hasUndelimited?: boolean;
    /** What each machine runs in place of the compiled sources, say the bundle of the deployment. */
    readonly program?: URL;
    /** Flags of the runtime, beside the bound of its memory. */
    readonly flags?: readonly string[];
  };
  type Limits = typeof limits;
  type Machine = {
    readonly name: string;
    readonly role: 'front' | 'control';
    readonly zone: string;
    readonly address: string;
    readonly process: () => Process;
    readonly start: () => Promise<void>;
  };
}

const main = new URL('../../platform/main.js', import.meta.url);
const ports = {
  front: 8161,
  readiness: 8167,
  control: 8166,
  directory: 8170,
  list: 8169,
  inner: [7720, 7735],
};
const extraTriesLine = /^bramblebend_extra_tries_total\{group="(.*?)",payment="(.*?)"\} (\d+)$/gm;
/** One in so many servers sends answers that end with their connection. */
const undelimitedOneIn = 3;
const lag = 300;
/** What the settings state of each machine. */
const limits = { 'cpu-fraction': 1, 'cpu-cores': 1, 'memory-mb': 350, 'file-descriptors': 4100 };
const warmup = { perSecond: 11, span: 1500 };
const names = { model: 'llm', plain: 'orders', host: 'serve.example' };

/** A network of the loopback that no other fleet on this machine has: the one whose list can be bound. */
const claim = async (
  recording: Recording,
): Promise<{ readonly net: string; readonly list: PlatformList }> => {
  for (let number = 0; number < 200; number += 1) {
    const net = `127.${1 + ((process.pid + number * 37) % 200)}`;
    try {
      const list = await PlatformList.start({
        listen: `${net}.200.1:${ports.list}`,
        lag,
        perSecond: 47,
        page: 5,
        capacity: 64,
        recording,
      });
      return { net, list };
    } catch (error) {
      if ((error as { code?: string }).code !== 'EADDRINUSE') throw error;
    }
  }
  throw new Error('every network of the loopback is taken');
};

/** Starts fleets. */
export const PlatformFleet = {
  names,
  limits,
  wirePort: ports.inner[0]!,
  warmup,
  async start(terms: PlatformFleet.Terms): Promise<PlatformFleet> {
    const recording = Recording.of();
    const random = Random.of(terms.seed);
    const zones = Object.keys(terms.zones);
    const drain = terms.drain ?? 2000;
    const bounds = {
      'contact-ms': 5000,
      'ack-ms': 6000,
      'sync-time-s': 4,
      'drain-ms': drain,
      'grace-s': 3,
      'config-apply-ms': 3000,
      'revert-slack-ms': 250,
      'retry-ratio': 0.2,
      'retry-window-s': 10,
      'retry-slack': 20,
      'warmup-overshoot': 1.5,
      'warmup-slack': 5,
      'evacuation-ms': 2000,
      'address-reuse-s': 2,
      'revocation-strict': true,
      'revoke-ms': 4000,
      'quota-window-s': 5,
      'quota-overshoot': 0.1,
      'quota-slack': 20,
      ttl_max_s: 5,
    };
    const { net, list } = await claim(recording);
    const ipOf = (zone: string, number: number) => `${net}.${zones.indexOf(zone) + 1}.${number}`;
    const seeds = zones.slice(0, 3).map((zone) => `${ipOf(zone, 1)}:${ports.control}`);
    const spawned: PlatformFleet.Machine[] = [];
    const spawn = async (role: 'front' | 'control', zone: string, number: number): Promise<void> => {
      const ip = ipOf(zone, number);
      const name = `${role}-${zone}-${number}`;
      const data = join(terms.folder, name);
      const file = join(terms.folder, `${name}.yaml`);
      mkdirSync(data, { recursive: true });
      const bindings =
        role === 'front'
          ? { front: `${ip}:${ports.front}`, readiness: `${ip}:${ports.readiness}` }
          : { 'control-plane': `${ip}:${ports.control}`, directory: `${ip}:${ports.directory}` };
      const write = (isFirst: boolean) =>
        writeFileSync(
          file,
          stringify({
            'node-name': name,
            role,
            'machine-class': role === 'front' ? 'edge' : 'core',
            serves: role === 'front' ? ['edge'] : ['control', 'registry'],
            'ip-address': ip,
            zone,
            region: terms.zones[zone],
            zones: terms.zones,
            bindings,
            'internal-ports': ports.inner,
            'seed-nodes': seeds,
            'initial-start': isFirst,
            counted: role === 'control',
            limits: { ...limits, ...terms.limits },
            'data-directory': role === 'control' ? data : null,
            resilience: { machines: 1, zones: 1, regions: 1 },
            bounds,
            'platform-api': { address: list.address, 'rate-per-s': 47, 'max-lag-ms': lag },
          }),
        );
      write(true);
      let running: Process;
      const address = role === 'front' ? `${ip}:${ports.front}` : `${ip}:${ports.control}`;
      const machine: PlatformFleet.Machine = {
        name,
        role,
        zone,
        address,
        process: () => running,
        async start() {
          if (running) write(false);
          recording.lives.push({ at: Recording.now(), front: address });
          running = await Process.start(name, terms.program ?? main, [role], {
            log: join(terms.folder, `${name}.log`),
            env: { BRAMBLEBEND_SETTINGS: file },
            nodeArgs: ['--max-old-space-size=160', ...(terms.flags ?? [])],
          });
        },
      };
      spawned.push(machine);
      await machine.start();
    };
    const engines = new Map<string, Engine>();
    let serial = 0;
    const addEngine = async (service: string, zone: string, coldFor = 0): Promise<Engine> => {
      serial += 1;
      const isPlain = service === names.plain;
      const engine = await Engine.start({
        instance: `i-${terms.seed.toString(16)}-${serial}`,
        service,
        zone,
        region: terms.zones[zone]!,
        listen: `${ipOf(zone, 100 + serial)}:8080`,
        model: isPlain ? SlotModel.of({ capacity: 6, queue: 24 }) : EngineModel.of({ stride: 8 }),
        recording,
        isPlain,
        isUndelimited: (terms.hasUndelimited ?? false) && serial % undelimitedOneIn === 0,
        maxConnections: isPlain ? 110 : 370,
        closesOneIn: 50,
        coldFor,
        fallsAt: 2 * (warmup.perSecond * 1.5 + 5),
      });
      engines.set(engine.terms.instance, engine);
      list.show(engine);
      return engine;
    };
    const crash = async (engine: Engine): Promise<void> => {
      await engine.crash();
      engines.delete(engine.terms.instance);
      list.remove(engine);
    };
    const frontMachines = () => spawned.filter((machine) => machine.role === 'front');
    const operationsAt = ({ address }: PlatformFleet.Machine) =>
      address.replace(`:${ports.front}`, `:${ports.readiness}`);
    const pause = (span: number) => new Promise<void>((resolve) => setTimeout(resolve, span));

    const controls = zones.slice(0, 3).map((zone) => spawn('control', zone, 1));
    const fronts = zones.flatMap((zone) =>
      Array.from({ length: terms.fronts }, (_none, index) => spawn('front', zone, 11 + index)),
    );
    await Promise.all([...controls, ...fronts]);
    for (const [service, count] of Object.entries(terms.servers))
      for (let index = 0; index < count; index += 1) await addEngine(service, zones[index % zones.length]!);
    const clients = zones.map((zone, index) =>
      Client.of({
        directories: [zone, ...zones.filter((other) => other !== zone)]
          .slice(0, 3)
          .map((one) => `${ipOf(one, 1)}:${ports.directory}`),
        name: names.host,
        region: terms.zones[zone]!,
        zone,
        random: Random.of(terms.seed + 1000 + index),
        recording,
        ttlMax: bounds.ttl_max_s,
        isSlack: index === 1,
        isClinging: terms.areClientsClinging ?? false,
      }),
    );
    return {
      recording,
      machines: spawned,
      list,
      operator: Operator.of({ nodes: () => seeds, random, recording, ackWithin: bounds['ack-ms'] }),
      clients,
      engines: () => [...engines.values()],
      addEngine,
      crash,
      async retire(engine) {
        engine.drain();
        list.show(engine);
        await pause(lag + drain + 500);
        await crash(engine);
      },
      bounds: {
        contact: bounds['contact-ms'],
        drain,
        grace: bounds['grace-s'] * 1000,
        evacuation: bounds['evacuation-ms'],
        configApply: bounds['config-apply-ms'],
        revertSlack: bounds['revert-slack-ms'],
        retryRatio: bounds['retry-ratio'],
        retryWindow: bounds['retry-window-s'] * 1000,
        retrySlack: bounds['retry-slack'],
        warmupOvershoot: bounds['warmup-overshoot'],
        warmupSlack: bounds['warmup-slack'],
        warmupPerSecond: { [names.model]: warmup.perSecond },
        revoke: bounds['revoke-ms'],
        quotaWindow: bounds['quota-window-s'] * 1000,
        quotaOvershoot: bounds['quota-overshoot'],
        quotaSlack: bounds['quota-slack'],
      },
      async failService(service, spanMs) {
        const failing = [...engines.values()].filter((engine) => engine.terms.service === service);
        for (const engine of failing) engine.fault({ kind: 'grey', oneIn: 1 });
        await pause(spanMs);
        for (const engine of failing) engine.fault({ kind: 'none' });
      },
      async isReady() {
        const answers = await Promise.all(
          frontMachines().map(async (machine) => {
            const answer = await request(`http://${operationsAt(machine)}${Words.paths.readiness}`);
            await answer.body.dump();
            return answer.statusCode === 200;
          }),
        );
        return answers.every(Boolean);
      },
      async extraTries() {
        const sums: Record<string, number> = {};
        for (const machine of frontMachines().filter((one) => one.process().isUp())) {
          const answer = await request(`http://${operationsAt(machine)}/metrics`);
          for (const [, group, payment, count] of (await answer.body.text()).matchAll(extraTriesLine))
            sums[`${group} ${payment}`] = (sums[`${group} ${payment}`] ?? 0) + Number(count);
        }
        return sums;
      },
      async stop() {
        await Promise.all(clients.map((client) => client.stop()));
        await Promise.all(
          spawned.map((machine) => (machine.process().isUp() ? machine.process().end('SIGKILL') : undefined)),
        );
        for (const engine of engines.values()) await engine.crash();
        await list.stop();
        rmSync(terms.folder, { recursive: true, force: true });
      },
    };
  },
};
