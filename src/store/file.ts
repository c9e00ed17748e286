// One append-only file under the data folder. An append is done when it is synced; a whole rewrite
// goes to a new file that is synced, renamed over the old one and made lasting by syncing the folder.
// After a failed write nothing more is appended, for what is on the disk is unknown: only a whole rewrite
// makes the file sound again. A file whose write has been under way for a second is not sound until it is done.
// Replacing what the file begins with goes on beside the appends: the new file is written and synced first, then
// gets what was appended meanwhile, and only then takes the old one's place. Until that moment a failure costs
// nothing but the new file.
import { type FileHandle, mkdir, open, readFile, rename, rm } from 'node:fs/promises';
import { join } from 'node:path';
import { Failure } from '../kinds/failure.js';
import { Moment } from '../kinds/moment.js';
import { Phase } from '../kinds/phase.js';
import { Turns } from '../kinds/turns.js';
import { Records } from './records.js';

/** An append-only file of checksummed records. */
export type File = {
  /** The payloads that were there when it was opened. */
  readonly payloads: readonly Buffer[];
  /** Resolves once the payload is synced. */
  readonly append: (payload: Uint8Array) => Promise<void>;
  /** Puts payloads in the place of the whole file; this also mends a broken one. */
  readonly rewrite: (payloads: readonly Uint8Array[]) => Promise<void>;
  /**
   * Puts payloads in the place of all that was appended before this call; what is appended after it stays. Nothing
   * is replaced when the work fails, or when the file is rewritten or broken before it is done.
   */
  readonly replace: (make: () => Promise<readonly Uint8Array[]>) => Promise<void>;
  readonly length: () => number;
  /** Whether no write failed, and none has been under way for long. */
  readonly isHealthy: () => boolean;
  /** Whether a write has failed since the last whole rewrite. */
  readonly isBroken: () => boolean;
  readonly close: () => Promise<void>;
};

const stalledAfter = 1000;

/** New files beside the old one, until they take its name. */
const suffixes = { rewritten: '.new', replacement: '.replacement' } as const;

const syncFolder = async (folder: string): Promise<void> => {
  const handle = await open(folder, 'r');
  try {
    await handle.sync();
  } finally {
    await handle.close();
  }
};

const writeAll = async (handle: FileHandle, bytes: Buffer, position: number): Promise<void> => {
  let done = 0;
  while (done < bytes.length) {
    const { bytesWritten } = await handle.write(bytes, done, bytes.length - done, position + done);
    done += bytesWritten;
  }
};

const openFolder = async (folder: string): Promise<void> => {
  await mkdir(folder, { recursive: true });
  await syncFolder(folder);
};

const concat = (payloads: readonly Uint8Array[]): Buffer =>
  Buffer.concat(payloads.map((payload) => Records.encode(payload)));

const writeNew = async (path: string, bytes: Buffer): Promise<FileHandle> => {
  const handle = await open(path, 'w+');
  try {
    await writeAll(handle, bytes, 0);
    await handle.sync();
    return handle;
  } catch (cause) {
    await handle.close().catch(() => undefined);
    throw cause;
  }
};

/** The file by its name in a folder; one write runs at a time. */
class LogFile implements File {
  readonly payloads: readonly Buffer[];
  readonly #folder: string;
  readonly #name: string;
  readonly #turns = Turns.of();
  readonly #phase = Phase.of('sound', { sound: ['broken', 'shut'], broken: ['sound', 'shut'], shut: [] });
  #handle: FileHandle;
  #length: number;
  #busySince: Moment | undefined;
  /** What was appended since a replacement began. */
  #meanwhile: Buffer[] | undefined;
  #replacement: Promise<void> = Promise.resolve();

  constructor(folder: string, name: string, handle: FileHandle, found: Records) {
    this.#folder = folder;
    this.#name = name;
    this.#handle = handle;
    this.#length = found.length;
    this.payloads = found.payloads;
  }

  readonly length = (): number => {
    return this.#length;
  };

  readonly isHealthy = (): boolean => {
    const isStalled = this.#busySince !== undefined && Moment.since(this.#busySince) >= stalledAfter;
    return this.#phase.is('sound') && !isStalled;
  };

  readonly isBroken = (): boolean => {
    return this.#phase.is('broken');
  };

