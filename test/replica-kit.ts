/**
 * In-process cores for replication tests: real registers, peer clients and links over loopback. The traffic to each machine
 * can be throttled, cut and counted, and its disk can be slowed down or emptied.
 */
import { createHash } from 'node:crypto';
import { mkdtempSync, rmSync } from 'node:fs';
import { createServer, connect as dial, type Server, type Socket } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { Epoch } from '../src/common/epoch.js';
import { Listen } from '../src/common/listen.js';
import { Mutex } from '../src/common/mutex.js';
import { Stamp } from '../src/common/stamp.js';
import { PeerRequestHandler } from '../src/control/peer-request-handler.js';
import { Proposer } from '../src/epoch/proposer.js';
import { Register } from '../src/epoch/register.js';
import type { Term } from '../src/epoch/term.js';
import type { Document } from '../src/manifest/document.js';
import { Backup } from '../src/replica/backup.js';
import { Primary } from '../src/replica/primary.js';
import { TransferMeter } from '../src/replica/transfer-meter.js';
import { File } from '../src/store/file.js';
import { State } from '../src/store/state.js';
import type { Store } from '../src/store/store.js';
import type { Frame } from '../src/wire/frame.js';
import { Link } from '../src/wire/link.js';
import { PeerClient } from '../src/wire/peer-client.js';
import { Bench } from './bench.js';

/** A set of cores, the first of which may lead. */
export type ReplicaKit = {
  readonly machines: readonly ReplicaKit.Machine[];
  /** Makes the first machine primary of a term with these machines, of which the first `losses` + 1 are in sync. */
  readonly lead: (of: readonly number[], losses?: number) => Promise<Primary>;
  /** Deposes all primaries, stops all machines and deletes their data. */
  readonly stop: () => Promise<void>;
};

/** Types of the test cores. */
export declare namespace ReplicaKit {
  /** A TCP relay that all links to one machine go through. */
  type Relay = {
    readonly place: string;
    /** Throughput limit towards the machine; initially unlimited. */
    bytesPerSecond: number;
    /** Bytes forwarded towards the machine. */
    readonly passed: () => number;
    /** Closes all links and accepts no new ones until `heal`. */
    readonly cut: () => void;
    readonly heal: () => void;
    readonly stop: () => Promise<void>;
  };
  /** One core and the relay in front of it. */
  type Machine = {
    readonly node: string;
    readonly relay: Relay;
    register: Register;
    store: Store;
    backup: Backup;
    proposer: Proposer;
    readonly meter: TransferMeter;
    readonly self: () => Frame.Core;
    readonly clientFor: (core: Frame.Core) => PeerClient | undefined;
    /** Runs before each write to the store. */
    beforeWrite: () => Promise<void>;
    /** Runs before the machine accepts a term or asks another one to accept it. */
    beforeAccept: (term: Term) => Promise<void>;
    /** Makes the machine reply as an earlier version does, and passes each received frame to `onFrame`. */
    readonly emulateVersion: (version: 'earlier', onFrame: (frame: Frame) => void) => void;
    /** Restarts the machine, with its disk or with an empty one. */
    readonly restart: (isEmpty?: boolean) => Promise<void>;
    readonly held: () => Stamp;
  };
}

const unlimited = Number.POSITIVE_INFINITY;
const maxThrottledChunkBytes = 8 * 1024;

