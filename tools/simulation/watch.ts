// Looks at the simulated machines from outside the network: who leads, what each disk would remember if its power went
// now, and how many disks may be lost without going beyond what the cores bear.
import type { Clock } from './clock.js';
import { Disk } from './disk.js';
import type { Order } from './history.js';
import type { Instance } from './instance.js';
import type { Machine } from './machine.js';
import { Process } from './process.js';
import type { Program } from './program.js';

export type Watch = {
  readonly everyIp: () => readonly string[];
  /** The primary first, then the others in sync, then the rest. */
  readonly ranked: () => Promise<readonly Machine[]>;
  readonly mayLoseDisk: () => boolean;
  readonly lostDisk: (machine: Machine) => void;
  /** Looks whether the cores have made good what was lost. */
  readonly look: () => Promise<void>;
  readonly holds: (machine: Machine, order: Order) => Promise<boolean>;
  /** How many disks hold an order, and how many must. */
  readonly holders: (
    order: Order,
    isThorough?: boolean,
  ) => Promise<{ readonly held: number; readonly needed: number }>;
  /** The machines that the newest term of any primary names: those in sync, and all cores. */
  readonly members: () => Promise<{
    readonly inSync: readonly Machine[];
    readonly cores: readonly Machine[];
  }>;
};

export declare namespace Watch {
  type Needs = {
    readonly clock: Clock;
    readonly losses: number;
    readonly machines: () => readonly Machine[];
    readonly reader: Instance;
  };
}

const folder = '/data';
const blank: Program.Memory = { disk: '', epoch: 0, revision: 0, newest: '', orders: [] };

export const Watch = {
  of({ clock, losses, machines, reader }: Watch.Needs): Watch {
    const memories = new WeakMap<Disk, { version: number; memory: Program.Memory }>();
    const diskNames = new WeakMap<Disk, { startedAt: number; name: string }>();
    let lostAt: number[] = [];
    let isFragile = false;
    const random = {
      next: () => 0.5,
      below: () => 0,
      pick: <T>(list: readonly T[]) => list[0]!,
      gap: () => 1,
    };

    let last: Promise<unknown> = Promise.resolve();
    const inTurn = <T>(work: () => Promise<T>): Promise<T> => {
      const mine = last.then(work, work);
      last = mine.catch(() => undefined);
      return mine;
    };
    const openCopy = <T>(disk: Disk, none: T, look: (folder: string) => Promise<T>): Promise<T> =>
      inTurn(async () => {
        const lasting = disk.lasting();
        if (lasting.size === 0) return none;
        const copy = Disk.of(0);
        copy.makeFolder(folder);
        for (const [path, bytes] of lasting) copy.open(path, true, false)!.write(bytes, 0);
        const process = Process.of(clock, 'reader');
        reader.bind({ process, disk: copy, random, clock, network: undefined });
        return look(folder);
      });
    const remembers = async (machine: Machine): Promise<Program.Memory> => {
      const disk = machine.disk();
      const version = disk.version();
      const known = memories.get(disk);
      if (known?.version === version) return known.memory;
      const memory = await openCopy(disk, blank, reader.program.remembers);
      memories.set(disk, { version, memory });
      return memory;
    };
    const nameOf = async (machine: Machine): Promise<string> => {
      const disk = machine.disk();
      const startedAt = machine.startedAt();
      const known = diskNames.get(disk);
      if (known?.startedAt === startedAt) return known.name;
      const name = disk.has(`${folder}/register.log`)
        ? await openCopy(disk, '', reader.program.diskName)
        : '';
      if (name !== '') diskNames.set(disk, { startedAt, name });
      return name;
    };
    const term = async (): Promise<Machine.Term | undefined> => {
      const told = await Promise.all(machines().map((machine) => machine.health().catch(() => undefined)));
      return told
        .filter((one) => one?.state === 'leading')
        .flatMap((one) => one?.tenure ?? [])
        .sort((a, b) => b.epoch - a.epoch)[0];
    };
    const named = async () => {
      const all = await Promise.all(
        machines().map(async (machine) => ({ machine, disk: await nameOf(machine) })),
      );
      return { machineOf: (disk: string) => all.find((one) => one.disk === disk && disk !== '')?.machine };
    };
    const hasRaw = (machine: Machine, order: Order): boolean =>
      [...machine.disk().lasting().values()].some((bytes) => bytes.includes(`"${order.id}"`));
    const holds = async (machine: Machine, order: Order): Promise<boolean> => {
      const memory = await remembers(machine);
      return memory.orders.includes(order.id) || memory.orders.includes(order.keptAs);
    };
    const neededFor = (order: Order): number => {
      const sentAt = order.tries.find(({ outcome }) => outcome === 'taken')?.at ?? 0;
      return Math.max(0, losses + 1 - lostAt.filter((at) => at >= sentAt).length);
    };
    return {
      everyIp: () => machines().map(({ ip }) => ip),
      async ranked() {
        const [now, { machineOf }] = [await term(), await named()];
        const disks = now ? [now.primary, ...now.inSync, ...now.cores.map(({ disk }) => disk)] : [];
        const first = disks.flatMap((disk) => machineOf(disk) ?? []);
        return [...new Set([...first, ...machines()])];
      },
      mayLoseDisk: () => !isFragile || lostAt.length < losses,
      lostDisk(_machine) {
        if (!isFragile) lostAt = [];
        isFragile = true;
        lostAt.push(clock.at());
      },
      async look() {
        if (!isFragile) return;
        const now = await term();
        if (!now) return;
        const { machineOf } = await named();
        const isWhole =
          now.cores.length === 2 * losses + 1 && now.cores.every(({ disk }) => machineOf(disk)?.isRunning());
        const isInSync = now.inSync.length > losses && now.inSync.every((disk) => machineOf(disk));
        if (isInSync && isWhole) {
          isFragile = false;
          lostAt = [];
        }
      },
      holds,
      async holders(order, isThorough = false) {
        const needed = neededFor(order);
        const raw = machines().filter((machine) => hasRaw(machine, order)).length;
        if (!isThorough && raw >= needed) return { held: raw, needed };
        const held = await Promise.all(machines().map((machine) => holds(machine, order)));
        return { held: held.filter(Boolean).length, needed };
      },
      async members() {
        const [now, { machineOf }] = [await term(), await named()];
        const machinesOf = (disks: readonly string[]) => disks.flatMap((disk) => machineOf(disk) ?? []);
        return {
          inSync: machinesOf(now?.inSync ?? []),
          cores: machinesOf((now?.cores ?? []).map(({ disk }) => disk)),
        };
      },
    };
  },
};
