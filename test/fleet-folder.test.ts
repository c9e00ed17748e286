// Folders of fleets: all of it goes with the test, or all but the logs where those are asked for.
import assert from 'node:assert/strict';
import { existsSync, mkdirSync, mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { basename, join } from 'node:path';
import { afterEach, beforeEach, describe, it } from 'node:test';
import { FleetFolder } from '../tools/fleet-folder.js';

const { variable } = FleetFolder;

describe('the folder of a fleet', () => {
  const before = process.env[variable];
  let logs: string;
  const fill = (): string => {
    const folder = FleetFolder.make();
    mkdirSync(join(folder, 'core-1'));
    writeFileSync(join(folder, 'core-1', 'state'), 'state');
    writeFileSync(join(folder, 'core-1.log'), 'what it did');
    writeFileSync(join(folder, 'core-1.json'), '{}');
    return folder;
  };
  beforeEach(() => {
    logs = mkdtempSync(join(tmpdir(), 'bramblebend-fleet-folder-'));
  });
  afterEach(() => {
    rmSync(logs, { recursive: true, force: true });
    if (before === undefined) delete process.env[variable];
    else process.env[variable] = before;
  });

  it('goes whole where nobody asks for logs', () => {
    delete process.env[variable];
    const folder = fill();
    FleetFolder.remove(folder);
    assert.equal(existsSync(folder), false);
  });
  it('leaves its logs where they are asked for, by the test file', () => {
    process.env[variable] = logs;
    const folders = [fill(), fill()];
    FleetFolder.remove(folders[0]!);
    const names = folders.map((folder) => join(folder, 'core-1.log')).sort();
    assert.deepEqual(FleetFolder.logsOf(logs, process.argv[1]!), names);
    assert.equal(existsSync(join(folders[0]!, 'core-1')), false);
    assert.equal(existsSync(join(folders[0]!, 'core-1.json')), false);
    assert.deepEqual(FleetFolder.logsOf(logs, `another-${basename(process.argv[1]!)}`), []);
  });
});