const startRelay = async (port: () => number): Promise<ReplicaKit.Relay> => {
  const sockets = new Set<Socket>();
  let passed = 0;
  let isCut = false;
  const pipe = (from: Socket, to: Socket, rate: () => number, count: (bytes: number) => void) => {
    const forward = (chunk: Buffer) => {
      const bytes = rate() === unlimited ? chunk : chunk.subarray(0, maxThrottledChunkBytes);
      const rest = chunk.subarray(bytes.length);
      const write = () => {
        to.write(bytes);
        if (rest.length > 0) forward(rest);
        else from.resume();
      };
      if (rate() === unlimited) write();
      else setTimeout(write, (bytes.length / rate()) * 1000);
    };
    from.on('data', (chunk: Buffer) => {
      count(chunk.length);
      from.pause();
      forward(chunk);
    });
    from.on('close', () => to.destroy());
    from.on('error', () => to.destroy());
  };
  const server = createServer((inbound) => {
    if (isCut) return void inbound.destroy();
    const outbound = dial({ host: '127.0.0.1', port: port() });
    for (const socket of [inbound, outbound]) {
      sockets.add(socket);
      socket.on('close', () => sockets.delete(socket));
    }
    pipe(
      inbound,
      outbound,
      () => relay.bytesPerSecond,
      (bytes) => {
        passed += bytes;
      },
    );
    pipe(
      outbound,
      inbound,
      () => unlimited,
      () => {},
    );
  });
  const address = await Listen(server, { host: '127.0.0.1', port: 0 });
  const closeSockets = () => {
    for (const socket of sockets) socket.destroy();
  };
  const relay: ReplicaKit.Relay = {
    place: `127.0.0.1:${address.port}`,
    bytesPerSecond: unlimited,
    passed: () => passed,
    cut() {
      isCut = true;
      closeSockets();
    },
    heal() {
      isCut = false;
    },
    stop: () =>
      new Promise((resolve) => {
        server.close(() => resolve());
        closeSockets();
      }),
  };
  return relay;
};

/** A store in memory, because a slow real disk on a busy machine would count as a failed one. */
const createStore = (disk: { state: State }, beforeWrite: () => Promise<void>, file: File): Store => {
  const turns = Mutex.of();
  return {
    state: () => disk.state,
    isHealthy: () => true,
    isCompacting: () => false,
    compacted: async () => {},
    idle: () => turns.runExclusive(async () => {}),
    recover: async () => {},
    close: () => file.close(),
    apply: (change, previous) =>
      turns.runExclusive(async () => {
        await beforeWrite();
        if (previous && !Stamp.isSame(previous, disk.state.stamp)) throw new Error('another state is held');
        if (change.kind !== 'whole' && !Stamp.isNewer(change.stamp, disk.state.stamp))
          throw new Error('change is not newer');
        disk.state = State.apply(disk.state, change);
      }),
  };
};

const startMachine = async (
  folder: string,
  node: string,
  peerClients: Map<string, PeerClient>,
): Promise<{ machine: ReplicaKit.Machine; stop: () => Promise<void> }> => {
  let data = join(folder, node);
  let restarts = 0;
  let links: Link[] = [];
  let server: Server;
  let port = 0;
  const disk = { state: State.empty };
  let isEarlierVersion = false;
  let onFrame: (frame: Frame) => void = () => {};
  const terms = { stamp: () => Stamp.none, age: () => 0, pingEvery: 250, silence: 1200 };
  const meter = TransferMeter.of();
  const relay = await startRelay(() => port);
  const self = (): Frame.Core => ({
    disk: machine.register.disk,
    node,
    wire: relay.place,
    http: relay.place,
  });
  const open = async () => {
    const file = await File.open(data, 'register.log');
    const register = await Register.open(file);
    const store = createStore(disk, () => machine.beforeWrite(), file);
    const backup = Backup.of({ register, store, isLeading: () => false, meter });
    const proposer = Proposer.of({
      register: {
        ...register,
        async accept(ballot, term, isChosen) {
          await machine.beforeAccept(term);
          return register.accept(ballot, term, isChosen);
        },
      },
      peerClients: () =>
        [...peerClients.values()].map((peerClient) => ({
          ...peerClient,
          async ask(request, within) {
            if (request.kind === 'accept') await machine.beforeAccept(request.term);
            return peerClient.ask(request, within);
          },
        })),
      core: self,
      highest: () => Epoch.none,
      isAble: store.isHealthy,
      held: () => store.state().stamp,
    });
    return { register, store, backup, proposer };
  };
  const serve = async () => {
    const desk = PeerRequestHandler.of({
      register: machine.register,
      proposer: machine.proposer,
      backup: machine.backup,
      onTakeoverRequest: () => undefined,
      join: async () => '',
      note: () => {},
    });
    server = createServer((socket) => {
      const link = Link.fromSocket(socket, terms);
      links.push(link);
      link.send({ kind: 'ping', age: 0 });
      async function* requests() {
        for await (const frame of link.frames()) {
          if (frame.kind === 'hello') continue;
          onFrame(frame);
          yield frame;
        }
      }
      const send: Link['send'] = (body) => {
        if (!isEarlierVersion || body.kind !== 'vote') return link.send(body);
        const { protocol: _protocol, ...vote } = body;
        return link.send(vote);
      };
      void desk.serve({ ...link, send }, requests()).catch(() => link.close());
    });
    port = (await Listen(server, { host: '127.0.0.1', port: 0 })).port;
  };
  const stopServing = () =>
    new Promise<void>((resolve) => {
      server.close(() => resolve());
      for (const link of links) link.close();
      links = [];
    });
  const machine: ReplicaKit.Machine = {
    node,
    relay,
    meter,
    self,
    clientFor: (core) => peerClients.get(core.wire),
    beforeWrite: async () => {},
    beforeAccept: async () => {},
    emulateVersion(_version, callback) {
      isEarlierVersion = true;
      onFrame = callback;
    },
    held: () => machine.store.state().stamp,
    async restart(isEmpty = false) {
      await stopServing();
      await machine.store.close();
      restarts += 1;
      if (isEmpty) {
        data = join(folder, `${node}-${restarts}`);
        disk.state = State.empty;
      }
      Object.assign(machine, await open());
      await serve();
    },
    ...({} as Pick<ReplicaKit.Machine, 'register' | 'store' | 'backup' | 'proposer'>),
  };
  Object.assign(machine, await open());
  await serve();
  return {
    machine,
    async stop() {
      await stopServing();
      await relay.stop();
      await machine.store.close();
    },
  };
};

