/**
 * Folders of the fleets that tests start. Where the environment names a folder for logs, those of a fleet outlive its test,
 * also of one that hangs, so that a failure seen once can be traced.
 */
import { mkdirSync, mkdtempSync, readdirSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { basename, join } from 'node:path';

/** The variable that names the folder for logs. */
const variable = 'BRAMBLEBEND_TEST_LOGS';

const parentOf = (logs: string, testFile: string): string => join(logs, basename(testFile));

/** Makes and removes folders of fleets, and finds the logs that were left. */
export const FleetFolder = {
  variable,
  make(): string {
    const logs = process.env[variable];
    const parent = logs === undefined ? tmpdir() : parentOf(logs, process.argv[1] ?? 'fleet');
    mkdirSync(parent, { recursive: true });
    return mkdtempSync(join(parent, 'bramblebend-test-'));
  },
  /** Removes what a fleet left: all of it, or all but logs where those are kept. */
  remove(folder: string): void {
    if (process.env[variable] === undefined) {
      rmSync(folder, { recursive: true, force: true });
      return;
    }
    for (const name of readdirSync(folder))
      if (!name.endsWith('.log')) rmSync(join(folder, name), { recursive: true, force: true });
  },
  /** The logs that the fleets of a test file left. */
  logsOf(logs: string, testFile: string): readonly string[] {
    const parent = parentOf(logs, testFile);
    try {
      return readdirSync(parent, { recursive: true, encoding: 'utf8' })
        .filter((name) => name.endsWith('.log'))
        .map((name) => join(parent, name))
        .sort();
    } catch {
      return [];
    }
  },
};
