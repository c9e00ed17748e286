// The file functions that the product uses, over a simulated disk: each takes a little while, a sync longer, and all of
// them wait while the disk is stalled. What was begun by a process that is killed meanwhile is done all the same.
import type { Random } from '../random.js';
import type { Clock } from './clock.js';
import type { Disk } from './disk.js';
import type { Process } from './process.js';

type Options = { readonly recursive?: boolean; readonly force?: boolean };
type Handle = Readonly<Record<string, (...given: never[]) => unknown>>;

/** The parts of `node:fs/promises` and `node:fs` that the product uses, for one process. */
export type Files = {
  readonly promises: Readonly<Record<string, (...given: never[]) => unknown>>;
  readonly direct: Readonly<Record<string, (...given: never[]) => unknown>>;
};

export declare namespace Files {
  type Needs = {
    readonly disk: Disk;
    readonly process: Process;
    readonly random: Random;
    /** Undefined for a disk that is only looked at: then nothing takes any time. */
    readonly clock: Clock | undefined;
  };
}

const lookAgainAfter = 20;
const spans = { look: 0.02, write: 0.05, sync: 0.4, spread: 3 } as const;

const failure = (code: string, path: string): Error => Object.assign(new Error(`${code}: ${path}`), { code });

const plain = (path: unknown): string => String(path).replace(/\/+$/, '') || '/';

export const Files = {
  of({ disk, process, random, clock }: Files.Needs): Files {
    const host = { power: 0 };
    process.onEnd((isClean) => {
      if (!isClean) host.power += 1;
    });
    const later = <T>(span: number, work: () => T, changes: boolean, path: string): Promise<T> =>
      new Promise((resolve, reject) => {
        const { power } = host;
        const act = () => {
          if (power !== host.power) return;
          if (disk.state() === 'stalled') {
            clock!.after(lookAgainAfter, act);
            return;
          }
          if (changes && disk.state() === 'full') return process.run(() => reject(failure('ENOSPC', path)));
          if (changes && disk.state() === 'failing') return process.run(() => reject(failure('EIO', path)));
          try {
            const value = work();
            process.run(() => resolve(value));
          } catch (error) {
            process.run(() => reject(error));
          }
        };
        if (clock) clock.after(span * (0.7 + random.next() * 0.6), act);
        else act();
      });
    const look = <T>(path: string, work: () => T) => later(spans.look, work, false, path);
    const change = <T>(path: string, work: () => T) => later(spans.write, work, true, path);
    const syncSpan = () => spans.sync + (random.next() < 0.05 ? 20 : spans.spread) * random.next();
    const found = (path: string, file: Disk.File | undefined): Disk.File => {
      if (!file) throw failure('ENOENT', path);
      return file;
    };
    const handleOf = (path: string, file: Disk.File): Handle => {
      const sync = () => later(syncSpan(), () => file.sync(), true, path);
      const bytesOf = (given: Uint8Array | string) =>
        typeof given === 'string' ? Buffer.from(given) : given;
      const append = (given: Uint8Array | string) =>
        change(path, () => file.write(Buffer.from(bytesOf(given)), file.read().length));
      return {
        write(buffer: Uint8Array, offset = 0, length = buffer.length - offset, position?: number | null) {
          const bytes = Buffer.from(buffer.subarray(offset, offset + length));
          return change(path, () => {
            file.write(bytes, position ?? file.read().length);
            return { bytesWritten: bytes.length, buffer };
          });
        },
        read(buffer: Uint8Array, offset = 0, length = buffer.length - offset, position = 0) {
          return look(path, () => {
            const part = file.read().subarray(position, position + length);
            buffer.set(part, offset);
            return { bytesRead: part.length, buffer };
          });
        },
        readFile: (encoding?: unknown) => look(path, () => contents(file, encoding)),
        writeFile: append,
        appendFile: append,
        truncate: (length = 0) => change(path, () => file.truncate(length)),
        stat: () => look(path, () => ({ size: file.read().length })),
        sync,
        datasync: sync,
        close: () => look(path, () => undefined),
      } as unknown as Handle;
    };
    const folderHandle = (path: string): Handle => ({
      sync: () => later(syncSpan(), () => disk.syncFolder(path), true, path),
      close: () => look(path, () => undefined),
    });
    const contents = (file: Disk.File, encoding?: unknown): Buffer | string => {
      const name =
        typeof encoding === 'object' && encoding ? (encoding as { encoding?: string }).encoding : encoding;
      return name ? Buffer.from(file.read()).toString(name as BufferEncoding) : Buffer.from(file.read());
    };
    const children = (path: string): string[] => {
      const all = disk.paths().filter((one) => one.startsWith(`${path}/`));
      return [...new Set(all.map((one) => one.slice(path.length + 1).split('/')[0]!))];
    };
    const remove = (path: string, { recursive, force }: Options) => {
      const below = disk.paths().filter((one) => one === path || (recursive && one.startsWith(`${path}/`)));
      if (below.length === 0 && !force && !disk.hasFolder(path)) throw failure('ENOENT', path);
      for (const one of below) disk.remove(one);
    };
    return {
      promises: {
        mkdir: (given: unknown) => change(plain(given), () => disk.makeFolder(plain(given))),
        open(given: unknown, flags: string = 'r') {
          const path = plain(given);
          const work = () => {
            if (disk.hasFolder(path)) return folderHandle(path);
            const isMade = flags.startsWith('w') || flags.startsWith('a');
            return handleOf(path, found(path, disk.open(path, isMade, flags.startsWith('w'))));
          };
          return flags.startsWith('r') ? look(path, work) : change(path, work);
        },
        readFile: (given: unknown, encoding?: unknown) =>
          look(plain(given), () =>
            contents(found(plain(given), disk.open(plain(given), false, false)), encoding),
          ),
        rename: (from: unknown, to: unknown) =>
          change(plain(from), () => {
            if (!disk.rename(plain(from), plain(to))) throw failure('ENOENT', plain(from));
          }),
        rm: (given: unknown, options: Options = {}) =>
          change(plain(given), () => remove(plain(given), options)),
        unlink: (given: unknown) => change(plain(given), () => remove(plain(given), {})),
        readdir: (given: unknown) => look(plain(given), () => children(plain(given))),
        stat: (given: unknown) =>
          look(plain(given), () => ({
            size: found(plain(given), disk.open(plain(given), false, false)).read().length,
          })),
        access: (given: unknown) =>
          look(plain(given), () => {
            if (!disk.has(plain(given))) throw failure('ENOENT', plain(given));
          }),
      } as unknown as Files['promises'],
      direct: {
        existsSync: (given: unknown) => disk.has(plain(given)),
        statSync: () => undefined,
      } as unknown as Files['direct'],
    };
  },
};
