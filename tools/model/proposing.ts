// The proposer's side of the register, as in `src/epoch/proposer.ts`: the promises of a first majority, the value
// made of the newest term among them, and the end of the attempt. All promises that one attempt counts are given
// in one step; that others promise its ballot uncounted, before or after, is a step of its own.
import { Ballot } from '../../src/epoch/ballot.js';
import { Term } from '../../src/epoch/term.js';
import { Acceptor } from './acceptor.js';
import type { Plant } from './bounds.js';
import { Disks } from './disks.js';
import { type KnownTerm, Tables } from './tables.js';
import { type Machine, type Proposal, World } from './world.js';

const subsetsOf = new Map<string, readonly (readonly number[])[]>();

const subsets = (items: readonly number[]): readonly (readonly number[])[] => {
  const key = items.join();
  const found = subsetsOf.get(key);
  if (found) return found;
  const made = Array.from({ length: 2 ** items.length }, (_none, bits) =>
    items.filter((_item, index) => (bits >> index) & 1),
  );
  subsetsOf.set(key, made);
  return made;
};

const byBallot = (a: Machine, b: Machine): number =>
  a.term && b.term ? Term.compare(a.term.value, a.accepted, b.term.value, b.accepted) : 0;
const byEpoch = (a: Machine, b: Machine): number => (a.term?.epoch ?? 0) - (b.term?.epoch ?? 0);

const baseOf = (
  machines: readonly Machine[],
  voters: readonly number[],
  compare: (a: Machine, b: Machine) => number,
): KnownTerm | null => {
  let base: Machine | undefined;
  for (const voter of voters) {
    const machine = machines[voter]!;
    if (machine.term && (!base || compare(machine, base) > 0)) base = machine;
  }
  return base?.term ?? null;
};

/** Whether the disks hold a majority of the cores of the term. */
const isMajority = (disks: Disks, term: KnownTerm): boolean =>
  Disks.count(Disks.and(disks, term.cores)) >= term.majority;

const disksOf = (machines: readonly Machine[], voters: readonly number[]): Disks =>
  voters.reduce((disks, voter) => Disks.add(disks, machines[voter]!.disk), Disks.none);

/** Promises that make a quorum, and the newest term they tell. */
export type Quorum = { readonly voters: readonly number[]; readonly base: KnownTerm };

/** A change of the register as a proposer begins it. */
export type Proposing = {
  readonly proposer: number;
  readonly isClaim: boolean;
  readonly quorum: Quorum;
  /** The wanted value; undefined writes the found term back. */
  readonly wanted: Term | undefined;
};

export const Proposing = {
  subsets,
  isMajority,
  /** Every set of promises with which the proposer may stop waiting: its own is always among them. */
  quorums(world: World, proposer: number, plants: ReadonlySet<Plant>): readonly Quorum[] {
    const { machines } = world;
    const grants = (index: number) => machines[index]!.term !== null || plants.has('empty-disk-votes');
    const compare = plants.has('newest-term-by-epoch') ? byEpoch : byBallot;
    if (machines[proposer]!.term === null) return [];
    const quorumOf = (voters: readonly number[]): Quorum | undefined => {
      const base = baseOf(machines, voters, compare);
      return base && isMajority(disksOf(machines, voters), base) ? { voters, base } : undefined;
    };
    const others = machines.map((_machine, index) => index).filter((one) => one !== proposer && grants(one));
    return subsets(others).flatMap((some) => {
      const quorum = quorumOf([proposer, ...some]);
      const isLeast =
        some.length === 0 ||
        some.some((left) => !quorumOf([proposer, ...some.filter((one) => one !== left)]));
      return quorum && isLeast ? [quorum] : [];
    });
  },
  /** The ballot above all that the voters promised. */
  ballotAbove: (machines: readonly Machine[], voters: readonly number[], proposer: number): Ballot => {
    const highest = Math.max(...voters.map((voter) => machines[voter]!.promised.round));
    const { round, disk } = Ballot.after(highest, Disks.name(machines[proposer]!.disk));
    return Tables.ballot(round, disk);
  },
  promise: (
    world: World,
    voters: readonly number[],
    ballot: Ballot,
    isForming: boolean,
    plants: ReadonlySet<Plant>,
  ): World => ({
    ...world,
    machines: world.machines.map((machine, index) =>
      voters.includes(index) ? (Acceptor.promise(machine, ballot, isForming, plants) ?? machine) : machine,
    ),
  }),
  send(world: World, proposal: Proposal): World {
    const proposals = [...world.proposals, proposal].sort((a, b) => Ballot.compare(a.ballot, b.ballot));
    return { ...world, proposals };
  },
  /** Both phases up to the sending of the accept requests. */
  begin(world: World, proposing: Proposing, plants: ReadonlySet<Plant>): World {
    const { proposer, isClaim, quorum, wanted } = proposing;
    const ballot = Proposing.ballotAbove(world.machines, quorum.voters, proposer);
    const value = wanted ? Tables.term(wanted) : quorum.base;
    const promised = Proposing.promise(world, quorum.voters, ballot, false, plants);
    const sent = Proposing.send(promised, {
      ballot,
      value,
      base: quorum.base,
      accepted: Disks.none,
      isChosen: false,
    });
    return World.put(sent, proposer, { attempt: { ballot, isClaim, isWanted: wanted !== undefined } });
  },
  /** Whether the proposal was accepted by all that its proposer waits for. */
  isDone(proposal: Proposal, own: number, plants: ReadonlySet<Plant>): boolean {
    const { accepted, value, base } = proposal;
    const isBefore = base === null || isMajority(accepted, base);
    const isAfter = isMajority(accepted, value);
    const isOwn =
      plants.has('take-over-forgotten-by-its-disk') ||
      Disks.has(accepted, own) ||
      !Disks.has(value.cores, own);
    if (!isOwn) return false;
    if (plants.has('membership-by-the-majority-after')) return isAfter;
    return isBefore && isAfter;
  },
};
