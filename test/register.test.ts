/**
 * The register among several cores in one process: no core relies on a term before a majority has accepted it, and every
 * later change finds what a majority accepted.
 */
import assert from 'node:assert/strict';
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { after, describe, it } from 'node:test';
import { Epoch } from '../src/common/epoch.js';
import { Stamp } from '../src/common/stamp.js';
import { Proposer } from '../src/epoch/proposer.js';
import { Register } from '../src/epoch/register.js';
import { Term } from '../src/epoch/term.js';
import { File } from '../src/store/file.js';
import type { Frame } from '../src/wire/frame.js';
import type { PeerClient } from '../src/wire/peer-client.js';

/** One core of the group under test. */
type Member = {
  readonly register: Register;
  readonly proposer: Proposer;
  readonly core: Frame.Core;
  /** Makes every later append to the register's file fail. */
  readonly breakFile: () => void;
};

const folder = mkdtempSync(join(tmpdir(), 'bramblebend-register-'));
let serial = 0;

const openRegister = async (data: string): Promise<Register> =>
  Register.open(await File.open(data, 'register.log'));

const waitUntil = async (condition: () => boolean, what: string): Promise<void> => {
  for (const began = performance.now(); !condition(); await new Promise((resolve) => setImmediate(resolve)))
    assert.ok(performance.now() - began < 5000, what);
};

/**
 * Cores in one process: the first `listed` are formed, the others are blank. A message is lost if `lost` holds its
 * direction (`0>1`), or its direction and kind (`0>1 accept`).
 */
const makeGroup = async (count: number, listed = count) => {
  const members: Member[] = [];
  const lost = new Set<string>();
  const peerClient = (from: number, to: number): PeerClient => ({
    async ask(request) {
      const { register, proposer } = members[to]!;
      if (lost.has(`${from}>${to}`) || lost.has(`${from}>${to} ${request.kind}`)) throw new Error('lost');
      const vote = (isGranted: boolean): Frame.Reply => ({
        kind: 'vote',
        serial: 0,
        ...proposer.vote(isGranted),
      });
      if (request.kind === 'prepare') return vote(await register.prepare(request.ballot, request.isForming));
      if (request.kind === 'accept')
        return vote(await register.accept(request.ballot, request.term, request.isChosen));
      return vote(true);
    },
    isUp: () => true,
    downFor: () => 0,
    reaches: () => true,
    address: String(to),
    stop: async () => {},
  });
  for (let index = 0; index < count; index += 1) {
    const file = await File.open(join(folder, String(serial++)), 'register.log');
    let isBroken = false;
    const fail = () => Promise.reject(new Error('the disk fails'));
    const register = await Register.open({
      ...file,
      append: (payload) => (isBroken ? fail() : file.append(payload)),
    });
    const breakFile = () => {
      isBroken = true;
    };
    const core = { disk: register.disk, node: `core-${index}`, wire: '', http: '' };
    const proposer = Proposer.of({
      register,
      peerClients: () => members.flatMap((_one, to) => (to === index ? [] : [peerClient(index, to)])),
      core: () => core,
      highest: () => Epoch.none,
      isAble: () => true,
      held: () => Stamp.none,
    });
    members.push({ register, proposer, core, breakFile });
  }
  const first: Term = {
    epoch: Epoch.of(1),
    formed: Epoch.of(1),
    primary: members[0]!.core.disk,
    inSync: members.slice(0, Math.floor(listed / 2) + 1).map(({ core }) => core.disk),
    cores: members.slice(0, listed).map(({ core }) => core),
  };
  const blankDirections = members.slice(listed).map((_one, index) => `0>${listed + index}`);
  for (const direction of blankDirections) lost.add(direction);
  assert.ok(await members[0]!.proposer.form(() => first, listed));
  for (const direction of blankDirections) lost.delete(direction);
  return { members, lost, first };
};