/** Starts test cores and makes changes for them. */
export const ReplicaKit = {
  /**
   * An incompressible change of 64 KB. As many of them as a core keeps take two seconds over 7 Mbit/s, which is longer
   * than one frame may take, but little work for the processor that all cores of a test share.
   */
  change(stamp: Stamp, note: string): State.Change {
    const hash = createHash('shake256', { outputLength: 48 * 1024 });
    const words = hash.update(Stamp.text(stamp)).digest('base64');
    const document = { ...Bench.manifest, note, words } as unknown as Document;
    return { kind: 'manifest', stamp, document, by: 'operator', at: '', what: 'put', teams: [] };
  },
  /** Starts this many machines; only the first one has peer clients to the others. */
  async start(count: number): Promise<ReplicaKit> {
    const folder = mkdtempSync(join(tmpdir(), 'bramblebend-replica-'));
    const machines: ReplicaKit.Machine[] = [];
    const peerClients = new Map<string, PeerClient>();
    const stops: (() => Promise<void>)[] = [];
    for (let index = 0; index < count; index += 1) {
      const started = await startMachine(folder, `core-${index + 1}`, peerClients);
      machines.push(started.machine);
      stops.push(started.stop);
    }
    const [first, ...others] = machines as [ReplicaKit.Machine, ...ReplicaKit.Machine[]];
    const hello = { kind: 'hello', self: {} as never, version: '', aim: 'core' } as const;
    for (const { relay } of others)
      peerClients.set(
        relay.place,
        PeerClient.start({ address: relay.place, stamp: () => Stamp.none, age: () => 0, hello: () => hello }),
      );
    const running: Primary[] = [];
    const allUp = async () => {
      while (![...peerClients.values()].every((peerClient) => peerClient.isUp()))
        await new Promise((resolve) => setImmediate(resolve));
    };
    return {
      machines,
      async lead(of, losses = 1) {
        await allUp();
        const cores = of.map((index) => machines[index]!.self());
        const term: Term = {
          epoch: Epoch.of(1),
          formed: Epoch.none,
          primary: first.register.disk,
          inSync: cores.slice(0, losses + 1).map(({ disk }) => disk),
          cores,
        };
        if (!(await first.proposer.form(() => term, of.length))) throw new Error('no term was formed');
        const primary = Primary.of({
          disk: first.register.disk,
          term,
          ballot: first.register.accepted(),
          losses,
          store: first.store,
          proposer: first.proposer,
          clientFor: first.clientFor,
          publish: () => {},
          note: process.env.BRAMBLEBEND_TELL ? (...args) => console.error(...args) : () => {},
          meter: first.meter,
        });
        running.push(primary);
        await primary.commit((_state, stamp) => ({ kind: 'opened', stamp }));
        return primary;
      },
      async stop() {
        for (const primary of running) primary.depose('the test is over');
        await Promise.all([...peerClients.values()].map((peerClient) => peerClient.stop()));
        await Promise.all(stops.map((stop) => stop()));
        rmSync(folder, { recursive: true, force: true });
      },
    };
  },
};
