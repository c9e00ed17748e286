// Steps of machines and of answers: a process ends with or without its disk, and a primary answers an operator from
// what it holds, once a majority confirms its term. Only answers that are out of date when they are made are
// followed, for no other can break a rule.
import { Acceptor } from './acceptor.js';
import type { Plant } from './bounds.js';
import { Disks } from './disks.js';
import { Invariants } from './invariants.js';
import type { Step } from './step.js';
import { type Answer, type Machine, World } from './world.js';

const nameOf = (machine: Machine): string => Disks.name(machine.disk);

/** A process ends and starts again with its disk. */
const restart: Step = (world, { plants }, emit) => {
  if (world.left.restarts === 0) return;
  world.machines.forEach((machine, index) => {
    const after = Acceptor.restarted(machine, plants);
    if (!machine.leader && !machine.attempt && machine.floor === after.floor) return;
    emit(
      World.put(World.spend(world, 'restarts'), index, after),
      () => `${nameOf(machine)} is killed and starts again`,
    );
  });
};

const missingCores = (world: World): number =>
  Disks.names(world.chosen.cores).filter(
    (name) => !world.machines.some((machine) => machine.term !== null && Disks.name(machine.disk) === name),
  ).length;

const isBearable = (world: World, losses: number, formings: number): boolean => {
  if (missingCores(world) <= losses) return true;
  const isHolder = ({ disk, term, held }: Machine) =>
    term !== null &&
    Disks.has(world.chosen.inSync, disk) &&
    [...world.acknowledged].every((change) => held.history.includes(change));
  return formings > 0 && world.machines.some(isHolder);
};

/** A process ends and its disk with it; the machine is empty then. */
const wipe: Step = (world, { bounds, plants }, emit) => {
  if (world.left.wipes === 0) return;
  world.machines.forEach((machine, index) => {
    const isLast = (machine.disk + 1) % Disks.generations === 0;
    if (isLast || machine.term === null) return;
    const spent = { ...World.spend(world, 'wipes'), wiped: world.wiped + 1 };
    const disk = plants.has('empty-disk-votes') ? machine.disk : machine.disk + 1;
    const after = World.put(spent, index, World.blank(disk));
    if (!isBearable(after, bounds.losses, world.left.formings)) return;
    emit(after, () => `${nameOf(machine)} loses its disk and starts as ${Disks.name(disk)}`);
  });
};

const isConfirmed = ({ agreeing, term }: Answer, plants: ReadonlySet<Plant>): boolean =>
  Disks.count(agreeing) >= (plants.has('answer-without-majority') ? 1 : term.majority);

const breachOf = (machine: Machine, answer: Answer, plants: ReadonlySet<Plant>): string | undefined =>
  isConfirmed(answer, plants) && machine.leader?.isOpen
    ? `${nameOf(machine)} gave an answer that was out of date when it was made`
    : undefined;

const agrees = (machine: Machine, { term }: Pick<Answer, 'term'>): boolean =>
  machine.term === term && Disks.has(term.cores, machine.disk);

/** A primary makes an answer from what it holds, and counts its own vote. */
const answer: Step = (world, { plants }, emit) => {
  world.machines.forEach((machine, index) => {
    const { leader } = machine;
    if (!leader?.isOpen || machine.answer) return;
    const why = Invariants.outOfDate(world, index);
    if (!why) return;
    const { term } = leader;
    const agreeing = agrees(machine, { term }) ? Disks.only(machine.disk) : Disks.none;
    const made = { isRefusal: plants.has('refusal-under-a-later-term'), term, agreeing };
    emit(
      World.put(world, index, { answer: made }),
      () => `${nameOf(machine)} makes an answer and asks for votes; it ${why}`,
      breachOf(machine, made, plants),
    );
  });
};

/** A vote for the term under which an answer was made. */
const vote: Step = (world, { plants }, emit) => {
  world.machines.forEach((machine, index) => {
    const made = machine.answer;
    if (!made || !machine.leader?.isOpen) return;
    for (const voter of world.machines) {
      if (!agrees(voter, made) || Disks.has(made.agreeing, voter.disk)) continue;
      const after = { ...made, agreeing: Disks.add(made.agreeing, voter.disk) };
      emit(
        World.put(world, index, { answer: after }),
        () => `${nameOf(voter)} votes that it holds the term of epoch ${made.term.epoch}`,
        breachOf(machine, after, plants),
      );
    }
  });
};

export const MachineSteps = { all: [restart, wipe, answer, vote] as readonly Step[] };
