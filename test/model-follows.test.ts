// The model follows the code: what its cores and proposers do is compared with the product's own register, proposer
// and backup over many random cases of a fixed seed.
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { Epoch } from '../src/common/epoch.js';
import { Stamp } from '../src/common/stamp.js';
import { Ballot } from '../src/epoch/ballot.js';
import { Proposer } from '../src/epoch/proposer.js';
import { Register } from '../src/epoch/register.js';
import { Term } from '../src/epoch/term.js';
import { Backup } from '../src/replica/backup.js';
import type { File } from '../src/store/file.js';
import { State } from '../src/store/state.js';
import { Store } from '../src/store/store.js';
import type { Frame } from '../src/wire/frame.js';
import type { PeerClient } from '../src/wire/peer-client.js';
import { Acceptor } from '../tools/model/acceptor.js';
import { Bounds } from '../tools/model/bounds.js';
import { Disks } from '../tools/model/disks.js';
import { Proposing } from '../tools/model/proposing.js';
import { type Content, type KnownTerm, Tables } from '../tools/model/tables.js';
import { type Machine, World } from '../tools/model/world.js';
import { Random } from '../tools/random.js';

const none: ReadonlySet<never> = new Set();
const disks = [Disks.code(0, 0), Disks.code(1, 0), Disks.code(2, 0), Disks.code(3, 0)];
const rounds = 4;
const epochs = 4;

const memory = (payloads: readonly Buffer[]): File & { readonly last: () => Buffer } => {
  const kept = [...payloads];
  const add = async (payload: Uint8Array) => void kept.push(Buffer.from(payload));
  return {
    payloads,
    append: add,
    rewrite: async (all) => void kept.push(Buffer.from(all.at(-1)!)),
    replace: async (make) => void kept.push(Buffer.from((await make()).at(-1)!)),
    length: () => 0,
    isHealthy: () => true,
    isBroken: () => false,
    close: async () => {},
    last: () => kept.at(-1)!,
  };
};

const chance = (random: Random) => {
  const ballot = () => Tables.ballot(1 + random.below(rounds), Disks.name(random.pick(disks)));
  const term = (): KnownTerm => {
    const left = random.pick(disks.slice(1));
    const cores = disks.filter((code) => code !== left);
    const names = cores.map(Disks.name);
    return Tables.term({
      epoch: Epoch.of(1 + random.below(epochs)),
      formed: Epoch.of(1),
      primary: random.pick(names),
      inSync: names.slice(0, 2),
      cores: cores.map(Disks.core),
    });
  };
  return { ballot, term };
};

const recordOf = ({ disk, promised, accepted, term }: Machine): Buffer =>
  Buffer.from(JSON.stringify({ disk: Disks.name(disk), promised, accepted, tenure: term?.value ?? null }));

const same = (register: Register, machine: Machine, text: string) => {
  assert.equal(Ballot.compare(register.promised(), machine.promised), 0, `${text}: promised`);
  assert.equal(Ballot.compare(register.accepted(), machine.accepted), 0, `${text}: accepted`);
  assert.deepEqual(register.term(), machine.term?.value ?? null, `${text}: term`);
  assert.equal(register.floor(), machine.floor, `${text}: floor`);
};

