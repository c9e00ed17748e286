/**
 * Cores in one process whose links can be cut. A term that only an unreachable core had accepted must block no other
 * core, and a core that accepted a different term for the same epoch must adopt the chosen one.
 */

import assert from 'node:assert/strict';
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { after, afterEach, describe, it } from 'node:test';
import { Epoch } from '../src/common/epoch.js';
import { Stamp } from '../src/common/stamp.js';
import { Core } from '../src/control/core.js';
import { Proposer } from '../src/epoch/proposer.js';
import { Register } from '../src/epoch/register.js';
import { Term } from '../src/epoch/term.js';
import { View } from '../src/manifest/view.js';
import { Backup } from '../src/replica/backup.js';
import type { Primary } from '../src/replica/primary.js';
import { File } from '../src/store/file.js';
import { Store } from '../src/store/store.js';
import type { Frame } from '../src/wire/frame.js';
import type { PeerClient } from '../src/wire/peer-client.js';

type Member = {
  readonly register: Register;
  readonly proposer: Proposer;
  readonly self: Frame.Core;
  readonly core: Core;
  readonly isRetired: () => boolean;
  readonly answer: (request: Parameters<PeerClient['ask']>[0]) => Promise<Frame.Reply>;
};

const folder = mkdtempSync(join(tmpdir(), 'bramblebend-core-'));
const timeoutMs = 10_000;
let memberCount = 0;
const startedCores = new Set<Core>();

const begin = ({ core }: Member): void => {
  startedCores.add(core);
  core.begin();
};

const until = async (condition: () => boolean, what: string): Promise<void> => {
  for (const began = performance.now(); !condition(); await new Promise((resolve) => setImmediate(resolve)))
    assert.ok(performance.now() - began < timeoutMs, `${what} within ${timeoutMs} ms`);
};

const untilConfirmed = async (leading: Primary): Promise<void> => {
  let isConfirmed = false;
  const ask = async () => {
    isConfirmed ||= await leading.confirm();
  };
  await until(() => {
    void ask();
    return isConfirmed;
  }, 'a read is confirmed');
};

