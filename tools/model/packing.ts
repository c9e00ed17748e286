// A state as bytes, and back: what is kept of states that wait, and what is hashed of all.
import type { Ballot } from '../../src/epoch/ballot.js';
import { Disks } from './disks.js';
import { Tables } from './tables.js';
import type { Answer, Attempt, Leader, Left, Machine, Proposal, Work, World } from './world.js';

const longest = 4096;
const bytes = new Uint8Array(longest);
let at = 0;
let from: Uint8Array = bytes;

const put = (value: number) => {
  bytes[at] = value;
  at += 1;
};
const put2 = (value: number) => {
  put(value & 255);
  put(value >>> 8);
};
const put4 = (value: number) => {
  put2(value & 0xffff);
  put2(value >>> 16);
};
const putBallot = ({ round, disk }: Ballot) => {
  put(round);
  put(Disks.codeOf(disk));
};
const take = (): number => {
  const value = from[at]!;
  at += 1;
  return value;
};
const take2 = (): number => take() + take() * 256;
const take4 = (): number => take2() + take2() * 65_536;
const takeBallot = (): Ballot => {
  const round = take();
  const code = take();
  return code === 255 ? Tables.none : Tables.ballot(round, Disks.name(code));
};
const flags = (...all: readonly boolean[]): number =>
  all.reduce((sum, flag, index) => sum + (flag ? 2 ** index : 0), 0);
const isSet = (value: number, index: number): boolean => ((value >> index) & 1) === 1;

const putWork = ({ next, isLocal, holders }: Work) => {
  put2(next.id);
  put(flags(isLocal));
  put4(holders);
};
const takeWork = (): Work => ({
  next: Tables.contentOf(take2()),
  isLocal: isSet(take(), 0),
  holders: take4(),
});
const putLeader = (leader: Leader) => {
  put2(leader.term.id);
  put2(leader.acknowledged.id);
  put(flags(leader.isOpen, leader.isUnsure, leader.work !== null));
  put(leader.told);
  if (leader.work) putWork(leader.work);
};
const takeLeader = (): Leader => {
  const term = Tables.termOf(take2())!;
  const acknowledged = Tables.contentOf(take2());
  const set = take();
  const told = take();
  const work = isSet(set, 2) ? takeWork() : null;
  return { term, acknowledged, isOpen: isSet(set, 0), isUnsure: isSet(set, 1), told, work };
};
const putAttempt = (attempt: Attempt) => {
  putBallot(attempt.ballot);
  put(flags(attempt.isClaim, attempt.isWanted));
};
const takeAttempt = (): Attempt => {
  const ballot = takeBallot();
  const set = take();
  return { ballot, isClaim: isSet(set, 0), isWanted: isSet(set, 1) };
};
const putAnswer = (answer: Answer) => {
  put(flags(answer.isRefusal));
  put2(answer.term.id);
  put4(answer.agreeing);
};
const takeAnswer = (): Answer => ({
  isRefusal: isSet(take(), 0),
  term: Tables.termOf(take2())!,
  agreeing: take4(),
});
const putMachine = (machine: Machine) => {
  put(machine.disk);
  putBallot(machine.promised);
  putBallot(machine.accepted);
  put2(machine.term?.id ?? 0);
  put2(machine.held.id);
  put(machine.keptFloor);
  put(machine.floor);
  put(flags(machine.attempt !== null, machine.leader !== null, machine.answer !== null));
  if (machine.attempt) putAttempt(machine.attempt);
  if (machine.leader) putLeader(machine.leader);
  if (machine.answer) putAnswer(machine.answer);
};
const takeMachine = (): Machine => {
  const disk = take();
  const promised = takeBallot();
  const accepted = takeBallot();
  const term = Tables.termOf(take2());
  const held = Tables.contentOf(take2());
  const keptFloor = take();
  const floor = take();
  const set = take();
  const attempt = isSet(set, 0) ? takeAttempt() : null;
  const leader = isSet(set, 1) ? takeLeader() : null;
  const answer = isSet(set, 2) ? takeAnswer() : null;
  return { disk, promised, accepted, term, held, keptFloor, floor, attempt, leader, answer };
};
const putProposal = (proposal: Proposal) => {
  putBallot(proposal.ballot);
  put2(proposal.value.id);
  put2(proposal.base?.id ?? 0);
  put4(proposal.accepted);
  put(flags(proposal.isChosen));
};
const takeProposal = (): Proposal => ({
  ballot: takeBallot(),
  value: Tables.termOf(take2())!,
  base: Tables.termOf(take2()),
  accepted: take4(),
  isChosen: isSet(take(), 0),
});
const kinds: readonly (keyof Left)[] = [
  'claims',
  'alters',
  'restarts',
  'wipes',
  'joins',
  'formings',
  'late',
  'strays',
];
const many = <T>(make: () => T): T[] => Array.from({ length: take() }, make);

export const Packing = {
  /** The bytes of a state; they are overwritten by the next call. */
  pack(world: World): Uint8Array {
    at = 0;
    put(world.machines.length);
    world.machines.forEach(putMachine);
    put(world.proposals.length);
    world.proposals.forEach(putProposal);
    put(world.appends.length);
    for (const { epoch, next, target } of world.appends) {
      put(epoch);
      put2(next.id);
      put(target);
    }
    put2(world.chosen.id);
    putBallot(world.chosenAt);
    put(flags(...['1', '2', '3', '4'].map((change) => world.acknowledged.includes(change))));
    put2(world.newest.id);
    put(world.wiped);
    for (const kind of kinds) put(world.left[kind]);
    return bytes.subarray(0, at);
  },
  unpack(packed: Uint8Array): World {
    from = packed;
    at = 0;
    const machines = many(takeMachine);
    const proposals = many(takeProposal);
    const appends = many(() => ({ epoch: take(), next: Tables.contentOf(take2()), target: take() }));
    const chosen = Tables.termOf(take2())!;
    const chosenAt = takeBallot();
    const set = take();
    const acknowledged = ['1', '2', '3', '4'].filter((_change, index) => isSet(set, index)).join('');
    const newest = Tables.contentOf(take2());
    const wiped = take();
    const left = Object.fromEntries(kinds.map((kind) => [kind, take()])) as Left;
    return { machines, proposals, appends, chosen, chosenAt, acknowledged, newest, wiped, left };
  },
};
