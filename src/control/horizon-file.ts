/**
 * The file of a core that keeps its copy of the usage horizon. A damaged file is moved aside, and the core counts as one that has
 * lost its copy until the holder of the quota duty has told it anew.
 */
import { rename } from 'node:fs/promises';
import { join } from 'node:path';
import { Failure } from '../common/failure.js';
import { Id } from '../common/id.js';
import { Stamp } from '../common/stamp.js';
import { File } from '../store/file.js';
import { Frame } from '../wire/frame.js';

/** The opened file. */
export type HorizonFile = {
  /** The horizon that was saved last. */
  readonly saved: Frame.Horizon | undefined;
  /** Resolves once the horizon is on the disk. */
  readonly save: (write: Frame.Horizon) => Promise<void>;
  readonly close: () => Promise<void>;
};

const fileName = 'horizon.log';
/** Length from which the file is written anew, in bytes. */
const maxFileBytes = 256 * 1024;
const lengthPrefixBytes = 4;

const decode = (payload: Uint8Array | undefined): Frame.Horizon | undefined => {
  const frame = payload && Frame.decode(payload);
  return frame?.kind === 'horizon' ? frame : undefined;
};

const openFile = async (folder: string, alert: (text: string, facts: Record<string, unknown>) => void) => {
  try {
    return await File.open(folder, fileName);
  } catch (error) {
    if (!Failure.text(error).startsWith('damaged')) throw error;
    const aside = `${fileName}-damaged-${Id.boot()}`;
    alert('the copy of the usage horizon is damaged and was moved aside', { aside });
    await rename(join(folder, fileName), join(folder, aside));
    return File.open(folder, fileName);
  }
};

/** Opens the file. */
export const HorizonFile = {
  name: fileName,
  async open(
    folder: string,
    alert: (text: string, facts: Record<string, unknown>) => void,
  ): Promise<HorizonFile> {
    const file = await openFile(folder, alert);
    return {
      saved: decode(file.payloads.at(-1)),
      async save(write) {
        const payload = Frame.encode(Stamp.none, write).subarray(lengthPrefixBytes);
        if (file.length() > maxFileBytes || file.isBroken()) await file.rewrite([payload]);
        else await file.append(payload);
      },
      close: file.close,
    };
  },
};