  readonly append = (payload: Uint8Array): Promise<void> => {
    return this.#guarded(async () => {
      const record = Records.encode(payload);
      await writeAll(this.#handle, record, this.#length);
      await this.#handle.datasync();
      this.#length += record.length;
      this.#meanwhile?.push(record);
    });
  };

  readonly rewrite = (payloads: readonly Uint8Array[]): Promise<void> => {
    const write = async () => {
      this.#meanwhile = undefined;
      const path = this.#pathOf(suffixes.rewritten);
      const whole = concat(payloads);
      const next = await writeNew(path, whole);
      await this.#takeOver(next, path, whole.length);
    };
    return this.#guarded(write, true);
  };

  readonly replace = (make: () => Promise<readonly Uint8Array[]>): Promise<void> => {
    if (this.#meanwhile) return Promise.reject(Failure.of('store', `${this.#name} is being replaced`));
    const meanwhile: Buffer[] = [];
    this.#meanwhile = meanwhile;
    const work = this.#replaceBeside(make, meanwhile);
    this.#replacement = work.catch(() => undefined);
    return work;
  };

  readonly close = async (): Promise<void> => {
    await this.#turns.take(async () => {
      if (this.#phase.is('shut')) return;
      this.#phase.become('shut');
      await this.#handle.close();
    });
    await this.#replacement;
  };

  #pathOf(suffix = ''): string {
    return join(this.#folder, `${this.#name}${suffix}`);
  }

  /** Runs one write at a time; after a failure only a whole rewrite may run. */
  #guarded(work: () => Promise<void>, isWhole = false): Promise<void> {
    return this.#turns.take(async () => {
      if (!this.#phase.is('sound') && !(isWhole && this.#phase.is('broken')))
        throw Failure.of('store', `${this.#name} is ${this.#phase.state}`);
      this.#busySince = Moment.now();
      try {
        await work();
        if (this.#phase.is('broken')) this.#phase.become('sound');
      } catch (cause) {
        if (this.#phase.is('sound')) this.#phase.become('broken');
        throw Failure.of('store', `cannot write ${this.#name}`, {}, cause);
      } finally {
        this.#busySince = undefined;
      }
    });
  }

  /** Gives a synced new file the name; whether it has it after a failure is not known. */
  async #takeOver(next: FileHandle, path: string, length: number): Promise<void> {
    try {
      await rename(path, this.#pathOf());
      await syncFolder(this.#folder);
    } catch (cause) {
      await next.close().catch(() => undefined);
      throw cause;
    }
    const old = this.#handle;
    this.#handle = next;
    this.#length = length;
    await old.close().catch(() => undefined);
  }

  async #replaceBeside(make: () => Promise<readonly Uint8Array[]>, meanwhile: Buffer[]): Promise<void> {
    const path = this.#pathOf(suffixes.replacement);
    let isTaken = false;
    let next: FileHandle | undefined;
    try {
      const whole = concat(await make());
      next = await writeNew(path, whole);
      const synced = next;
      await this.#turns.take(() => this.#finishReplacing(synced, whole.length, meanwhile));
      isTaken = true;
    } catch (cause) {
      throw Failure.of('store', `cannot replace the beginning of ${this.#name}`, {}, cause);
    } finally {
      if (this.#meanwhile === meanwhile) this.#meanwhile = undefined;
      if (!isTaken) await next?.close().catch(() => undefined);
      if (!isTaken) await rm(path, { force: true }).catch(() => undefined);
    }
  }

  /** Adds what was appended meanwhile and takes the old file's place. No append runs beside it. */
  async #finishReplacing(next: FileHandle, length: number, meanwhile: readonly Buffer[]): Promise<void> {
    if (this.#meanwhile !== meanwhile || !this.#phase.is('sound'))
      throw Failure.of('store', `${this.#name} was rewritten meanwhile, or is ${this.#phase.state}`);
    this.#busySince = Moment.now();
    try {
      const tail = Buffer.concat(meanwhile);
      if (tail.length > 0) {
        await writeAll(next, tail, length);
        await next.sync();
      }
      await this.#takeOver(next, this.#pathOf(suffixes.replacement), length + tail.length).catch((cause) => {
        this.#phase.become('broken');
        throw cause;
      });
    } finally {
      this.#busySince = undefined;
    }
  }
}

/** The bytes of a file, or none where there is no file yet. */
const readWhole = (path: string, name: string): Promise<Buffer> =>
  readFile(path).catch((cause: NodeJS.ErrnoException) => {
    if (cause.code === 'ENOENT') return Buffer.alloc(0);
    throw Failure.of('store', `cannot read ${name}`, {}, cause);
  });

export const File = {
  /** Opens or makes a file, cuts a torn end off, and throws where records before it are damaged. */
  async open(folder: string, name: string): Promise<File> {
    await openFolder(folder);
    const path = join(folder, name);
    for (const suffix of Object.values(suffixes)) await rm(`${path}${suffix}`, { force: true });
    const bytes = await readWhole(path, name);
    const found = Records.decode(bytes);
    const created = await open(path, 'a+');
    await created.close();
    const handle = await open(path, 'r+');
    if (found.length < bytes.length) await handle.truncate(found.length);
    await handle.sync();
    await syncFolder(folder);
    return new LogFile(folder, name, handle, found);
  },
};
