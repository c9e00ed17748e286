/**
 * An append-only file of checksummed records in the data folder. An append is complete once it is synced. A rewrite of
 * the whole file goes to a new file, which is synced and renamed over the old one; then the folder is synced, so that
 * the rename is durable.
 *
 * After a failed write the content of the disk is unknown, so nothing more is appended until a rewrite of the whole
 * file succeeds. A file whose write has taken more than a second is unhealthy until that write ends.
 *
 * Replacing the beginning of the file runs concurrently with appends: the new file is written and synced first, then
 * receives the records that were appended in the meantime, and only then takes the place of the old one. A failure
 * before that point costs nothing but the new file.
 */
import { type FileHandle, mkdir, open, readFile, rename, rm } from 'node:fs/promises';
import { join } from 'node:path';
import { Failure } from '../common/failure.js';
import { Instant } from '../common/instant.js';
import { Mutex } from '../common/mutex.js';
import { StateMachine } from '../common/state-machine.js';
import { Records } from './records.js';

/** An append-only file of checksummed records. */
export type File = {
  /** The payloads that the file held when it was opened. */
  readonly payloads: readonly Buffer[];
  /** Resolves once the payload is synced. */
  readonly append: (payload: Uint8Array) => Promise<void>;
  /** Replaces the whole content; this also makes a broken file usable again. */
  readonly rewrite: (payloads: readonly Uint8Array[]) => Promise<void>;
  /**
   * Replaces everything that was appended before this call; what is appended after it is kept. Nothing is replaced if
   * the work fails, or if the file is rewritten or breaks before it is done.
   */
  readonly replace: (make: () => Promise<readonly Uint8Array[]>) => Promise<void>;
  /** The length in bytes. */
  readonly length: () => number;
  /** Whether no write has failed and none has stalled. */
  readonly isHealthy: () => boolean;
  /** Whether a write has failed since the last rewrite of the whole file. */
  readonly isBroken: () => boolean;
  readonly close: () => Promise<void>;
};

/** A write that takes longer counts as stalled. */
const stallThresholdMs = 1000;

/** Suffixes of new files until they are renamed over the old one. */
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

const createFolder = async (folder: string): Promise<void> => {
  await mkdir(folder, { recursive: true });
  await syncFolder(folder);
};

const encodeAll = (payloads: readonly Uint8Array[]): Buffer =>
  Buffer.concat(payloads.map((payload) => Records.encode(payload)));

