// A core's own way among others of one process, whose links are lost at will: what only a core that is gone
// had accepted holds nobody up, and a core that took another value for its epoch's finds the chosen one.
import assert from 'node:assert/strict';
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { after, afterEach, describe, it } from 'node:test';
import { Core } from '../src/control/core.js';
import { Proposer } from '../src/epoch/proposer.js';
import { Register } from '../src/epoch/register.js';
import { Term } from '../src/epoch/term.js';
import { Epoch } from '../src/kinds/epoch.js';
import { View } from '../src/manifest/view.js';
import { Backup } from '../src/replica/backup.js';
import { File } from '../src/store/file.js';
import { Store } from '../src/store/store.js';
import type { Courier } from '../src/wire/courier.js';
import type { Frame } from '../src/wire/frame.js';

type Member = {
  readonly register: Register;
  readonly proposer: Proposer;
  readonly self: Frame.Core;
  readonly core: Core;
  readonly answer: (request: Parameters<Courier['ask']>[0]) => Promise<Frame.Reply>;
};

const folder = mkdtempSync(join(tmpdir(), 'bramblebend-core-'));
const within = 10_000;
let machines = 0;
const running = new Set<Core>();

const begin = ({ core }: Member): void => {
  running.add(core);
  core.begin();
};

const until = async (isSo: () => boolean, what: string): Promise<void> => {
  for (const began = performance.now(); !isSo(); await new Promise((resolve) => setImmediate(resolve)))
    assert.ok(performance.now() - began < within, `${what} within ${within} ms`);
};

const open = async (
  couriers: () => readonly Courier[],
  courierTo: (core: Frame.Core) => Courier | undefined,
): Promise<Member> => {
  machines += 1;
  const data = join(folder, String(machines));
  const register = await Register.open(await File.open(data, 'register.log'));
  const store = await Store.open(data);
  const wire = `127.0.0.${machines}:7000`;
  const self = { disk: register.disk, node: `core-${machines}`, wire, http: wire };
  const proposer = Proposer.of({
    register,
    couriers,
    core: () => self,
    highest: () => Epoch.none,
    isAble: store.isSound,
    held: () => store.state().stamp,
  });
  const core: Core = Core.of({
    register,
    store,
    losses: 1,
    isInitial: false,
    seeds: [],
    proposer,
    self: () => self,
    courierTo,
    tend: () => {},
    places: () => [],
    offered: () => View.empty,
    quietFor: () => 0,
    retire: async () => {},
    publish: () => {},
    note: () => {},
    alert: () => {},
  });
  const backup = Backup.of({ register, store, isLeading: () => core.leading() !== undefined });
  const vote = (isGranted: boolean): Frame.Reply => ({
    kind: 'vote',
    serial: 0,
    ...proposer.vote(isGranted),
  });
  const answer: Member['answer'] = async (request) => {
    if (request.kind === 'prepare') return vote(await register.prepare(request.ballot, request.isForming));
    if (request.kind === 'accept') return vote(await register.accept(request.ballot, request.term));
    if (request.kind === 'append') return backup.take({ ...request, serial: 0 });
    return vote(true);
  };
  return { register, proposer, self, core, answer };
};

/** Three cores, the first of them primary with the second in sync, and a set of links that lose what they carry. */
const three = async () => {
  const members: Member[] = [];
  const lost = new Set<string>();
  const courier = (from: number, to: number): Courier => {
    const isCut = () => lost.has(`${from}>${to}`) || lost.has(`${to}>${from}`);
    return {
      async ask(request) {
        if (isCut() || lost.has(`${from}>${to} ${request.kind}`)) throw new Error('lost');
        return members[to]!.answer(request);
      },
      isUp: () => !isCut(),
      downFor: () => (isCut() ? Number.POSITIVE_INFINITY : 0),
      reaches: () => true,
      place: members[to]!.self.wire,
      stop: async () => {},
    };
  };
  for (const from of [0, 1, 2])
    members.push(
      await open(
        () => members.flatMap((_one, to) => (to === from ? [] : [courier(from, to)])),
        ({ disk }) => {
          const to = members.findIndex(({ self }) => self.disk === disk);
          return to < 0 ? undefined : courier(from, to);
        },
      ),
    );
  const [one, two, third] = members as [Member, Member, Member];
  const first: Term = {
    epoch: Epoch.of(1),
    formed: Epoch.none,
    primary: one.self.disk,
    inSync: [one.self.disk, two.self.disk],
    cores: members.map(({ self }) => self),
  };
  assert.ok(await one.proposer.form(() => first, 3));
  const held = () => members.every(({ register }) => register.term()?.epoch === first.epoch);
  await until(held, 'all hold the first term');
  return { one, two, third, lost };
};

