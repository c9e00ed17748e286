/**
 * Orders that are sent again: one that was taken is never refused. It is acknowledged, or its outcome is reported as
 * unknown where the record of orders may have a gap. An order that lost a race against another one is still refused.
 */
import assert from 'node:assert/strict';
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { after, describe, it } from 'node:test';
import { Epoch } from '../src/common/epoch.js';
import { Failure } from '../src/common/failure.js';
import { Revision } from '../src/common/revision.js';
import { Stamp } from '../src/common/stamp.js';
import { PutManifest } from '../src/control/commands/put-manifest.js';
import { PutNumbered } from '../src/control/commands/put-numbered.js';
import { Rollback } from '../src/control/commands/rollback.js';
import type { PrimaryGateway } from '../src/control/primary-gateway.js';
import type { Responses } from '../src/control/responses.js';
import type { Document } from '../src/manifest/document.js';
import { View } from '../src/manifest/view.js';
import { File } from '../src/store/file.js';
import { State } from '../src/store/state.js';
import { Store } from '../src/store/store.js';

/** As in src/store/orders.ts. */
const maxEntries = 4096;
const folder = mkdtempSync(join(tmpdir(), 'bramblebend-orders-'));

const plain = (note: string): Document =>
  ({ zones: {}, groups: {}, homes: {}, teams: {}, rules: [], note }) as Document;
const numbered = (number: number, content = 'the') => {
  const source = { format: 'one', number, digest: `${content} content of ${number}`, packed: 'words' };
  return { ...plain(`${content} ${number}`), source };
};

/** The state of one primary, changed by the same commands that the control plane runs. */
class Cores {
  state: State = State.empty;
  formed = Epoch.of(1);
  epoch = Epoch.of(1);
  readonly gateway: PrimaryGateway = {
    confirm: async () => {
      if (!this.gateway.isSettled()) throw Failure.of('unconfirmed', 'unsettled', { taken: 'no' });
      return this.state;
    },
    isSettled: () => State.isSettled(this.state, this.formed),
    change: async (make, tell) => {
      const made = make(this.state, this.stamp());
      if (!('kind' in made)) return made;
      this.take(made);
      return tell(this.state, made);
    },
  };

  constructor() {
    this.settle(View.empty);
  }
  stamp(): Stamp {
    return Stamp.of(this.epoch, this.state.stamp.revision + 1);
  }
  take(change: State.Change): void {
    this.state = State.apply(this.state, Store.decode(Store.encode(change)));
  }
  settle(view: View, isFirst = false): void {
    const revision = Revision.of(Math.max(this.stamp().revision, view.stamp.revision + 1));
    const stamp = { epoch: this.epoch, revision };
    const first = isFirst ? { isFirstStart: true as const } : {};
    this.take({ kind: 'settled', formed: this.formed, view, stamp, ...first });
  }
  /** All cores lose their disks except for the given state, form again, and take over what the nodes hold. */
  form(view: View, kept: State = State.empty): void {
    this.state = kept;
    this.epoch = Epoch.of(Math.max(this.epoch, view.stamp.epoch) + 1);
    this.formed = this.epoch;
    this.settle(view);
  }
  put(number: number, base: number, content?: string): Promise<Responses> {
    return PutNumbered.run(this.gateway, { base, document: numbered(number, content) });
  }
  replace(note: string, ifMatch: number, key?: string): Promise<Responses> {
    return PutManifest.run(this.gateway, { ...this.request(ifMatch, key), body: plain(note) });
  }
  rollBack(revision: number, ifMatch: number, key?: string): Promise<Responses> {
    return Rollback.run(this.gateway, { ...this.request(ifMatch, key), body: { revision } });
  }
  revision(): number {
    return State.newest(this.state)?.revision ?? 0;
  }
  private request(ifMatch: number, key: string | undefined) {
    const by = { name: 'operator', teams: undefined, maySeeSecrets: false };
    return { ifMatch: Revision.of(ifMatch), key, by, isSealed: false };
  }
}

const statusOf = async (response: Promise<Responses>) => (await response).status;

const assertOutcomeUnknown = async (response: Promise<Responses>, what: string): Promise<void> => {
  const { status, body, headers } = await response;
  assert.equal(status, 503, what);
  assert.equal((body as { error: { taken?: string } }).error.taken, 'unknown', what);
  assert.ok(Number(headers?.['retry-after']) > 0, what);
};

