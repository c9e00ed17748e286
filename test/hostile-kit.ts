/**
 * Crowds of clients that do not behave, against a small fleet of whole programs whose settings state little memory and few
 * descriptors. What is judged does not depend on the speed of the machine: the process lives, its highest memory and its open
 * descriptors stay within the settings, and one ordinary request is answered while the crowd still holds its connections.
 */
import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import type { Socket } from 'node:net';
import { afterEach, beforeEach } from 'node:test';
import { request } from 'undici';
import { HostileCrowd } from '../tools/platform/hostile-crowd.js';
import { ProcessUse } from '../tools/platform/process-use.js';
import type { Process } from '../tools/process.js';
import { AnsweringServer } from './answering-server.js';
import { ListServer } from './list-server.js';
import { PlatformKit } from './platform-kit.js';

/** A fleet with one server and a configuration in force. */
export type HostileKit = {
  readonly kit: PlatformKit;
  readonly front: PlatformKit.Front;
  readonly core: PlatformKit.Core;
  readonly end: () => Promise<void>;
};

export declare namespace HostileKit {
  /** What one client of a crowd has received. */
  type Client = { readonly socket: Socket; readonly received: () => string };
  /** The fleet and the crowd of the test that runs. */
  type Scene = {
    readonly fleet: () => HostileKit;
    /** Opens the connections of the crowd; they stay until the test ends. */
    readonly open: (count: number, address: string) => Promise<readonly Socket[]>;
    /** Opens them, and sends the pieces on each. */
    readonly send: (count: number, address: string, pieces: HostileCrowd.Pieces) => Promise<void>;
    /** Sends the pieces on one connection, and keeps what comes back. */
    readonly sendOne: (address: string, pieces: Iterable<Uint8Array | string>) => Promise<Client>;
  };
}

/** What the settings of these tests state. */
const limits = { 'memory-mb': 192, 'file-descriptors': 500 };
/** Descriptors that the platform keeps for files; sockets share the rest. */
const fileDescriptors = 200;
const maxBodyBytes = 4 * 1024 * 1024;
const host = 'nony24.example';
const path = '/lohu930/2f';
/** How long the server takes for a request on the slow path, in milliseconds. */
const slowMs = 2500;
const slowPath = '/lohu930/slow';
const flags = ['--max-old-space-size=160'];

const configurationText = (revision: number, more: object = {}): string =>
  JSON.stringify({
    revision,
    'route-table': [
      {
        name: 'r-1',
        'origin-host': host,
        'path-prefix': '/lohu930/',
        'route-class': 'safe',
        'timeout-ms': 15_000,
        'target-latency-ms': 1200,
        priority: 1,
        'target-service': 'huvo11a',
        'max-attempts': 2,
      },
    ],
    services: [{ name: 'huvo11a', 'health-path': '/health', 'max-connections': 360, protocol: 'h1' }],
    limits: {
      'max-header-bytes': 16_384,
      'max-body-bytes': maxBodyBytes,
      'header-timeout-ms': 3000,
      'idle-timeout-ms': 15_000,
    },
    ...more,
  });

const startServer = (): Promise<AnsweringServer> =>
  AnsweringServer.start((incoming, outgoing) => {
    incoming.resume();
    incoming.once('end', () => {
      const answer = () => {
        outgoing.writeHead(200, {
          'instance-id': 'i-1',
          'attempt-id': String(incoming.headers['attempt-id'] ?? ''),
          'server-seal': 'seal',
          'content-type': 'application/json',
        });
        outgoing.end('{}');
      };
      if (incoming.url === slowPath) setTimeout(answer, slowMs);
      else answer();
    });
  });

/** A wait that only keeps a test from hanging, in milliseconds: these tests claim no time. */
const hangMs = 60_000;

let requests = 0;

/** How often the queues of a port are read, in milliseconds, and how many times in a row they must stand still. */
const settlePollMs = 50;
const calmPolls = 6;

/** The most descriptors that were seen open in each process. */
const highestDescriptors = new WeakMap<Process, number>();

/** Counts the open descriptors of a process; returns the most that were seen. */
const noteDescriptors = (process: Process): number => {
  const open = ProcessUse.of(process.pid)?.descriptors ?? 0;
  const highest = Math.max(open, highestDescriptors.get(process) ?? 0);
  highestDescriptors.set(process, highest);
  return highest;
};

/** The bytes that wait unread on each connection at an address. */
const unreadAt = (address: string): string => {
  const [ip, port] = address.split(':');
  const reversed = ip!.split('.').reverse();
  const hexadecimal = (value: number, digits: number) =>
    value.toString(16).toUpperCase().padStart(digits, '0');
  const local = `${reversed.map((part) => hexadecimal(Number(part), 2)).join('')}:${hexadecimal(Number(port), 4)}`;
  return readFileSync('/proc/net/tcp', 'utf8')
    .split('\n')
    .map((line) => line.trim().split(/\s+/))
    .filter((fields) => fields[1] === local)
    .map((fields) => `${fields[2]} ${fields[4]}`)
    .join();
};

