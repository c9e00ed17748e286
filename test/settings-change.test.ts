/**
 * A settings file that changes without a signal: new content is used soon afterwards, however it was written, and invalid
 * content changes nothing.
 */
import assert from 'node:assert/strict';
import { readFileSync, renameSync, statSync, utimesSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { after, before, describe, it } from 'node:test';
import { parse, stringify } from 'yaml';
import { ListServer } from './list-server.js';
import { PlatformKit } from './platform-kit.js';

describe('a settings file that changes without a signal', { timeout: 60_000 }, () => {
  let kit: PlatformKit;
  const lists: ListServer[] = [];

  const fileOf = (core: PlatformKit.Core) => join(kit.folder, `${core.node}.yaml`);
  const pointAt = (list: ListServer, write: (file: string, text: string) => void) => {
    for (const core of kit.cores) {
      const settings = parse(readFileSync(fileOf(core), 'utf8'));
      settings['platform-api'].address = list.address;
      write(fileOf(core), stringify(settings));
    }
  };
  const startList = async () => {
    const list = await ListServer.start();
    list.instances = [ListServer.instance('i-1', 'sto-a')];
    lists.push(list);
    return list;
  };

  before(async () => {
    kit = await PlatformKit.start();
    kit.list.instances = [ListServer.instance('i-1', 'sto-a')];
    await kit.list.polls(1);
  });
  after(async () => {
    await kit.stop();
    await Promise.all(lists.map((list) => list.stop()));
  });

  it('is reloaded when it is overwritten', async () => {
    const list = await startList();
    pointAt(list, writeFileSync);
    await list.polls(2);
  });

  it('is reloaded when a file with the same timestamps replaces it', async () => {
    const list = await startList();
    pointAt(list, (file, text) => {
      const { atime, mtime } = statSync(file);
      writeFileSync(`${file}.new`, text);
      utimesSync(`${file}.new`, atime, mtime);
      renameSync(`${file}.new`, file);
    });
    await list.polls(2);
  });

  it('is ignored while it is invalid, and reloaded once it is valid', async () => {
    const currentList = lists.at(-1)!;
    const validTexts = new Map(kit.cores.map((core) => [core, readFileSync(fileOf(core), 'utf8')]));
    for (const core of kit.cores) writeFileSync(fileOf(core), 'node-name: [');
    await Promise.all(
      kit.cores.map((core) =>
        PlatformKit.waitUntil(async () => {
          const log = await kit.call(core, 'GET', '/log');
          return log.text.includes('the settings file cannot be used') ? true : undefined;
        }, `${core.node} logs the invalid file`),
      ),
    );
    await currentList.polls(2);
    assert.ok(kit.cores.every((core) => core.process?.isUp()));
    for (const [core, text] of validTexts) writeFileSync(fileOf(core), text);
    const list = await startList();
    pointAt(list, writeFileSync);
    await list.polls(1);
  });
});