/** Puts manifests under numbers that rise in uneven steps, each on top of the one before. */
const putNumbers = async (cores: Cores, count: number): Promise<[number, number][]> => {
  const orders: [number, number][] = [];
  let base = 0;
  for (let index = 0; index < count; index += 1) {
    const number = base + 1 + (index % 3);
    assert.equal(await statusOf(cores.put(number, base)), 200);
    orders.push([number, base]);
    base = number;
  }
  return orders;
};

describe('orders sent again', () => {
  after(() => rmSync(folder, { recursive: true, force: true }));

  it('acknowledges each of 600 numbered orders again, whatever was taken in between', async () => {
    const cores = new Cores();
    const orders = await putNumbers(cores, 600);
    for (let index = 0; index < 300; index += 1)
      assert.equal(await statusOf(cores.replace(`between ${index}`, cores.revision(), `k${index}`)), 200);
    const before = cores.state;
    for (const [number, base] of orders) assert.equal(await statusOf(cores.put(number, base)), 200);
    assert.equal(cores.state, before);
  });

  it('refuses orders that lost a race or whose number is too low, while the record has no gap', async () => {
    const cores = new Cores();
    const orders = await putNumbers(cores, 20);
    const [[number, base], [newest]] = [orders[9]!, orders.at(-1)!];
    assert.equal(await statusOf(cores.put(number, base, 'another')), 412);
    assert.equal(await statusOf(cores.put(newest + 5, base)), 412);
    assert.equal(await statusOf(cores.put(number, newest, 'another')), 400);
    assert.equal(await statusOf(cores.put(newest, newest, 'another')), 400);
  });

  it('reports an unknown outcome for an order whose entry was removed', async () => {
    const cores = new Cores();
    const orders = await putNumbers(cores, maxEntries + 10);
    const [removed, known] = [orders.slice(0, 10), orders.slice(10)];
    for (const [number, base] of removed)
      await assertOutcomeUnknown(cores.put(number, base), `number ${number}`);
    for (const [number, base] of known.slice(0, 50))
      assert.equal(await statusOf(cores.put(number, base)), 200);
    const [late] = orders.at(-1)!;
    assert.equal(await statusOf(cores.put(late + 1, orders.at(-1)![1])), 412);
  });

  it('never refuses an order taken before the cores formed again, and refuses lost races after it', async () => {
    const cores = new Cores();
    const orders = await putNumbers(cores, 50);
    const [newest, before] = orders.at(-1)!;
    cores.form(State.view(cores.state));
    for (const [number, base] of orders.slice(0, -1))
      await assertOutcomeUnknown(cores.put(number, base), `number ${number}`);
    assert.equal(await statusOf(cores.put(newest, before)), 200);
    assert.equal(await statusOf(cores.put(newest, before, 'another')), 412);
    assert.equal(await statusOf(cores.put(newest + 4, newest)), 200);
    assert.equal(await statusOf(cores.put(newest + 3, newest)), 412);
    assert.equal(await statusOf(cores.put(newest + 9, newest)), 412);
    assert.equal(await statusOf(cores.put(newest, before)), 200);
  });

  it('knows after a forming the orders that a surviving disk recorded', async () => {
    const cores = new Cores();
    const orders = await putNumbers(cores, 30);
    const kept = cores.state;
    const [newest] = orders.at(-1)!;
    assert.equal(await statusOf(cores.put(newest + 7, newest)), 200);
    assert.equal(await statusOf(cores.put(newest + 9, newest + 7)), 200);
    cores.form(State.view(cores.state), kept);
    for (const [number, base] of orders) assert.equal(await statusOf(cores.put(number, base)), 200);
    await assertOutcomeUnknown(cores.put(newest + 7, newest), 'only the lost disks recorded it');
    assert.equal(await statusOf(cores.put(newest + 9, newest + 7)), 200);
  });

  it('acknowledges an order again after 300 others, with an idempotency key or without', async () => {
    const cores = new Cores();
    const first = await cores.replace('keyed', 0, 'key');
    const second = await cores.replace('no key', cores.revision());
    const replaced = (first.body as { revision: number }).revision;
    for (let index = 0; index < 300; index += 1)
      assert.equal(await statusOf(cores.replace(`other ${index}`, cores.revision(), `k${index}`)), 200);
    assert.deepEqual(await cores.replace('keyed', 0, 'key'), first);
    assert.deepEqual(await cores.replace('no key', replaced), second);
    assert.equal(await statusOf(cores.replace('another', 0, 'key')), 409);
    assert.equal(await statusOf(cores.replace('another', replaced)), 412);
    assert.equal(await statusOf(cores.replace('another', replaced, 'new key')), 412);
  });

  it('reports an unknown outcome for an order with If-Match when a forming may have lost its key', async () => {
    for (const isUnsettledPut of [false, true]) {
      const cores = new Cores();
      await cores.replace('one', 0, 'key 1');
      const replaced = cores.revision();
      await cores.replace('two', replaced, 'key 2');
      const view = State.view(cores.state);
      if (isUnsettledPut) {
        cores.state = { ...State.empty, stamp: Stamp.of(5, 20), formed: Epoch.of(1) };
        cores.epoch = Epoch.of(6);
        cores.formed = Epoch.of(5);
        assert.equal(await statusOf(cores.replace('anew', 0)), 200);
      } else cores.form(view);
      await assertOutcomeUnknown(cores.replace('two', replaced, 'key 2'), 'under its key');
      assert.equal(await statusOf(cores.replace('two', replaced)), 412);
      await assertOutcomeUnknown(cores.rollBack(replaced, replaced, 'key 3'), 'a rollback');
      const current = cores.revision();
      assert.equal(await statusOf(cores.replace('left', current, 'key 4')), 200);
      assert.equal(await statusOf(cores.replace('right', current, 'key 5')), 412);
    }
  });

  it('refuses a second first manifest, also when the first was put before the nodes were asked', async () => {
    const cores = new Cores();
    cores.state = State.empty;
    assert.equal(await statusOf(cores.replace('first', 0)), 200);
    cores.settle(View.empty);
    assert.equal(await statusOf(cores.replace('second', 0)), 412);
    assert.equal(await statusOf(cores.replace('first', 0)), 200);
  });

  it('refuses it also at a first start where nodes already hold the one put before they were asked', async () => {
    const cores = new Cores();
    cores.state = State.empty;
    assert.equal(await statusOf(cores.replace('first', 0, 'key-1')), 200);
    cores.settle(State.view(cores.state), true);
    assert.equal(await statusOf(cores.replace('second', 0, 'key-2')), 412);
    assert.equal(await statusOf(cores.replace('first', 0, 'key-1')), 200);
  });

  it('acknowledges a rollback again, also when its target manifest is no longer kept', async () => {
    const cores = new Cores();
    await cores.replace('one', 0);
    const wanted = cores.revision();
    await cores.replace('two', wanted);
    const current = cores.revision();
    const first = await cores.rollBack(wanted, current);
    assert.equal(first.status, 200);
    for (let index = 0; index < 40; index += 1) await cores.replace(`later ${index}`, cores.revision());
    assert.deepEqual(await cores.rollBack(wanted, current), first);
    assert.equal(await statusOf(cores.rollBack(wanted, cores.revision())), 404);
  });

  it('keeps the record in whole states on disk', async () => {
    const cores = new Cores();
    const orders = await putNumbers(cores, 300);
    const store = await Store.open(join(folder, 'whole'));
    await store.apply({ kind: 'whole', stamp: cores.state.stamp, state: cores.state });
    await store.close();
    const again = await Store.open(join(folder, 'whole'));
    cores.state = again.state();
    await again.close();
    for (const [number, base] of orders) assert.equal(await statusOf(cores.put(number, base)), 200);
  });

  it('reads a state of the previous version, and treats its record as one with gaps', async () => {
    const stamp = Stamp.of(1, 9);
    const manifests = [{ ...stamp, document: numbered(40), by: 'operator', at: '' }];
    const answers = [{ key: 'number 30', digest: 'the content of 30', revision: 8 }];
    const { platform } = State.empty;
    const state = { stamp, formed: 1, manifests, platform, answers, audit: [] };
    const file = await File.open(join(folder, 'earlier'), 'state.log');
    await file.append(Buffer.from(JSON.stringify({ kind: 'whole', stamp, state })));
    await file.close();
    const store = await Store.open(join(folder, 'earlier'));
    const cores = new Cores();
    cores.state = store.state();
    await store.close();
    assert.equal(await statusOf(cores.put(30, 20)), 200);
    assert.equal(await statusOf(cores.put(40, 30)), 200);
    await assertOutcomeUnknown(cores.put(20, 10), 'may have been removed');
    assert.equal(await statusOf(cores.put(50, 30)), 412);
    assert.equal(await statusOf(cores.put(50, 40)), 200);
    assert.equal(await statusOf(cores.put(40, 30)), 200);
    const late = { key: 'number 60', digest: 'the content of 60', revision: Revision.of(11) };
    const mixed = { ...cores.state, answers: [...cores.state.answers, late] };
    cores.take({ kind: 'whole', stamp: Stamp.of(1, 11), state: mixed });
    assert.equal(await statusOf(cores.put(60, 50)), 200);
    await assertOutcomeUnknown(cores.put(55, 40), 'taken while the version before led, or not');
  });
});