const open = async (
  peerClients: () => readonly PeerClient[],
  clientFor: (core: Frame.Core) => PeerClient | undefined,
): Promise<Member> => {
  memberCount += 1;
  const data = join(folder, String(memberCount));
  const register = await Register.open(await File.open(data, 'register.log'));
  const store = await Store.open(data);
  const wire = `127.0.0.${memberCount}:7000`;
  const self = { disk: register.disk, node: `core-${memberCount}`, wire, http: wire };
  const proposer = Proposer.of({
    register,
    peerClients,
    core: () => self,
    highest: () => Epoch.none,
    isAble: store.isHealthy,
    held: () => store.state().stamp,
  });
  let isRetired = false;
  const core: Core = Core.of({
    register,
    store,
    losses: 1,
    isInitial: false,
    seeds: [],
    proposer,
    self: () => self,
    clientFor,
    connectTo: () => {},
    addresses: () => [],
    offeredView: () => View.empty,
    quietFor: () => 0,
    async markRetired() {
      isRetired = true;
    },
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
    if (request.kind === 'accept')
      return vote(await register.accept(request.ballot, request.term, request.isChosen));
    if (request.kind === 'append') return backup.handleAppend({ ...request, serial: 0 });
    return vote(true);
  };
  return { register, proposer, self, core, isRetired: () => isRetired, answer };
};

/** Three cores, the first one primary and the second in sync with it, plus a blank core; links between them can be cut. */
const startCluster = async () => {
  const members: Member[] = [];
  const lost = new Set<string>();
  const client = (from: number, to: number): PeerClient => {
    const isCut = () => lost.has(`${from}>${to}`) || lost.has(`${to}>${from}`);
    return {
      async ask(request) {
        if (isCut() || lost.has(`${from}>${to} ${request.kind}`)) throw new Error('lost');
        return members[to]!.answer(request);
      },
      isUp: () => !isCut(),
      downFor: () => (isCut() ? Number.POSITIVE_INFINITY : 0),
      reaches: () => true,
      address: members[to]!.self.wire,
      stop: async () => {},
    };
  };
  for (const from of [0, 1, 2, 3])
    members.push(
      await open(
        () => members.flatMap((_one, to) => (to === from ? [] : [client(from, to)])),
        ({ disk }) => {
          const to = members.findIndex(({ self }) => self.disk === disk);
          return to < 0 ? undefined : client(from, to);
        },
      ),
    );
  const [one, two, third, empty] = members as [Member, Member, Member, Member];
  const cores = [one, two, third];
  const first: Term = {
    epoch: Epoch.of(1),
    formed: Epoch.none,
    primary: one.self.disk,
    inSync: [one.self.disk, two.self.disk],
    cores: cores.map(({ self }) => self),
  };
  assert.ok(await one.proposer.form(() => first, 3));
  const held = () => cores.every(({ register }) => register.term()?.epoch === first.epoch);
  await until(held, 'all hold the first term');
  return { one, two, third, empty, lost };
};

type Cluster = Awaited<ReturnType<typeof startCluster>>;

/** One core proposes itself as primary, while its accept messages reach no other core: it alone accepts the term. */
const acceptAlone = async ({ one, two, third, lost }: Cluster, member: Member): Promise<void> => {
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
    await Promise.all([...startedCores].map((core) => core.stop()));
    startedCores.clear();
  });
  after(() => rmSync(folder, { recursive: true, force: true }));

  it('leads again when only an unreachable core had accepted another epoch', async () => {
    const all = await startCluster();
    const { one, two, lost } = all;
    await acceptAlone(all, one);
    begin(two);
    await until(() => two.core.term()?.epoch === Epoch.of(2), 'it learns of the other epoch');
    lost.add('0>1');
    lost.add('0>2');
    await until(() => two.core.state() === 'leading', 'it leads');
    await until(
      () => two.core.leading()?.term().inSync.includes(one.self.disk) === false,
      'another is in sync',
    );
  });

  it('leads again when the others chose the epoch before the one that only it had accepted', async () => {
    const all = await startCluster();
    const { one, third, lost } = all;
    await acceptAlone(all, one);
    lost.add('2>0 prepare');
    const settled = await third.proposer.change(() => undefined);
    assert.equal(settled.term?.epoch, Epoch.of(1));
    await until(() => one.register.term()?.epoch === Epoch.of(1), 'it accepts that');
    lost.clear();
    begin(one);
    await until(() => one.core.leading()?.term().epoch !== undefined, 'it leads');
  });

  it('knows the chosen term rather than one of the same epoch that only it had accepted', async () => {
    const all = await startCluster();
    const { one, two, third, lost } = all;
    await acceptAlone(all, two);
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

  it('commits changes after its backup raised its epoch for no new term, while the third core is unreachable', async () => {
    const { one, two, lost } = await startCluster();
    begin(one);
    await until(() => one.core.leading() !== undefined, 'it leads');
    await one.core.leading()!.commit((_state, stamp) => ({ kind: 'opened', stamp }));
    lost.add('0>2');
    lost.add('1>2');
    two.register.raiseFloor(Epoch.of(9));
    let isTaken = false;
    void one.core
      .leading()!
      .commit((_state, stamp) => ({ kind: 'opened', stamp }))
      .then(() => {
        isTaken = true;
      });
    await until(() => isTaken, 'a change is committed');
    assert.deepEqual(one.core.leading()?.term().inSync, [one.self.disk, two.self.disk]);
  });

  it('does not count the vote of a new core for the term that adds it', async () => {
    const { one, two, third, empty, lost } = await startCluster();
    begin(one);
    await until(() => one.core.leading() !== undefined, 'it leads');
    const leading = one.core.leading()!;
    await leading.commit((_state, stamp) => ({ kind: 'opened', stamp }));
    lost.add('0>2');
    lost.add('1>2');
    lost.add('0>1 accept');
    assert.equal(await leading.join(empty.self), 'the register was not changed');
    assert.equal(empty.register.isBlank(), true);
    lost.add('0>1');
    lost.delete('1>2');
    const here = await one.proposer.change((base) =>
      Term.next(base, { inSync: [one.self.disk, empty.self.disk] }),
    );
    const there = await two.proposer.change((base) =>
      Term.next(base, { primary: two.self.disk, inSync: [two.self.disk, third.self.disk] }),
    );
    assert.deepEqual([here.isDone, there.isDone], [false, true]);
  });

  it('adds a new core once the term that lists it is chosen', async () => {
    const { one, empty, lost } = await startCluster();
    begin(one);
    await until(() => one.core.leading() !== undefined, 'it leads');
    const leading = one.core.leading()!;
    await leading.commit((_state, stamp) => ({ kind: 'opened', stamp }));
    lost.add('0>2');
    lost.add('1>2');
    assert.equal(await leading.join(empty.self), '');
    await until(() => !empty.register.isBlank(), 'it votes');
  });

  it('stops in time while its first change waits for a backup', async () => {
    const { one, lost } = await startCluster();
    lost.add('0>1 append');
    lost.add('0>2 append');
    begin(one);
    await until(() => one.core.leading() !== undefined, 'it leads');
    startedCores.delete(one.core);
    const began = performance.now();
    await one.core.stop();
    assert.ok(performance.now() - began < 2000);
    assert.equal(one.core.leading(), undefined);
  });

  it('retires the cores that a forming left out, even if they return with higher ballots', async () => {
    const { one, two, third, empty, lost } = await startCluster();
    begin(one);
    begin(two);
    await until(() => one.core.leading() !== undefined, 'it leads');
    for (const from of [0, 1])
      for (const to of [2, 3]) {
        lost.add(`${from}>${to}`);
        lost.add(`${to}>${from}`);
      }
    for (let turn = 0; turn < 4; turn += 1) await two.proposer.change(() => undefined);
    begin(third);
    begin(empty);
    assert.equal(await third.core.force(), '');
    const first = () => [third, empty].find(({ core }) => core.leading() !== undefined);
    await until(() => first() !== undefined, 'the formed cores have a primary');
    lost.clear();
    await until(() => one.isRetired() && two.isRetired(), 'the old cores are retired');
    assert.deepEqual([one.core.leading(), two.core.leading()], [undefined, undefined]);
    const leading = first()!.core.leading()!;
    await leading.commit((_state, stamp) => ({ kind: 'opened', stamp }));
    assert.equal(leading.term().formed, third.register.term()?.formed);
    assert.equal(empty.register.term()?.formed, third.register.term()?.formed);
  });

  it('sends its term to a core that missed it, so that this core alone is enough to confirm reads', async () => {
    const { one, two, lost } = await startCluster();
    begin(one);
    await until(() => one.core.leading() !== undefined, 'it leads');
    const leading = one.core.leading()!;
    await leading.commit((_state, stamp) => ({ kind: 'opened', stamp }));
    lost.add('0>1 accept');
    await leading.raiseEpoch(Stamp.of(leading.term().epoch, 0));
    assert.notEqual(two.register.term()?.epoch, leading.term().epoch);
    lost.add('0>2');
    lost.delete('0>1 accept');
    await untilConfirmed(leading);
    assert.equal(two.register.term()?.epoch, leading.term().epoch);
  });

  it('proposes its term again above the ballot of a core that accepted another term for the same epoch', async () => {
    const { one, two, lost } = await startCluster();
    begin(one);
    await until(() => one.core.leading() !== undefined, 'it leads');
    const leading = one.core.leading()!;
    await leading.commit((_state, stamp) => ({ kind: 'opened', stamp }));
    for (const way of ['0>1 accept', '1>0 accept', '1>2 accept']) lost.add(way);
    for (let turn = 0; turn < 3; turn += 1)
      await two.proposer.change((base) => Term.next(base, { primary: two.self.disk }));
    lost.add('0>1 prepare');
    await leading.raiseEpoch(Stamp.of(leading.term().epoch, 0));
    lost.clear();
    lost.add('0>2');
    lost.add('1>2');
    await untilConfirmed(leading);
    assert.equal(two.register.term()?.primary, one.register.term()?.primary);
  });
});
