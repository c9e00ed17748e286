// The data folder of a core: the register and the state. When either file is damaged neither can be
// trusted: both are set aside under a new name and the core begins blank, under a new disk name. So it does
// at the start after it learned that its slot was given to another disk, for then nobody counts on what it
// remembers.
import { existsSync } from 'node:fs';
import { mkdir, open as openFile, rename, rm } from 'node:fs/promises';
import { join } from 'node:path';
import { Failure } from '../common/failure.js';
import { Register } from '../epoch/register.js';
import { File } from '../store/file.js';
import type { Seal } from '../store/seal.js';
import { Store } from '../store/store.js';

export type DataFolder = { readonly register: Register; readonly store: Store };

const retired = 'retired';

const setAside = async (folder: string, why: string): Promise<string> => {
  const aside = join(folder, `${why}-${Date.now()}`);
  await mkdir(aside, { recursive: true });
  for (const name of ['register.log', 'state.log'])
    await rename(join(folder, name), join(aside, name)).catch(() => undefined);
  return aside;
};

type Alert = (text: string, facts: Record<string, unknown>) => void;

const open = async (folder: string, alert: Alert, seal: Seal | undefined): Promise<DataFolder> => {
  const register = await Register.open(await File.open(folder, 'register.log'));
  const store = await Store.open(folder, seal, alert);
  register.raise(store.state().stamp.epoch);
  return { register, store };
};

export const DataFolder = {
  async markRetired(folder: string): Promise<void> {
    const handle = await openFile(join(folder, retired), 'w');
    await handle.sync();
    await handle.close();
  },
  async open(folder: string, alert: Alert, seal?: Seal): Promise<DataFolder> {
    if (existsSync(join(folder, retired))) {
      alert('this core was retired; it begins anew as a spare', { aside: await setAside(folder, retired) });
      await rm(join(folder, retired));
    }
    try {
      return await open(folder, alert, seal);
    } catch (error) {
      if (!Failure.text(error).startsWith('damaged')) throw error;
      const aside = await setAside(folder, 'damaged');
      alert('the data folder is damaged and set aside', { aside, why: Failure.text(error) });
      return open(folder, alert, seal);
    }
  },
};