const writeNewFile = async (path: string, bytes: Buffer): Promise<FileHandle> => {
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

/** A file in a folder; its writes run one at a time. */
class LogFile implements File {
  readonly payloads: readonly Buffer[];
  readonly #folder: string;
  readonly #name: string;
  readonly #turns = Mutex.of();
  readonly #phase = StateMachine.of('healthy', {
    healthy: ['broken', 'closed'],
    broken: ['healthy', 'closed'],
    closed: [],
  });
  #handle: FileHandle;
  #length: number;
  #writingSince: Instant | undefined;
  /** The records appended since the replacement under way began. */
  #appendedSinceReplace: Buffer[] | undefined;
  #replacement: Promise<void> = Promise.resolve();

  constructor(folder: string, name: string, handle: FileHandle, records: Records) {
    this.#folder = folder;
    this.#name = name;
    this.#handle = handle;
    this.#length = records.length;
    this.payloads = records.payloads;
  }

  readonly length = (): number => {
    return this.#length;
  };

  readonly isHealthy = (): boolean => {
    const isStalled =
      this.#writingSince !== undefined && Instant.since(this.#writingSince) >= stallThresholdMs;
    return this.#phase.is('healthy') && !isStalled;
  };

  readonly isBroken = (): boolean => {
    return this.#phase.is('broken');
  };

  readonly append = (payload: Uint8Array): Promise<void> => {
    return this.#runWrite(async () => {
      const record = Records.encode(payload);
      await writeAll(this.#handle, record, this.#length);
      await this.#handle.datasync();
      this.#length += record.length;
      this.#appendedSinceReplace?.push(record);
    });
  };

  readonly rewrite = (payloads: readonly Uint8Array[]): Promise<void> => {
    const write = async () => {
      this.#appendedSinceReplace = undefined;
      const path = this.#pathOf(suffixes.rewritten);
      const whole = encodeAll(payloads);
      const next = await writeNewFile(path, whole);
      await this.#swapIn(next, path, whole.length);
    };
    return this.#runWrite(write, true);
  };

  readonly replace = (make: () => Promise<readonly Uint8Array[]>): Promise<void> => {
    if (this.#appendedSinceReplace)
      return Promise.reject(Failure.of('store', `${this.#name} is already being replaced`));
    const appended: Buffer[] = [];
    this.#appendedSinceReplace = appended;
    const work = this.#replaceConcurrently(make, appended);
    this.#replacement = work.catch(() => undefined);
    return work;
  };

  readonly close = async (): Promise<void> => {
    await this.#turns.runExclusive(async () => {
      if (this.#phase.is('closed')) return;
      this.#phase.transitionTo('closed');
      await this.#handle.close();
    });
    await this.#replacement;
  };

  #pathOf(suffix = ''): string {
    return join(this.#folder, `${this.#name}${suffix}`);
  }

  /** Runs one write at a time; after a failure only a rewrite of the whole file may run. */
  #runWrite(work: () => Promise<void>, isRewrite = false): Promise<void> {
    return this.#turns.runExclusive(async () => {
      if (!this.#phase.is('healthy') && !(isRewrite && this.#phase.is('broken')))
        throw Failure.of('store', `${this.#name} is ${this.#phase.state}`);
      this.#writingSince = Instant.now();
      try {
        await work();
        if (this.#phase.is('broken')) this.#phase.transitionTo('healthy');
      } catch (cause) {
        if (this.#phase.is('healthy')) this.#phase.transitionTo('broken');
        throw Failure.of('store', `cannot write ${this.#name}`, {}, cause);
      } finally {
        this.#writingSince = undefined;
      }
    });
  }

  /** Renames a synced new file over the old one. After a failure it is unknown which of them has the name. */
  async #swapIn(next: FileHandle, path: string, length: number): Promise<void> {
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

  async #replaceConcurrently(make: () => Promise<readonly Uint8Array[]>, appended: Buffer[]): Promise<void> {
    const path = this.#pathOf(suffixes.replacement);
    let isReplaced = false;
    let next: FileHandle | undefined;
    try {
      const whole = encodeAll(await make());
      next = await writeNewFile(path, whole);
      const synced = next;
      await this.#turns.runExclusive(() => this.#finishReplacing(synced, whole.length, appended));
      isReplaced = true;
    } catch (cause) {
      throw Failure.of('store', `cannot replace the beginning of ${this.#name}`, {}, cause);
    } finally {
      if (this.#appendedSinceReplace === appended) this.#appendedSinceReplace = undefined;
      if (!isReplaced) await next?.close().catch(() => undefined);
      if (!isReplaced) await rm(path, { force: true }).catch(() => undefined);
    }
  }

  /** Copies the records appended in the meantime and swaps the new file in; no append runs at the same time. */
  async #finishReplacing(next: FileHandle, length: number, appended: readonly Buffer[]): Promise<void> {
    if (this.#appendedSinceReplace !== appended || !this.#phase.is('healthy'))
      throw Failure.of('store', `${this.#name} was rewritten in the meantime, or is ${this.#phase.state}`);
    this.#writingSince = Instant.now();
    try {
      const tail = Buffer.concat(appended);
      if (tail.length > 0) {
        await writeAll(next, tail, length);
        await next.sync();
      }
      await this.#swapIn(next, this.#pathOf(suffixes.replacement), length + tail.length).catch((cause) => {
        this.#phase.transitionTo('broken');
        throw cause;
      });
    } finally {
      this.#writingSince = undefined;
    }
  }
}

/** The bytes of a file, or none if it does not exist yet. */
const readAll = (path: string, name: string): Promise<Buffer> =>
  readFile(path).catch((cause: NodeJS.ErrnoException) => {
    if (cause.code === 'ENOENT') return Buffer.alloc(0);
    throw Failure.of('store', `cannot read ${name}`, {}, cause);
  });

/** Opens files. */
export const File = {
  /** Opens or creates a file and cuts off a torn record at its end; throws if an earlier record is damaged. */
  async open(folder: string, name: string): Promise<File> {
    await createFolder(folder);
    const path = join(folder, name);
    for (const suffix of Object.values(suffixes)) await rm(`${path}${suffix}`, { force: true });
    const bytes = await readAll(path, name);
    const records = Records.decode(bytes);
    const created = await open(path, 'a+');
    await created.close();
    const handle = await open(path, 'r+');
    if (records.length < bytes.length) await handle.truncate(records.length);
    await handle.sync();
    await syncFolder(folder);
    return new LogFile(folder, name, handle, records);
  },
};
