/**
 * Observes and disturbs the file operations of this process, one step at a time and without another program: a callback
 * runs before each write, sync, truncation, rename and removal, and may delay it or make it fail.
 */

import promises, { type FileHandle } from 'node:fs/promises';
import { syncBuiltinESMExports } from 'node:module';

/** A running observation of file operations. */
export type DiskKit = {
  /** Restores the original functions. */
  readonly restore: () => void;
};

export declare namespace DiskKit {
  type Step = {
    readonly kind: 'write' | 'sync' | 'datasync' | 'truncate' | 'rename' | 'rm';
    /** The path of the open file, or the path that is renamed or removed. */
    readonly path: string;
  };
  /** Called before each step; the step fails if it throws. */
  type Before = (step: Step) => Promise<void> | void;
}

const handleMethods = ['write', 'sync', 'datasync', 'truncate'] as const;
const pathFunctions = ['rename', 'rm'] as const;

type AsyncFunction = (...values: unknown[]) => Promise<unknown>;

/** Starts observations. */
export const DiskKit = {
  async watch(before: DiskKit.Before): Promise<DiskKit> {
    const functions = promises as unknown as Record<string, AsyncFunction>;
    const probe = await promises.open('.', 'r');
    const methods = Object.getPrototypeOf(probe) as Record<string, AsyncFunction>;
    await probe.close();
    const paths = new WeakMap<object, string>();
    const originalFunctions = {
      open: functions.open!,
      ...Object.fromEntries(pathFunctions.map((name) => [name, functions[name]!])),
    } as Record<string, AsyncFunction>;
    const originalMethods = Object.fromEntries(handleMethods.map((name) => [name, methods[name]!]));
    functions.open = async (...values) => {
      const handle = (await originalFunctions.open!(...values)) as FileHandle;
      paths.set(handle, String(values[0]));
      return handle;
    };
    for (const kind of pathFunctions)
      functions[kind] = async (...values) => {
        await before({ kind, path: String(values[0]) });
        return originalFunctions[kind]!(...values);
      };
    for (const kind of handleMethods)
      methods[kind] = async function (this: object, ...values: unknown[]) {
        await before({ kind, path: paths.get(this) ?? '' });
        return originalMethods[kind]!.apply(this, values);
      };
    syncBuiltinESMExports();
    return {
      restore() {
        Object.assign(promises, originalFunctions);
        Object.assign(methods, originalMethods);
        syncBuiltinESMExports();
      },
    };
  },
};
