/**
 * The files in the data folder: everything that was synced is read back, a torn record at the end is cut off, and damage
 * anywhere before it makes the whole folder untrusted instead of partly read.
 */
import assert from 'node:assert/strict';
import { mkdtempSync, readdirSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { open as openFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { after, describe, it } from 'node:test';
import type { Id } from '../src/common/id.js';
import { Stamp } from '../src/common/stamp.js';
import { DataFolder } from '../src/control/data-folder.js';
import { File } from '../src/store/file.js';
import { Seal } from '../src/store/seal.js';
import { State } from '../src/store/state.js';
import { Store } from '../src/store/store.js';

const folders: string[] = [];
const makeFolder = () => {
  const folder = mkdtempSync(join(tmpdir(), 'bramblebend-store-'));
  folders.push(folder);
  return folder;
};
const writeRecords = async (folder: string, count: number) => {
  const file = await File.open(folder, 'one.log');
  for (let index = 0; index < count; index += 1) await file.append(Buffer.from(`payload ${index}`));
  await file.close();
  return readFileSync(join(folder, 'one.log'));
};
const readTexts = async (folder: string) => {
  const file = await File.open(folder, 'one.log');
  const texts = file.payloads.map((payload) => payload.toString('utf8'));
  await file.close();
  return texts;
};

/** Makes every datasync of this process fail while the work runs. */
const withFailingSyncs = async (work: () => Promise<void>): Promise<void> => {
  const handle = await openFile(makeFolder(), 'r');
  const methods = Object.getPrototypeOf(handle) as { datasync: () => Promise<void> };
  await handle.close();
  const { datasync } = methods;
  methods.datasync = () => Promise.reject(new Error('EIO: planted'));
  try {
    await work();
  } finally {
    methods.datasync = datasync;
  }
};

describe('store', () => {
  after(() => {
    for (const folder of folders) rmSync(folder, { recursive: true, force: true });
  });

  it('cuts a file torn at any length back to whole records, and appends to it', async () => {
    const whole = await writeRecords(makeFolder(), 3);
    for (let length = 0; length < whole.length; length += 1) {
      const folder = makeFolder();
      writeFileSync(join(folder, 'one.log'), whole.subarray(0, length));
      const kept = await readTexts(folder);
      assert.deepEqual(kept, ['payload 0', 'payload 1', 'payload 2'].slice(0, kept.length));
      assert.ok(kept.length < 3);
      const file = await File.open(folder, 'one.log');
      await file.append(Buffer.from('after'));
      await file.close();
      assert.deepEqual(await readTexts(folder), [...kept, 'after']);
    }
  });

  it('does not open a file that is damaged before its last record', async () => {
    const whole = await writeRecords(makeFolder(), 3);
    const lastRecord = Math.floor((whole.length / 3) * 2);
    for (let place = 0; place < lastRecord; place += 1) {
      const folder = makeFolder();
      const damaged = Buffer.from(whole);
      damaged[place]! ^= 0x40;
      writeFileSync(join(folder, 'one.log'), damaged);
      await assert.rejects(File.open(folder, 'one.log'), /damaged/, `a flipped bit at ${place}`);
    }
  });

  it('cuts off a last record of which only some bytes were written, also in its header', async () => {
    const whole = await writeRecords(makeFolder(), 3);
    const last = Math.floor((whole.length / 3) * 2);
    for (let from = last; from < whole.length; from += 1)
      for (let until = from + 1; until <= whole.length; until += 5) {
        const folder = makeFolder();
        const torn = Buffer.from(whole);
        torn.fill(0, from, until);
        writeFileSync(join(folder, 'one.log'), torn);
        const kept = await readTexts(folder);
        assert.deepEqual(kept.slice(0, 2), ['payload 0', 'payload 1'], `bytes ${from} to ${until} missing`);
        assert.ok(kept.length === 2 || torn.equals(whole));
      }
  });

  it('replaces the content by a rewrite, and keeps it', async () => {
    const folder = makeFolder();
    await writeRecords(folder, 50);
    const file = await File.open(folder, 'one.log');
    await file.rewrite([Buffer.from('all of it')]);
    await file.append(Buffer.from('and more'));
    await file.close();
    assert.deepEqual(await readTexts(folder), ['all of it', 'and more']);
  });

  it('keeps the source of the newest two manifests, and fewer manifests when they are long', async () => {
    const folder = makeFolder();
    const store = await Store.open(folder);
    const put = (revision: number, note: string) => {
      const source = { format: 'one', number: revision, digest: `digest ${revision}`, packed: 'words' };
      const document = { zones: {}, groups: {}, homes: {}, teams: {}, rules: [], note, source };
      const answer = { key: `number ${revision}`, digest: source.digest };
      const stamp = Stamp.of(1, revision);
      return store.apply({ kind: 'manifest', stamp, document, by: '', at: '', what: '', teams: [], answer });
    };
    for (let revision = 1; revision <= 5; revision += 1) await put(revision, 'short');
    const numbers = () => store.state().manifests.map((one) => one.document.source?.number);
    assert.deepEqual(numbers(), [undefined, undefined, undefined, 4, 5]);
    const zones = ['z-1'] as Id.Zone[];
    await store.apply({ kind: 'evacuations', stamp: Stamp.of(1, 6), zones, by: '', at: '', what: '' });
    assert.deepEqual(numbers(), [undefined, undefined, undefined, undefined, 5, 5]);
    assert.deepEqual(State.newest(store.state())?.document.evacuations, zones);
    for (let revision = 7; revision <= 11; revision += 1) await put(revision, 'x'.repeat(900_000));
    assert.deepEqual(numbers(), [undefined, undefined, 10, 11]);
    assert.equal(store.state().numbers.length, 10);
    const held = store.state();
    await store.close();
    const again = await Store.open(folder);
    assert.deepEqual(again.state(), held);
    await again.close();
    assert.ok(readFileSync(join(folder, 'state.log')).length < 100_000);
  });

  it('sets a damaged data folder aside and starts blank under a new disk id', async () => {
    const folder = makeFolder();
    const first = await DataFolder.open(folder, () => {});
    for (let revision = 1; revision <= 3; revision += 1)
      await first.store.apply({ kind: 'opened', stamp: Stamp.of(1, revision) });
    await first.store.close();
    const again = await DataFolder.open(folder, () => {});
    assert.equal(again.register.disk, first.register.disk);
    assert.deepEqual(again.store.state().stamp, Stamp.of(1, 3));
    await again.store.close();
    const path = join(folder, 'state.log');
    const bytes = readFileSync(path);
    bytes[15]! ^= 1;
    writeFileSync(path, bytes);
    const alerts: string[] = [];
    const blank = await DataFolder.open(folder, (text) => alerts.push(text));
    assert.notEqual(blank.register.disk, first.register.disk);
    assert.equal(blank.register.isBlank(), true);
    assert.deepEqual(blank.store.state().stamp, Stamp.none);
    assert.equal(alerts.length, 1);
    await blank.store.close();
  });

  it('writes no secret in plaintext with a key file, also when it recovers after a failed write', async () => {
    const folder = makeFolder();
    const seal = Seal.of(Buffer.alloc(32, 7));
    const store = await Store.open(folder, seal);
    const secret = '5ec2e7'.repeat(10);
    const put = (revision: number) => {
      const walls = { generation: 1, secret };
      const document = {
        zones: {},
        groups: {},
        homes: {},
        teams: {},
        rules: [],
        walls,
        note: `secret ${secret}`,
      };
      const stamp = Stamp.of(1, revision);
      return store.apply({ kind: 'manifest', stamp, document, by: '', at: '', what: '', teams: [] });
    };
    await put(1);
    await withFailingSyncs(() => assert.rejects(put(2)));
    assert.equal(store.isHealthy(), false);
    await store.recover();
    assert.equal(store.isHealthy(), true);
    const holdsSecret = (name: string) => readFileSync(join(folder, name)).includes(secret);
    assert.deepEqual(readdirSync(folder).filter(holdsSecret), []);
    await put(2);
    assert.deepEqual(readdirSync(folder).filter(holdsSecret), []);
    const held = store.state();
    await store.close();
    const again = await Store.open(folder, seal);
    assert.deepEqual(again.state(), held);
    await again.close();
  });

  it('seals a plaintext file when it is opened with a key file', async () => {
    const folder = makeFolder();
    const marker = 'in plain '.repeat(4);
    const plain = await Store.open(folder);
    const document = { zones: {}, groups: {}, homes: {}, teams: {}, rules: [], note: marker };
    const stamp = Stamp.of(1, 1);
    await plain.apply({ kind: 'manifest', stamp, document, by: '', at: '', what: '', teams: [] });
    await plain.close();
    const isPlaintext = () => readFileSync(join(folder, 'state.log')).includes(marker);
    assert.equal(isPlaintext(), true);
    const store = await Store.open(folder, Seal.of(Buffer.alloc(32, 7)));
    assert.equal(isPlaintext(), false);
    assert.deepEqual(store.state(), plain.state());
    await store.close();
  });
});
