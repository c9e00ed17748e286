// One append-only file under the data folder. An append is done when it is synced; a whole rewrite
// goes to a new file that is synced, renamed over the old one and made lasting by syncing the folder.
// After a failed write nothing more is appended, for what is on the disk is unknown: only a whole rewrite
// makes the file sound again. A file whose write has been under way for a second is not sound until it is done.
import { type FileHandle, mkdir, open, readFile, rename, rm } from 'node:fs/promises';
import { join } from 'node:path';
import { Failure } from '../kinds/failure.js';
import { Moment } from '../kinds/moment.js';
import { Phase } from '../kinds/phase.js';
import { Turns } from '../kinds/turns.js';
import { Records } from './records.js';

export type File = {
  readonly payloads: readonly Buffer[];
  readonly append: (payload: Uint8Array) => Promise<void>;
  readonly rewrite: (payloads: readonly Uint8Array[]) => Promise<void>;
  readonly length: () => number;
  readonly isSound: () => boolean;
  readonly isBroken: () => boolean;
  readonly close: () => Promise<void>;
};

const stalledAfter = 1000;

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

export const File = {
  async open(folder: string, name: string): Promise<File> {
    await openFolder(folder);
    const path = join(folder, name);
    const fresh = join(folder, `${name}.new`);
    await rm(fresh, { force: true });
    const bytes = await readFile(path).catch((cause: NodeJS.ErrnoException) => {
      if (cause.code === 'ENOENT') return Buffer.alloc(0);
      throw Failure.of('store', `cannot read ${name}`, {}, cause);
    });
    const found = Records.decode(bytes);
    let handle = await open(path, 'a+').then(async (made) => {
      await made.close();
      return open(path, 'r+');
    });
    if (found.length < bytes.length) await handle.truncate(found.length);
    await handle.sync();
    await syncFolder(folder);
    let length = found.length;
    let busySince: Moment | undefined;
    const phase = Phase.of('sound', { sound: ['broken', 'shut'], broken: ['sound', 'shut'], shut: [] });
    const turns = Turns.of();
    const guarded = (work: () => Promise<void>, isWhole = false) =>
      turns.take(async () => {
        if (!phase.is('sound') && !(isWhole && phase.is('broken')))
          throw Failure.of('store', `${name} is ${phase.state}`);
        busySince = Moment.now();
        try {
          await work();
          if (phase.is('broken')) phase.become('sound');
        } catch (cause) {
          if (phase.is('sound')) phase.become('broken');
          throw Failure.of('store', `cannot write ${name}`, {}, cause);
        } finally {
          busySince = undefined;
        }
      });
    return {
      payloads: found.payloads,
      length: () => length,
      isSound: () => phase.is('sound') && (busySince === undefined || Moment.since(busySince) < stalledAfter),
      isBroken: () => phase.is('broken'),
      append: (payload) =>
        guarded(async () => {
          const record = Records.encode(payload);
          await writeAll(handle, record, length);
          await handle.datasync();
          length += record.length;
        }),
      rewrite: (payloads) =>
        guarded(async () => {
          const whole = Buffer.concat(payloads.map((payload) => Records.encode(payload)));
          const next = await open(fresh, 'w+');
          await writeAll(next, whole, 0);
          await next.sync();
          await rename(fresh, path);
          await syncFolder(folder);
          const old = handle;
          handle = next;
          length = whole.length;
          await old.close().catch(() => undefined);
        }, true),
      close: () =>
        turns.take(async () => {
          if (phase.is('shut')) return;
          phase.become('shut');
          await handle.close();
        }),
    };
  },
};
