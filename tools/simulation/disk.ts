// A machine's disk in memory. What is written and what is synced are kept apart, for files and for names alike: a loss
// of power keeps what was synced, and of the rest a part that chance decides, the last write torn in its middle.
import type { Random } from '../random.js';

type Inode = { data: Buffer; synced: Buffer; writes: { at: number; bytes: Buffer }[] };
type NameChange = { readonly folder: string; readonly path: string; readonly inode: Inode | undefined };

/** One disk: its files as the programs see them, and as they would be after a loss of power. */
export type Disk = {
  readonly serial: number;
  readonly state: () => Disk.Condition;
  readonly become: (condition: Disk.Condition) => void;
  readonly paths: () => readonly string[];
  readonly has: (path: string) => boolean;
  readonly open: (path: string, isMade: boolean, isCut: boolean) => Disk.File | undefined;
  readonly makeFolder: (path: string) => void;
  readonly hasFolder: (path: string) => boolean;
  readonly rename: (from: string, to: string) => boolean;
  readonly remove: (path: string) => boolean;
  readonly syncFolder: (path: string) => void;
  readonly losePower: (random: Random) => void;
  /** The files as they would be found if the power were lost now and nothing unsynced survived. */
  readonly lasting: () => ReadonlyMap<string, Buffer>;
  /** Grows with each change of what is lasting. */
  readonly version: () => number;
};

export declare namespace Disk {
  type Condition = 'sound' | 'stalled' | 'full' | 'failing';
  type File = {
    readonly read: () => Buffer;
    readonly write: (bytes: Buffer, at: number) => void;
    readonly truncate: (length: number) => void;
    readonly sync: () => void;
  };
}

const folderOf = (path: string): string => path.slice(0, Math.max(1, path.lastIndexOf('/')));

const written = (data: Buffer, bytes: Buffer, at: number): Buffer => {
  if (at === data.length) return Buffer.concat([data, bytes]);
  const next = Buffer.alloc(Math.max(data.length, at + bytes.length));
  data.copy(next);
  bytes.copy(next, at);
  return next;
};

const survivorOf = (inode: Inode, random: Random): Buffer => {
  const kept = random.below(inode.writes.length + 1);
  let data = inode.synced;
  inode.writes.slice(0, kept).forEach(({ at, bytes }, index) => {
    const isTorn = index === kept - 1 && random.next() < 0.7;
    const part = isTorn ? bytes.subarray(0, random.below(bytes.length + 1)) : bytes;
    data = at < 0 ? data.subarray(0, -at - 1) : written(data, part, at);
    if (isTorn && at >= 0 && random.next() < 0.3)
      data = written(data, Buffer.alloc(bytes.length - part.length), at + part.length);
  });
  return data;
};

const fileOf = (inode: Inode, touch: () => void): Disk.File => ({
  read: () => inode.data,
  write(bytes, at) {
    const copy = Buffer.from(bytes);
    inode.data = written(inode.data, copy, at);
    inode.writes.push({ at, bytes: copy });
  },
  truncate(length) {
    inode.data =
      length <= inode.data.length
        ? inode.data.subarray(0, length)
        : written(inode.data, Buffer.alloc(length - inode.data.length), inode.data.length);
    inode.writes.push({ at: -length - 1, bytes: Buffer.alloc(0) });
  },
  sync() {
    if (inode.synced === inode.data) return;
    inode.synced = inode.data;
    inode.writes = [];
    touch();
  },
});

export const Disk = {
  of(serial: number): Disk {
    const folders = new Set<string>(['/']);
    const names = new Map<string, Inode>();
    const syncedNames = new Map<string, Inode>();
    let changes: NameChange[] = [];
    let condition: Disk.Condition = 'sound';
    let version = 0;
    const touch = () => {
      version += 1;
    };
    const change = (path: string, inode: Inode | undefined) => {
      if (inode) names.set(path, inode);
      else names.delete(path);
      changes.push({ folder: folderOf(path), path, inode });
    };
    const settle = ({ path, inode }: NameChange) => {
      if (inode) syncedNames.set(path, inode);
      else syncedNames.delete(path);
      touch();
    };
    return {
      serial,
      state: () => condition,
      become(next) {
        condition = next;
      },
      paths: () => [...names.keys()],
      has: (path) => names.has(path) || folders.has(path),
      open(path, isMade, isCut) {
        let inode = names.get(path);
        if (!inode && !isMade) return undefined;
        if (!inode) {
          inode = { data: Buffer.alloc(0), synced: Buffer.alloc(0), writes: [] };
          change(path, inode);
        }
        const file = fileOf(inode, touch);
        if (isCut) file.truncate(0);
        return file;
      },
      makeFolder: (path) => void folders.add(path),
      hasFolder: (path) => folders.has(path),
      rename(from, to) {
        const inode = names.get(from);
        if (!inode) return false;
        change(to, inode);
        change(from, undefined);
        return true;
      },
      remove(path) {
        if (!names.has(path)) return false;
        change(path, undefined);
        return true;
      },
      syncFolder(path) {
        for (const one of changes) if (one.folder === path) settle(one);
        changes = changes.filter((one) => one.folder !== path);
      },
      losePower(random) {
        for (const one of changes.slice(0, random.below(changes.length + 1))) settle(one);
        changes = [];
        names.clear();
        for (const [path, inode] of syncedNames) {
          inode.data = survivorOf(inode, random);
          inode.synced = inode.data;
          inode.writes = [];
          names.set(path, inode);
        }
        touch();
      },
      lasting: () => new Map([...syncedNames].map(([path, inode]) => [path, inode.synced])),
      version: () => version,
    };
  },
};
