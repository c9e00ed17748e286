// The register among cores of one process: a term that only a few accepted is relied on by nobody before
// a majority has accepted it, and what a majority accepted is found by every later change.
import assert from 'node:assert/strict';
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { after, describe, it } from 'node:test';
import { Proposer } from '../src/epoch/proposer.js';
import { Register } from '../src/epoch/register.js';
import { Term } from '../src/epoch/term.js';
import { Epoch } from '../src/kinds/epoch.js';
import { Stamp } from '../src/kinds/stamp.js';
import { File } from '../src/store/file.js';
import type { Courier } from '../src/wire/courier.js';
import type { Frame } from '../src/wire/frame.js';

type Member = { readonly register: Register; readonly proposer: Proposer; readonly core: Frame.Core };

const folder = mkdtempSync(join(tmpdir(), 'bramblebend-register-'));
let serial = 0;

const group = async (count: number) => {
  const members: Member[] = [];
  const lost = new Set<string>();
  const courier = (from: number, to: number): Courier => ({
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
    place: String(to),
    stop: async () => {},
  });
  for (let index = 0; index < count; index += 1) {
    const register = await Register.open(await File.open(join(folder, String(serial++)), 'register.log'));
    const core = { disk: register.disk, node: `core-${index}`, wire: '', http: '' };
    const proposer = Proposer.of({
      register,
      couriers: () => members.flatMap((_one, to) => (to === index ? [] : [courier(index, to)])),
      core: () => core,
      highest: () => Epoch.none,
      isAble: () => true,
      held: () => Stamp.none,
    });
    members.push({ register, proposer, core });
  }
  const first: Term = {
    epoch: Epoch.of(1),
    formed: Epoch.of(1),
    primary: members[0]!.core.disk,
    inSync: members.slice(0, (count + 1) / 2).map(({ core }) => core.disk),
    cores: members.map(({ core }) => core),
  };
  assert.ok(await members[0]!.proposer.form(() => first, count));
  return { members, lost, first };
};

describe('register', () => {
  after(() => rmSync(folder, { recursive: true, force: true }));

  for (const count of [3, 5])
    it(`tells no term of ${count} cores that only its proposer has accepted`, async () => {
      const { members, lost, first } = await group(count);
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

  it('settles a term that a few accepted by writing it back, and then tells it', async () => {
    const { members, lost } = await group(5);
    const [one, two] = members as [Member, Member];
    for (const to of [2, 3, 4]) lost.add(`0>${to} accept`);
    const few = await one.proposer.change((base) =>
      Term.next(base, { inSync: [one.core.disk, two.core.disk] }),
    );
    assert.equal(few.term, undefined);
    lost.clear();
    const settled = await two.proposer.change(() => undefined);
    assert.deepEqual(settled.term?.inSync, [one.core.disk, two.core.disk]);
    const isEverywhere = () =>
      members.every(({ register }) => register.term()?.epoch === settled.term?.epoch);
    for (const began = performance.now(); !isEverywhere() && performance.now() - began < 5000; )
      await new Promise((resolve) => setImmediate(resolve));
    assert.equal(isEverywhere(), true);
  });
});
