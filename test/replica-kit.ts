// Cores inside one process for tests of replication: real registers, couriers and links over loopback, with
// each way between two machines throttled, cut and counted at will, and disks that are slow or emptied.
import { createHash } from 'node:crypto';
import { mkdtempSync, rmSync } from 'node:fs';
import { createServer, connect as dial, type Server, type Socket } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { Desk } from '../src/control/desk.js';
import { Proposer } from '../src/epoch/proposer.js';
import { Register } from '../src/epoch/register.js';
import type { Term } from '../src/epoch/term.js';
import { Epoch } from '../src/kinds/epoch.js';
import { Listen } from '../src/kinds/listen.js';
import { Stamp } from '../src/kinds/stamp.js';
import { Turns } from '../src/kinds/turns.js';
import type { Document } from '../src/manifest/document.js';
import { Backup } from '../src/replica/backup.js';
import { Primary } from '../src/replica/primary.js';
import { TransferMeter } from '../src/replica/transfer-meter.js';
import { File } from '../src/store/file.js';
import { State } from '../src/store/state.js';
import type { Store } from '../src/store/store.js';
import { Courier } from '../src/wire/courier.js';
import type { Frame } from '../src/wire/frame.js';
import { Link } from '../src/wire/link.js';
import { Bench } from './bench.js';

export type ReplicaKit = {
  readonly machines: readonly ReplicaKit.Machine[];
  /** The first machine as primary of a term with these machines, the first `losses` + 1 of them in sync. */
  readonly lead: (of: readonly number[], losses?: number) => Promise<Primary>;
  readonly stop: () => Promise<void>;
};

export declare namespace ReplicaKit {
  /** The ways to one machine: all its bytes pass here. */
  type Relay = {
    readonly place: string;
    /** Bytes a second towards the machine; unbounded at first. */
    rate: number;
    /** Bytes that went towards the machine. */
    readonly passed: () => number;
    /** Ends all links; none is let through until `heal`. */
    readonly cut: () => void;
    readonly heal: () => void;
    readonly stop: () => Promise<void>;
  };
  type Machine = {
    readonly node: string;
    readonly relay: Relay;
    register: Register;
    store: Store;
    backup: Backup;
    proposer: Proposer;
    readonly meter: TransferMeter;
    readonly self: () => Frame.Core;
    readonly courierTo: (core: Frame.Core) => Courier | undefined;
    /** Runs before each write of the store. */
    beforeWrite: () => Promise<void>;
    /** Runs before the machine asks the others to accept a term, or accepts one itself. */
    beforeAccept: (term: Term) => Promise<void>;
    /** Lets the machine answer as an earlier program does, and tells each frame that comes in. */
    readonly become: (what: 'earlier', see: (frame: Frame) => void) => void;
    /** Ends the process and starts it again, with its disk or an empty one. */
    readonly restart: (isEmpty?: boolean) => Promise<void>;
    readonly held: () => Stamp;
  };
}

const unbounded = Number.POSITIVE_INFINITY;
const mostAtOnce = 8 * 1024;

const relayTo = async (port: () => number): Promise<ReplicaKit.Relay> => {
  const sockets = new Set<Socket>();
  let passed = 0;
  let isCut = false;
  const pipe = (from: Socket, to: Socket, rate: () => number, count: (bytes: number) => void) => {
    const trickle = (chunk: Buffer) => {
      const bytes = rate() === unbounded ? chunk : chunk.subarray(0, mostAtOnce);
      const rest = chunk.subarray(bytes.length);
      const pass = () => {
        to.write(bytes);
        if (rest.length > 0) trickle(rest);
        else from.resume();
      };
      if (rate() === unbounded) pass();
      else setTimeout(pass, (bytes.length / rate()) * 1000);
    };
    from.on('data', (chunk: Buffer) => {
      count(chunk.length);
      from.pause();
      trickle(chunk);
    });
    from.on('close', () => to.destroy());
    from.on('error', () => to.destroy());
  };
  const server = createServer((near) => {
    if (isCut) return void near.destroy();
    const far = dial({ host: '127.0.0.1', port: port() });
    for (const socket of [near, far]) {
      sockets.add(socket);
      socket.on('close', () => sockets.delete(socket));
    }
    pipe(
      near,
      far,
      () => relay.rate,
      (bytes) => {
        passed += bytes;
      },
    );
    pipe(
      far,
      near,
      () => unbounded,
      () => {},
    );
  });
  const at = await Listen(server, { host: '127.0.0.1', port: 0 });
  const end = () => {
    for (const socket of sockets) socket.destroy();
  };
  const relay: ReplicaKit.Relay = {
    place: `127.0.0.1:${at.port}`,
    rate: unbounded,
    passed: () => passed,
    cut() {
      isCut = true;
      end();
    },
    heal() {
      isCut = false;
    },
    stop: () =>
      new Promise((resolve) => {
        server.close(() => resolve());
        end();
      }),
  };
  return relay;
};

/** A store whose disk syncs at once, so that a busy machine's real one is not mistaken for a failed one. */
const storeOf = (disk: { state: State }, beforeWrite: () => Promise<void>, file: File): Store => {
  const turns = Turns.of();
  return {
    state: () => disk.state,
    isHealthy: () => true,
    isCompacting: () => false,
    compacted: async () => {},
    idle: () => turns.take(async () => {}),
    recover: async () => {},
    close: () => file.close(),
    apply: (change, previous) =>
      turns.take(async () => {
        await beforeWrite();
        if (previous && !Stamp.isSame(previous, disk.state.stamp)) throw new Error('another state is held');
        if (change.kind !== 'whole' && !Stamp.isNewer(change.stamp, disk.state.stamp))
          throw new Error('change is not newer');
        disk.state = State.apply(disk.state, change);
      }),
  };
};

