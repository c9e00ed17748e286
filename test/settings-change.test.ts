// A settings file that changes without a signal: what it says now is in use soon after, however it was written, and
// one that cannot be used changes nothing.
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
  const newList = async () => {
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

  it('is noticed when it is written over', async () => {
    const list = await newList();
    pointAt(list, writeFileSync);
    await list.polls(2);
  });

  it('is noticed when another file takes its place, with the dates of the one before', async () => {
    const list = await newList();
    pointAt(list, (file, text) => {
      const { atime, mtime } = statSync(file);
      writeFileSync(`${file}.new`, text);
      utimesSync(`${file}.new`, atime, mtime);
      renameSync(`${file}.new`, file);
    });
    await list.polls(2);
  });

  it('changes nothing when it cannot be used, and is used once it can', async () => {
    const before = lists.at(-1)!;
    const kept = new Map(kit.cores.map((core) => [core, readFileSync(fileOf(core), 'utf8')]));
    for (const core of kit.cores) writeFileSync(fileOf(core), 'node-name: [');
    await Promise.all(
      kit.cores.map((core) =>
        PlatformKit.waitUntil(async () => {
          const log = await kit.call(core, 'GET', '/log');
          return log.text.includes('the settings file cannot be used') ? true : undefined;
        }, `${core.node} says so`),
      ),
    );
    await before.polls(2);
    assert.ok(kit.cores.every((core) => core.process?.isUp()));
    for (const [core, text] of kept) writeFileSync(fileOf(core), text);
    const list = await newList();
    pointAt(list, writeFileSync);
    await list.polls(1);
  });
});
