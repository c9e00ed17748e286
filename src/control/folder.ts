// The data folder of a core: the register and the state. When either file is damaged neither can be
// trusted: both are set aside under a new name and the core begins blank, under a new disk name.
import { mkdir, rename } from 'node:fs/promises';
import { join } from 'node:path';
import { Register } from '../epoch/register.js';
import { Mishap } from '../kinds/mishap.js';
import { File } from '../store/file.js';
import { Store } from '../store/store.js';

export type Folder = { readonly register: Register; readonly store: Store };

const open = async (folder: string): Promise<Folder> => {
  const register = await Register.open(await File.open(folder, 'register.log'));
  const store = await Store.open(folder);
  return { register, store };
};

export const Folder = {
  async open(folder: string, alert: (text: string, facts: Record<string, unknown>) => void): Promise<Folder> {
    try {
      return await open(folder);
    } catch (error) {
      if (!Mishap.text(error).startsWith('damaged')) throw error;
      const aside = join(folder, `damaged-${Date.now()}`);
      alert('the data folder is damaged and set aside', { aside, why: Mishap.text(error) });
      await mkdir(aside, { recursive: true });
      for (const name of ['register.log', 'state.log'])
        await rename(join(folder, name), join(aside, name)).catch(() => undefined);
      return open(folder);
    }
  },
};