class TestScene implements HostileKit.Scene {
  private running: HostileKit | undefined;
  private crowd: readonly Socket[] = [];

  readonly fleet = (): HostileKit => this.running!;

  readonly open = async (count: number, address: string): Promise<readonly Socket[]> => {
    this.crowd = await HostileCrowd.openMany(count, address);
    return this.crowd;
  };

  readonly send = async (count: number, address: string, pieces: HostileCrowd.Pieces): Promise<void> => {
    const crowd = await this.open(count, address);
    await Promise.all(crowd.map((socket) => HostileCrowd.send(socket, pieces())));
  };

  readonly sendOne = async (
    address: string,
    pieces: Iterable<Uint8Array | string>,
  ): Promise<HostileKit.Client> => {
    const [socket] = await this.open(1, address);
    let text = '';
    socket!.on('data', (bytes) => {
      text += String(bytes);
    });
    await HostileCrowd.send(socket!, pieces);
    return { socket: socket!, received: () => text };
  };

  async begin(): Promise<void> {
    this.running = await HostileKit.start();
    this.crowd = [];
  }

  async end(): Promise<void> {
    for (const socket of this.crowd) socket.destroy();
    await this.running?.end();
  }
}

/** Starts fleets and crowds. */
export const HostileKit = {
  /** A scene for the suite that calls it: a fleet is started before each of its tests and ended after it. */
  scene(): HostileKit.Scene {
    const scene = new TestScene();
    beforeEach(() => scene.begin());
    afterEach(() => scene.end());
    return scene;
  },

  limits,
  hangMs,
  maxBodyBytes,
  host,
  path,
  slowPath,
  configurationText,

  async start(): Promise<HostileKit> {
    const server = await startServer();
    const kit = await PlatformKit.start({ fronts: ['sto-a'], limits, flags });
    kit.list.instances = [ListServer.instance('i-1', 'sto-a', { address: server.address })];
    const { status } = await kit.sendCommand('/configuration/replace', configurationText(1), {
      'base-revision': '0',
    });
    assert.equal(status, 200);
    const [front, core] = [kit.fronts[0]!, await kit.findPrimary()];
    await PlatformKit.waitUntil(
      async () => ((await HostileKit.ask(front)) === 200 ? true : undefined),
      'the first request is served',
    );
    return {
      kit,
      front,
      core,
      async end() {
        await kit.stop();
        AnsweringServer.end();
      },
    };
  },

  /** One ordinary request at a front; its status. */
  async ask(front: PlatformKit.Front): Promise<number> {
    requests += 1;
    const response = await request(`http://${front.listen}${path}`, {
      method: 'POST',
      headers: { host, 'attempt-id': `ordinary-${requests}`, 'remaining-time': '5000' },
      body: 'x'.repeat(800),
    }).catch(() => undefined);
    await response?.body.dump();
    return response?.statusCode ?? 0;
  },

  /** An ordinary client asks, again where it is refused, until it is served. */
  askUntilServed: (front: PlatformKit.Front): Promise<true> =>
    PlatformKit.waitUntil(
      async () => ((await HostileKit.ask(front)) === 200 ? true : undefined),
      'an ordinary request is served',
      hangMs,
    ),

  /** The head of a request for the given path, whose body follows. */
  head: (framing: string, target = path): string =>
    `POST ${target} HTTP/1.1\r\nhost: ${host}\r\nattempt-id: hostile-${++requests}\r\nremaining-time: 15000\r\n${framing}\r\n\r\n`,

  /** Waits until the process has read what was sent to its port, or reads no more of it. */
  async settle(machine: PlatformKit.Machine, address: string): Promise<void> {
    let before = '';
    let calm = 0;
    await PlatformKit.waitUntil(
      async () => {
        await new Promise<void>((resolve) => setTimeout(resolve, settlePollMs));
        noteDescriptors(machine.process!);
        const queues = unreadAt(address);
        calm = queues === before ? calm + 1 : 0;
        before = queues;
        return calm >= calmPolls ? true : undefined;
      },
      'the crowd has sent all that is read of it',
      hangMs,
    );
  },

  /** The process lives, and its highest memory and its sockets are within the settings. */
  check({ process }: PlatformKit.Machine): void {
    assert.ok(process!.isUp(), 'the process has ended');
    const memoryMb = ProcessUse.of(process!.pid)!.peakMemoryMb;
    assert.ok(memoryMb <= limits['memory-mb'], `memory ${memoryMb.toFixed(0)} of ${limits['memory-mb']} MB`);
    const open = noteDescriptors(process!);
    const most = limits['file-descriptors'] - fileDescriptors;
    assert.ok(open <= most, `${open} of ${most} descriptors`);
  },
};