describe('the model follows the code', () => {
  it('promises, accepts, raises its floor and starts again as the register does', async () => {
    const random = Random.of(1701);
    const { ballot, term } = chance(random);
    for (let run = 0; run < 300; run += 1) {
      let machine = World.blank(disks[0]!);
      let file = memory([recordOf(machine)]);
      let register = await Register.open(file);
      for (let count = 0; count < 12; count += 1) {
        const text = `run ${run}, request ${count}`;
        const asked = ballot();
        const value = term();
        const isChosen = random.below(3) === 0;
        const kind = random.pick(['promise', 'accept', 'accept', 'raise', 'restart']);
        if (kind === 'promise') {
          const after = Acceptor.promise(machine, asked, false, none);
          assert.equal(await register.prepare(asked), after !== undefined, text);
          machine = after ?? machine;
        } else if (kind === 'accept') {
          const after = Acceptor.accept(machine, asked, value, isChosen, none);
          assert.equal(await register.accept(asked, value.value, isChosen), after !== undefined, text);
          machine = after ?? machine;
        } else if (kind === 'raise') {
          register.raiseFloor(Epoch.of(value.epoch));
          machine = { ...machine, floor: Acceptor.raised(machine, value.epoch, none) };
        } else {
          file = memory([file.last()]);
          register = await Register.open(file);
          machine = Acceptor.restarted(machine, none);
        }
        same(register, machine, text);
      }
    }
  });

  it('takes and refuses whole states as the backup does', async () => {
    const random = Random.of(1702);
    const { ballot, term } = chance(random);
    const contentOf = () => Tables.content(random.below(epochs), random.below(3), '');
    const stateOf = ({ stamp }: Content): State => ({ ...State.empty, stamp });
    let taken = 0;
    for (let run = 0; run < 300; run += 1) {
      const asked = ballot();
      const isBlank = random.below(6) === 0;
      let machine: Machine = {
        ...World.blank(disks[0]!),
        ...(isBlank ? {} : { promised: asked, accepted: asked, term: term() }),
        held: contentOf(),
      };
      machine = Acceptor.restarted(machine, none);
      const register = await Register.open(memory([recordOf(machine)]));
      let state = stateOf(machine.held);
      const store = {
        state: () => state,
        apply: async (change: State.Change) => {
          state = State.apply(state, change);
        },
      } as unknown as Store;
      const backup = Backup.of({ register, store, isLeading: () => false });
      for (let count = 0; count < 8; count += 1) {
        const epoch = Epoch.of(random.below(epochs + 1));
        const next = contentOf();
        const after = Acceptor.take(machine, epoch, next, none);
        const isNewer = Stamp.isNewer(machine.held.stamp, next.stamp);
        const text = `run ${run}, offer ${count}`;
        const offer = { epoch, previous: null, target: next.stamp, length: 0, digest: '' };
        const located = await backup.handleOffer({ kind: 'offer', serial: count, ...offer });
        assert.equal(located.kind === 'position' && located.isTaken, after.isHeld, text);
        const whole = { kind: 'whole', stamp: next.stamp, state: stateOf(next) } as const;
        const record = Store.encode(whole);
        const append = { epoch, previous: next.stamp, record, whole: true };
        const reply = await backup.handleAppend({ kind: 'append', serial: count, ...append });
        assert.equal(reply.kind === 'appended' && reply.isTaken, after.isHeld && !isNewer, text);
        machine = after.machine;
        if (after.isHeld && !isNewer) taken += 1;
        assert.equal(Stamp.isSame(store.state().stamp, machine.held.stamp), true);
        assert.equal(register.floor(), machine.floor);
      }
    }
    assert.ok(taken > 200, `${taken}`);
  });

  it('finds the value and knows the end of a change as the proposer does', async () => {
    const random = Random.of(1703);
    const { ballot, term } = chance(random);
    const counts = { proposed: 0, chosen: 0 };
    for (let run = 0; run < 600; run += 1) {
      const proposer = random.below(disks.length);
      const proposed = new Map<Ballot, KnownTerm>();
      const termAt = (asked: Ballot): KnownTerm => {
        const found = proposed.get(asked) ?? term();
        proposed.set(asked, found);
        return found;
      };
      const machines = disks.map((code, index) => {
        const blank = World.blank(code);
        if (index !== proposer && random.below(5) === 0) return blank;
        const [low, high] = [ballot(), ballot()].sort(Ballot.compare) as [Ballot, Ballot];
        return { ...blank, promised: high, accepted: low, term: termAt(low) };
      });
      const world = { ...World.first(Bounds.of({ spares: 1 })), machines };
      const registers = await Promise.all(machines.map((one) => Register.open(memory([recordOf(one)]))));
      const reached = disks.map((_code, index) => index === proposer || random.below(3) > 0);
      const answers = disks.map((_code, index) => index === proposer || random.below(3) > 0);
      const sent: { readonly ballot: Ballot; readonly term: Term }[] = [];
      const core = (index: number): Frame.Core => Disks.core(disks[index]!);
      const voteOf = (index: number, isGranted: boolean): Proposer.Vote => ({
        isGranted,
        isBlank: registers[index]!.isBlank(),
        promised: registers[index]!.promised(),
        accepted: registers[index]!.accepted(),
        term: registers[index]!.term(),
        core: core(index),
        highest: Epoch.none,
        isAble: true,
        held: Stamp.none,
      });
      const peerClient = (index: number): PeerClient => ({
        async ask(request) {
          if (request.kind === 'accept') sent.push(request);
          const isReached = request.kind === 'accept' ? answers[index] : reached[index];
          if (!isReached) throw new Error('lost');
          const register = registers[index]!;
          const isGranted =
            request.kind === 'prepare'
              ? await register.prepare(request.ballot)
              : request.kind === 'accept'
                ? await register.accept(request.ballot, request.term, request.isChosen)
                : true;
          return { kind: 'vote', serial: 0, ...voteOf(index, isGranted) };
        },
        isUp: () => true,
        downFor: () => 0,
        reaches: () => true,
        address: '',
        stop: async () => {},
      });
      const others = disks.map((_code, index) => index).filter((index) => index !== proposer);
      const made = Proposer.of({
        register: registers[proposer]!,
        peerClients: () => others.map(peerClient),
        core: () => core(proposer),
        highest: () => Epoch.none,
        isAble: () => true,
        held: () => Stamp.none,
      });
      const name = Disks.name(disks[proposer]!);
      const next = (base: Term) =>
        Term.isInSync(base, name) ? Term.next(base, { primary: name }) : undefined;
      const result = await made.change(next);
      const possible = Proposing.quorums(world, proposer, none).filter(({ voters }) =>
        voters.every((voter) => reached[voter]),
      );
      const values = possible.map(({ base }) => Tables.term(next(base.value) ?? base.value));
      assert.equal(sent.length > 0, possible.length > 0, `run ${run}: whether a value is proposed`);
      if (!sent[0]) continue;
      counts.proposed += 1;
      const value = Tables.term(sent[0].term);
      const at = values.indexOf(value);
      assert.ok(at >= 0, `run ${run}: the value is one that the model proposes`);
      if (!Disks.has(value.cores, disks[proposer]!)) continue;
      const accepted = registers.reduce(
        (all, register, index) =>
          Ballot.compare(register.accepted(), sent[0]!.ballot) === 0 ? Disks.add(all, disks[index]!) : all,
        Disks.none,
      );
      const bases = possible.filter((_one, index) => values[index] === value).map(({ base }) => base);
      const done = bases.map((base) =>
        Proposing.isDone(
          { ballot: sent[0]!.ballot, value, base, accepted, isChosen: false },
          disks[proposer]!,
          none,
        ),
      );
      assert.ok(done.includes(result.term !== undefined), `run ${run}: whether it is chosen`);
      if (result.term !== undefined) counts.chosen += 1;
    }
    assert.ok(counts.proposed > 100 && counts.chosen > 30, JSON.stringify(counts));
  });
});