const machineOf = async (
  folder: string,
  node: string,
  couriers: Map<string, Courier>,
): Promise<{ machine: ReplicaKit.Machine; stop: () => Promise<void> }> => {
  let data = join(folder, node);
  let lives = 0;
  let links: Link[] = [];
  let server: Server;
  let port = 0;
  const disk = { state: State.empty };
  let isEarlier = false;
  let seeFrame: (frame: Frame) => void = () => {};
  const terms = { stamp: () => Stamp.none, age: () => 0, pingEvery: 250, silence: 1200 };
  const meter = TransferMeter.of();
  const relay = await relayTo(() => port);
  const self = (): Frame.Core => ({
    disk: machine.register.disk,
    node,
    wire: relay.place,
    http: relay.place,
  });
  const open = async () => {
    const file = await File.open(data, 'register.log');
    const register = await Register.open(file);
    const store = storeOf(disk, () => machine.beforeWrite(), file);
    const backup = Backup.of({ register, store, isLeading: () => false, meter });
    const proposer = Proposer.of({
      register: {
        ...register,
        async accept(ballot, term, isChosen) {
          await machine.beforeAccept(term);
          return register.accept(ballot, term, isChosen);
        },
      },
      couriers: () =>
        [...couriers.values()].map((courier) => ({
          ...courier,
          async ask(request, within) {
            if (request.kind === 'accept') await machine.beforeAccept(request.term);
            return courier.ask(request, within);
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
    const desk = Desk.of({
      register: machine.register,
      proposer: machine.proposer,
      backup: machine.backup,
      onYield: () => undefined,
      join: async () => '',
      note: () => {},
    });
    server = createServer((socket) => {
      const link = Link.over(socket, terms);
      links.push(link);
      link.send({ kind: 'ping', age: 0 });
      async function* requests() {
        for await (const frame of link.frames()) {
          if (frame.kind === 'hello') continue;
          seeFrame(frame);
          yield frame;
        }
      }
      const send: Link['send'] = (body) => {
        if (!isEarlier || body.kind !== 'vote') return link.send(body);
        const { protocol: _protocol, ...vote } = body;
        return link.send(vote);
      };
      void desk.serve({ ...link, send }, requests()).catch(() => link.close());
    });
    port = (await Listen(server, { host: '127.0.0.1', port: 0 })).port;
  };
  const end = () =>
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
    courierTo: (core) => couriers.get(core.wire),
    beforeWrite: async () => {},
    beforeAccept: async () => {},
    become(_earlier, see) {
      isEarlier = true;
      seeFrame = see;
    },
    held: () => machine.store.state().stamp,
    async restart(isEmpty = false) {
      await end();
      await machine.store.close();
      lives += 1;
      if (isEmpty) {
        data = join(folder, `${node}-${lives}`);
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
      await end();
      await relay.stop();
      await machine.store.close();
    },
  };
};

export const ReplicaKit = {
  /**
   * A change whose words can't be packed: 64 KB each. As many as a core keeps take two seconds over 7 Mbit/s, which is
   * longer than one frame may take, and little work for the processor that all cores of a test share.
   */
  change(stamp: Stamp, note: string): State.Change {
    const hash = createHash('shake256', { outputLength: 48 * 1024 });
    const words = hash.update(Stamp.text(stamp)).digest('base64');
    const document = { ...Bench.manifest, note, words } as unknown as Document;
    return { kind: 'manifest', stamp, document, by: 'operator', at: '', what: 'put', teams: [] };
  },
  async start(count: number): Promise<ReplicaKit> {
    const folder = mkdtempSync(join(tmpdir(), 'bramblebend-replica-'));
    const machines: ReplicaKit.Machine[] = [];
    const couriers = new Map<string, Courier>();
    const stops: (() => Promise<void>)[] = [];
    for (let index = 0; index < count; index += 1) {
      const made = await machineOf(folder, `core-${index + 1}`, couriers);
      machines.push(made.machine);
      stops.push(made.stop);
    }
    const [first, ...others] = machines as [ReplicaKit.Machine, ...ReplicaKit.Machine[]];
    const hello = { kind: 'hello', self: {} as never, version: '', aim: 'core' } as const;
    for (const { relay } of others)
      couriers.set(
        relay.place,
        Courier.run({ place: relay.place, stamp: () => Stamp.none, age: () => 0, hello: () => hello }),
      );
    const running: Primary[] = [];
    const allUp = async () => {
      while (![...couriers.values()].every((courier) => courier.isUp()))
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
          courierTo: first.courierTo,
          publish: () => {},
          note: process.env.BRAMBLEBEND_TELL ? (...told) => console.error(...told) : () => {},
          meter: first.meter,
        });
        running.push(primary);
        await primary.commit((_state, stamp) => ({ kind: 'opened', stamp }));
        return primary;
      },
      async stop() {
        for (const primary of running) primary.depose('the test is over');
        await Promise.all([...couriers.values()].map((courier) => courier.stop()));
        await Promise.all(stops.map((stop) => stop()));
        rmSync(folder, { recursive: true, force: true });
      },
    };
  },
};