type Three = Awaited<ReturnType<typeof three>>;

/** One core changes the register to name it primary, and the others never hear that they should accept it. */
const takeAlone = async ({ one, two, third, lost }: Three, member: Member): Promise<void> => {
  const from = [one, two, third].indexOf(member);
  for (const to of [0, 1, 2]) lost.add(`${from}>${to} accept`);
  const alone = await member.proposer.change((base) => Term.next(base, { primary: member.self.disk }));
  assert.deepEqual([alone.isDone, alone.term], [false, undefined]);
  assert.deepEqual(
    [member.register.term()?.epoch, member.register.term()?.primary],
    [Epoch.of(2), member.self.disk],
  );
  for (const to of [0, 1, 2]) lost.delete(`${from}>${to} accept`);
};

describe('core', () => {
  afterEach(async () => {
    for (const core of running) core.leading()?.depose('the test is over');
    await Promise.all([...running].map((core) => core.stop()));
    running.clear();
  });
  after(() => rmSync(folder, { recursive: true, force: true }));

  it('leads again when only a core that is gone had accepted another epoch', async () => {
    const all = await three();
    const { one, two, lost } = all;
    await takeAlone(all, one);
    begin(two);
    await until(() => two.core.term()?.epoch === Epoch.of(2), 'it is told of the other epoch');
    lost.add('0>1');
    lost.add('0>2');
    await until(() => two.core.state() === 'leading', 'it leads');
    await until(
      () => two.core.leading()?.term().inSync.includes(one.self.disk) === false,
      'another is in sync',
    );
  });

  it('leads again when the others settled the epoch before the one that only it had accepted', async () => {
    const all = await three();
    const { one, third, lost } = all;
    await takeAlone(all, one);
    lost.add('2>0 prepare');
    const settled = await third.proposer.change(() => undefined);
    assert.equal(settled.term?.epoch, Epoch.of(1));
    await until(() => one.register.term()?.epoch === Epoch.of(1), 'it accepts that');
    lost.clear();
    begin(one);
    await until(() => one.core.leading()?.term().epoch !== undefined, 'it leads');
  });

  it('knows the chosen term rather than one of the same epoch that only it had accepted', async () => {
    const all = await three();
    const { one, two, third, lost } = all;
    await takeAlone(all, two);
    lost.add('0>1');
    lost.add('1>2');
    begin(two);
    assert.equal(two.core.term()?.primary, two.self.disk);
    const chosen = await one.proposer.change((base) =>
      Term.next(base, { inSync: [one.self.disk, third.self.disk] }),
    );
    assert.equal(chosen.isDone, true);
    lost.clear();
    await until(() => two.core.term()?.primary === one.self.disk, 'it knows the chosen primary');
    assert.equal(Term.isInSync(two.core.term()!, two.self.disk), false);
  });

  it('takes changes after its backup has promised a higher epoch in vain, though the third is away', async () => {
    const { one, two, lost } = await three();
    begin(one);
    await until(() => one.core.leading() !== undefined, 'it leads');
    await one.core.leading()!.commit((_state, stamp) => ({ kind: 'opened', stamp }));
    lost.add('0>2');
    lost.add('1>2');
    two.register.raise(Epoch.of(9));
    let isTaken = false;
    void one.core
      .leading()!
      .commit((_state, stamp) => ({ kind: 'opened', stamp }))
      .then(() => {
        isTaken = true;
      });
    await until(() => isTaken, 'a change is taken');
    assert.deepEqual(one.core.leading()?.term().inSync, [one.self.disk, two.self.disk]);
  });
});
