/**
 * The data folder of a core: the register and the state. When either file is damaged neither can be trusted: both are
 * moved aside and the core starts blank, with a new disk name. The same happens at the first start after the core
 * learned that its slot was given to another disk, since no core relies on its data then.
 */

import { existsSync } from 'node:fs';
import { mkdir, open as openFile, rename, rm } from 'node:fs/promises';
import { join } from 'node:path';
import { Failure } from '../common/failure.js';
import { Register } from '../epoch/register.js';
import { File } from '../store/file.js';
import type { Seal } from '../store/seal.js';
import { Store } from '../store/store.js';
import { HorizonFile } from './horizon-file.js';

/** The opened register, store and copy of the usage horizon of a core. */
export type DataFolder = {
  readonly register: Register;
  readonly store: Store;
  readonly horizon: HorizonFile;
};

/** The file that marks the folder of a core whose slot was given to another disk. */
const retiredMarker = 'retired';

/** Moves both files into a new subfolder and returns its path. */
const moveAside = async (folder: string, why: string): Promise<string> => {
  const aside = join(folder, `${why}-${Date.now()}`);
  await mkdir(aside, { recursive: true });
  for (const name of ['register.log', 'state.log', HorizonFile.name])
    await rename(join(folder, name), join(aside, name)).catch(() => undefined);
  return aside;
};

type Alert = (text: string, facts: Record<string, unknown>) => void;

const open = async (folder: string, alert: Alert, seal: Seal | undefined): Promise<DataFolder> => {
  const register = await Register.open(await File.open(folder, 'register.log'));
  const store = await Store.open(folder, seal, alert);
  register.raiseFloor(store.state().stamp.epoch);
  return { register, store, horizon: await HorizonFile.open(folder, alert) };
};

/** Opens and retires the data folder. */
export const DataFolder = {
  /** Marks the folder, so that the next start moves its files aside. */
  async markRetired(folder: string): Promise<void> {
    const handle = await openFile(join(folder, retiredMarker), 'w');
    await handle.sync();
    await handle.close();
  },
  /** Opens the folder, after moving aside files that are retired or damaged. */
  async open(folder: string, alert: Alert, seal?: Seal): Promise<DataFolder> {
    if (existsSync(join(folder, retiredMarker))) {
      alert('this core was retired; starting blank as a spare', {
        aside: await moveAside(folder, retiredMarker),
      });
      await rm(join(folder, retiredMarker));
    }
    try {
      return await open(folder, alert, seal);
    } catch (error) {
      if (!Failure.text(error).startsWith('damaged')) throw error;
      const aside = await moveAside(folder, 'damaged');
      alert('data folder damaged; its files were moved aside', { aside, why: Failure.text(error) });
      return open(folder, alert, seal);
    }
  },
};