describe('register', () => {
  after(() => rmSync(folder, { recursive: true, force: true }));

  for (const count of [3, 5])
    it(`reports no term of ${count} cores that only its proposer has accepted`, async () => {
      const { members, lost, first } = await makeGroup(count);
      const [one, two] = members as [Member, Member];
      for (let to = 1; to < count; to += 1) lost.add(`0>${to} accept`);
      const alone = await one.proposer.change((base) => Term.next(base, { inSync: [one.core.disk] }));
      assert.deepEqual([alone.isDone, alone.term], [false, undefined]);
      assert.deepEqual(one.register.term()?.inSync, [one.core.disk]);
      const again = await one.proposer.change(() => undefined);
      assert.deepEqual([again.isDone, again.term], [false, undefined]);
      lost.add('1>0');
      const taken = await two.proposer.change((base) =>
        base.epoch === first.epoch ? Term.next(base, { primary: two.core.disk }) : undefined,
      );
      assert.equal(taken.isDone, true);
      lost.clear();
      const found = await one.proposer.change(() => undefined);
      assert.equal(found.term?.primary, two.core.disk);
      assert.deepEqual(found.term?.inSync, first.inSync);
    });

  it('writes back a term that only a few cores accepted, and then reports it as chosen', async () => {
    const { members, lost } = await makeGroup(5);
    const [one, two] = members as [Member, Member];
    for (const to of [2, 3, 4]) lost.add(`0>${to} accept`);
    const attempt = await one.proposer.change((base) =>
      Term.next(base, { inSync: [one.core.disk, two.core.disk] }),
    );
    assert.equal(attempt.term, undefined);
    lost.clear();
    const settled = await two.proposer.change(() => undefined);
    assert.deepEqual(settled.term?.inSync, [one.core.disk, two.core.disk]);
    const isEverywhere = () =>
      members.every(({ register }) => register.term()?.epoch === settled.term?.epoch);
    for (const began = performance.now(); !isEverywhere() && performance.now() - began < 5000; )
      await new Promise((resolve) => setImmediate(resolve));
    assert.equal(isEverywhere(), true);
  });

  it('confirms a term only by cores that accepted that very term, not another term of the same epoch', async () => {
    const { members, lost } = await makeGroup(3);
    const [one, two, three] = members as [Member, Member, Member];
    for (const direction of ['0>1', '1>0', '2>1', '1>2 accept']) lost.add(direction);
    lost.add('1>0 accept');
    lost.delete('1>0');
    const elsewhere = await two.proposer.change((base) => Term.next(base, { primary: two.core.disk }));
    assert.equal(elsewhere.term, undefined);
    const chosen = await one.proposer.change((base) =>
      Term.next(base, { inSync: [one.core.disk, three.core.disk] }),
    );
    assert.equal(chosen.isDone, true);
    assert.equal(two.register.term()?.epoch, chosen.term?.epoch);
    assert.equal(await one.proposer.confirm(chosen.term!), true);
    lost.delete('0>1');
    lost.add('0>2');
    assert.equal(await one.proposer.confirm(chosen.term!), false);
  });

  it('keeps the floor that a takeover raised across a restart', async () => {
    const data = join(folder, String(serial++));
    const file = await File.open(data, 'register.log');
    const register = await Register.open(file);
    const core = { disk: register.disk, node: 'core', wire: '', http: '' };
    const term: Term = {
      epoch: Epoch.of(1),
      formed: Epoch.of(1),
      primary: core.disk,
      inSync: [core.disk],
      cores: [core],
    };
    assert.equal(await register.accept({ round: 1, disk: core.disk }, term, true), true);
    register.raiseFloor(Epoch.of(7));
    assert.equal(await register.prepare({ round: 2, disk: core.disk }), true);
    await file.close();
    assert.equal((await openRegister(data)).floor(), 7);
  });

  it('lets no core from before a forming undo a change made after it, however high its ballots are', async () => {
    const { members, lost } = await makeGroup(4, 3);
    const [old, _other, kept, fresh] = members as [Member, Member, Member, Member];
    for (let turn = 0; turn < 4; turn += 1) {
      const { isDone, term } = await old.proposer.change((base) => Term.next(base, {}));
      assert.equal(isDone, true);
      const isThere = () => kept.register.term()?.epoch === term?.epoch;
      await waitUntil(isThere, 'the third core accepts it too');
    }
    for (const from of [0, 1])
      for (const to of [2, 3]) {
        lost.add(`${from}>${to}`);
        lost.add(`${to}>${from}`);
      }
    for (let turn = 0; turn < 4; turn += 1) await old.proposer.change((base) => Term.next(base, {}));
    const formed = await kept.proposer.form(
      () => ({
        epoch: Epoch.of(20),
        formed: Epoch.of(20),
        primary: kept.core.disk,
        inSync: [kept.core.disk],
        cores: [kept.core, fresh.core, { disk: 'missing-1', node: '', wire: '', http: '' }],
      }),
      2,
    );
    assert.equal(formed?.formed, 20);
    lost.clear();
    const changed = await kept.proposer.change((base) =>
      base.formed === formed?.formed ? Term.next(base, {}) : undefined,
    );
    assert.equal(changed.isDone, true);
    await old.proposer.change(() => undefined);
    assert.equal((await old.proposer.read())?.formed, 20);
    assert.deepEqual(
      [kept, fresh].map(({ register }) => register.term()?.formed),
      [20, 20],
    );
  });

  it('accepts no term of an earlier forming than the one accepted', async () => {
    const { members, first } = await makeGroup(3);
    const { register } = members[1]!;
    const later = { ...first, epoch: Epoch.of(9), formed: Epoch.of(9) };
    const { disk } = members[0]!.core;
    assert.equal(await register.accept({ round: 20, disk }, later, true), true);
    assert.equal(await register.accept({ round: 30, disk }, { ...first, epoch: Epoch.of(10) }), false);
    assert.equal(register.term()?.formed, 9);
  });

  it('does not report a change as done unless the proposer’s own disk holds it', async () => {
    const { members, first } = await makeGroup(5);
    const [one] = members as [Member];
    const outcome = await one.proposer.change((base) => {
      one.breakFile();
      return Term.next(base, { primary: one.core.disk });
    });
    assert.deepEqual([outcome.isDone, outcome.term], [false, undefined]);
    assert.equal(one.register.term()?.epoch, first.epoch);
  });
});
