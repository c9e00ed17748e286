/**
 * Snapshots of the state: the file stays short however many changes are made, whatever a crash leaves reads back as the
 * same state, and no change waits for a snapshot or is lost when one fails.
 */
import assert from 'node:assert/strict';
import { cpSync, existsSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { after, afterEach, describe, it } from 'node:test';
import type { Id } from '../src/common/id.js';
import { Stamp } from '../src/common/stamp.js';
import type { Document } from '../src/manifest/document.js';
import { Records } from '../src/store/records.js';
import { Seal } from '../src/store/seal.js';
import { State } from '../src/store/state.js';
import { Store } from '../src/store/store.js';
import { DiskKit } from './disk-kit.js';

const scratch = mkdtempSync(join(tmpdir(), 'bramblebend-snapshots-'));
let folders = 0;
const makeFolder = () => join(scratch, String(folders++));

const replacement = 'state.log.replacement';
const ruleCount = 500;
/** More changes than one tail of such documents may hold. */
const changesBeyondTail = 160;

const rules = Array.from({ length: ruleCount }, (_none, index) => ({
  name: `rule-${index}`,
  match: { path: `/work-${index}/*` },
  groups: ['group'],
  runs: 'once',
}));
const documentOf = (revision: number, more: object = {}): Document =>
  ({
    zones: { 'z-1': { region: 'r' } },
    source: { format: 'one', number: revision, digest: `digest ${revision}`, packed: 'words '.repeat(50) },
    groups: {},
    homes: {},
    teams: {},
    rules: rules.map((rule, index) => (index === revision % ruleCount ? { ...rule, hops: 1 } : rule)),
    note: `note ${revision}`,
    ...more,
  }) as unknown as Document;

const manifestOf = (revision: number, more: object = {}): State.Change => {
  const answer = { key: `number ${revision}`, digest: `digest ${revision}` };
  const details = { by: 'operator', at: 'then', what: 'put', teams: [], answer };
  return { kind: 'manifest', stamp: Stamp.of(1, revision), document: documentOf(revision, more), ...details };
};

const nextRevision = (store: Store): number => store.state().stamp.revision + 1;

const applyChanges = async (store: Store, count: number): Promise<void> => {
  for (let index = 0; index < count; index += 1) await store.apply(manifestOf(nextRevision(store)));
};

const recordsOf = (folder: string) => Records.decode(readFileSync(join(folder, 'state.log'))).payloads;

const reopen = async (folder: string, seal?: Seal): Promise<State> => {
  const store = await Store.open(folder, seal);
  await store.close();
  return store.state();
};

/** Also compares the order of the documents' fields, as the digests of views are computed over their text. */
const assertSame = (found: State, expected: State): void => {
  assert.deepEqual(found, expected);
  const texts = (state: State) => state.manifests.map(({ document }) => JSON.stringify(document));
  assert.deepEqual(texts(found), texts(expected));
};

describe('snapshots of the state', () => {
  let disk: DiskKit | undefined;
  afterEach(() => {
    disk?.restore();
    disk = undefined;
  });
  after(() => rmSync(scratch, { recursive: true, force: true }));

  /** Opens a store in which one more change starts a snapshot. */
  const openAlmostDue = async (folder: string, seal?: Seal): Promise<Store> => {
    const store = await Store.open(folder, seal);
    const recordCount = () => recordsOf(folder).length;
    await applyChanges(store, 1);
    const trial = await Store.open(makeFolder(), seal);
    let count = 0;
    for (let isStarted = false; !isStarted; count += 1) {
      await trial.apply(manifestOf(nextRevision(trial)));
      isStarted = trial.isCompacting();
    }
    await trial.close();
    await applyChanges(store, count - 2);
    assert.equal(recordCount(), count - 1);
    assert.equal(store.isCompacting(), false);
    return store;
  };

  it('keeps the file short however many changes are made, and reads back the same state', async () => {
    const folder = makeFolder();
    const store = await Store.open(folder);
    let most = 0;
    for (let index = 0; index < 3 * changesBeyondTail; index += 1) {
      await applyChanges(store, 1);
      await store.compacted();
      most = Math.max(most, recordsOf(folder).length);
    }
    assert.ok(most < changesBeyondTail, `${most} records`);
    await store.close();
    assertSame(await reopen(folder), store.state());
    assert.equal(store.state().numbers.length, 3 * changesBeyondTail);
  });

  it('reads back every kind of manifest that it keeps', async () => {
    const folder = makeFolder();
    const earlier = await Store.open(makeFolder());
    await applyChanges(earlier, 10);
    const state = earlier.state();
    await earlier.close();
    const store = await Store.open(folder);
    await store.apply({ kind: 'whole', stamp: state.stamp, state });
    const details = { by: 'operator', at: 'then', what: 'evacuated' };
    const evacuate = (zones: readonly string[]) =>
      store.apply({
        kind: 'evacuations',
        stamp: Stamp.of(store.state().stamp.epoch, nextRevision(store)),
        zones: zones as Id.Zone[],
        ...details,
      });
    const view = {
      ...State.view(state),
      stamp: Stamp.of(1, 40),
      manifest: { ...Stamp.of(1, 40), document: documentOf(40, { evacuations: ['z-1'] }) },
    };
    await evacuate(['z-1']);
    await store.apply({ kind: 'settled', stamp: Stamp.of(2, 41), formed: Stamp.of(2, 0).epoch, view });
    const putLater = (more: object) => {
      const change = manifestOf(nextRevision(store), more) as Extract<State.Change, { kind: 'manifest' }>;
      return store.apply({ ...change, stamp: Stamp.of(2, nextRevision(store)) });
    };
    await putLater({ evacuations: ['z-1'] });
    await evacuate([]);
    await evacuate(['z-1']);
    while (!store.isCompacting())
      await evacuate(nextRevision(store) % 2 ? [] : ['z-1']).then(() => putLater({}));
    await store.compacted();
    assert.ok(recordsOf(folder).length < 60);
    await store.close();
    assertSame(await reopen(folder), store.state());
  });

  it('keeps every acknowledged change, at whatever step of a snapshot a crash comes', async () => {
    const folder = makeFolder();
    const store = await openAlmostDue(folder);
    const images: { readonly at: string; readonly path: string; readonly least: number }[] = [];
    disk = await DiskKit.watch(({ kind, path }) => {
      const image = makeFolder();
      cpSync(folder, image, { recursive: true });
      images.push({ at: `${kind} of ${path}`, path: image, least: store.state().stamp.revision });
    });
    await applyChanges(store, 1);
    assert.equal(store.isCompacting(), true);
    await applyChanges(store, 3);
    await store.compacted();
    await applyChanges(store, 2);
    disk.restore();
    const kinds = images.map(({ at }) => at);
    assert.ok(kinds.some((at) => at.startsWith('rename') && at.endsWith(replacement)));
    const last = store.state().stamp.revision;
    await store.close();
    for (const { at, path, least } of images) {
      const { revision } = (await reopen(path)).stamp;
      assert.ok(revision >= least && revision <= last, `before ${at}: ${revision}, acknowledged ${least}`);
      assert.equal(existsSync(join(path, replacement)), false);
    }
    assertSame(await reopen(folder), store.state());
  });

  it('syncs a snapshot with its tail before the rename, and the folder after it', async () => {
    const folder = makeFolder();
    const store = await openAlmostDue(folder);
    const steps: string[] = [];
    disk = await DiskKit.watch(({ kind, path }) => {
      if (path === folder) steps.push(`${kind} folder`);
      else if (path.endsWith(replacement)) steps.push(kind);
    });
    await applyChanges(store, 1);
    await applyChanges(store, 1);
    await store.compacted();
    await store.close();
    const renamed = steps.indexOf('rename');
    assert.deepEqual(steps.slice(0, 2), ['write', 'sync']);
    assert.equal(steps[renamed - 1], 'sync');
    assert.equal(steps[renamed + 1], 'sync folder');
  });

  it('applies changes while the sync of a snapshot is delayed', async () => {
    const folder = makeFolder();
    const store = await openAlmostDue(folder);
    let release = () => {};
    const held = new Promise<void>((resolve) => {
      release = resolve;
    });
    let isHeld = false;
    disk = await DiskKit.watch(async ({ kind, path }) => {
      if (kind !== 'sync' || !path.endsWith(replacement) || isHeld) return;
      isHeld = true;
      await held;
    });
    await applyChanges(store, 12);
    assert.equal(store.isCompacting(), true);
    assert.equal(store.isHealthy(), true);
    release();
    await store.compacted();
    assert.equal(isHeld, true);
    await store.close();
    assert.ok(recordsOf(folder).length < 60);
    assertSame(await reopen(folder), store.state());
  });

  it('keeps using its file when the disk is too full for a snapshot, and writes one later', async () => {
    const folder = makeFolder();
    const store = await openAlmostDue(folder);
    let failures = 0;
    disk = await DiskKit.watch(({ kind, path }) => {
      if (kind !== 'write' || !path.endsWith(replacement)) return;
      failures += 1;
      throw new Error('ENOSPC: planted');
    });
    await applyChanges(store, 1);
    await store.compacted();
    assert.equal(failures, 1);
    assert.equal(existsSync(join(folder, replacement)), false);
    await applyChanges(store, 5);
    assert.deepEqual([failures, store.isHealthy()], [1, true]);
    assertSame(await reopenCopy(folder), store.state());
    disk.restore();
    while (!store.isCompacting()) await applyChanges(store, 1);
    await store.compacted();
    await store.close();
    assert.ok(recordsOf(folder).length < 60);
    assertSame(await reopen(folder), store.state());
  });

  it('is unhealthy after a failed rename of a snapshot, until it recovers', async () => {
    const folder = makeFolder();
    const store = await openAlmostDue(folder);
    disk = await DiskKit.watch(({ kind, path }) => {
      if (kind === 'rename' && path.endsWith(replacement)) throw new Error('EIO: planted');
    });
    await applyChanges(store, 1);
    await store.compacted();
    assert.equal(store.isHealthy(), false);
    await store.recover();
    assert.equal(store.isHealthy(), true);
    await applyChanges(store, 3);
    await store.close();
    assertSame(await reopen(folder), store.state());
  });

  it('abandons a snapshot when a whole state arrives in the meantime', async () => {
    const folder = makeFolder();
    const store = await openAlmostDue(folder);
    const other = await Store.open(makeFolder());
    await applyChanges(other, 7);
    await applyChanges(store, 1);
    assert.equal(store.isCompacting(), true);
    const stamp = Stamp.of(9, 999);
    await store.apply({ kind: 'whole', stamp, state: { ...other.state(), stamp } });
    await store.compacted();
    await other.close();
    await store.close();
    assert.equal(recordsOf(folder).length, 1);
    assertSame(await reopen(folder), store.state());
  });

  it('seals every part of a snapshot with a key file', async () => {
    const folder = makeFolder();
    const seal = Seal.of(Buffer.alloc(32, 9));
    const store = await Store.open(folder, seal);
    const secret = '5ec2e7'.repeat(10);
    const walls = { generation: 1, secret };
    while (!store.isCompacting())
      await store.apply(manifestOf(nextRevision(store), { walls, note: 'readable' }));
    await store.compacted();
    await store.close();
    const bytes = readFileSync(join(folder, 'state.log'));
    assert.deepEqual([bytes.includes(secret), bytes.includes('readable')], [false, false]);
    assert.ok(recordsOf(folder).every((payload) => payload[0] === 1));
    assertSame(await reopen(folder, seal), store.state());
    await assert.rejects(Store.open(folder), /sealed/);
  });

  it('does not open a snapshot with a missing part or index record', async () => {
    const folder = makeFolder();
    const store = await Store.open(folder);
    while (!store.isCompacting()) await applyChanges(store, 1);
    await store.compacted();
    await store.close();
    const payloads = recordsOf(folder);
    const indexRecord = payloads.length - 1;
    const without = async (index: number) => {
      const damaged = makeFolder();
      await (await Store.open(damaged)).close();
      const left = payloads.filter((_payload, at) => at !== index).map((payload) => Records.encode(payload));
      writeFileSync(join(damaged, 'state.log'), Buffer.concat(left));
      return Store.open(damaged);
    };
    await assert.rejects(without(indexRecord), { message: /^damaged snapshot/ });
    await assert.rejects(without(indexRecord - 1), { message: /^damaged snapshot/ });
  });

  /** The state that a crash at this moment would leave. */
  const reopenCopy = async (folder: string): Promise<State> => {
    const copy = makeFolder();
    cpSync(folder, copy, { recursive: true });
    return reopen(copy);
  };
});
