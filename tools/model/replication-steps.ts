// Steps of replication, as in `src/replica`: a primary begins a change, its own disk and the backups sync it, it is
// acknowledged, and the set in sync or the epoch is changed when a backup does not confirm. A request to a backup
// and its answer are one step; that the primary acts on the answer later, or never, is left to the other steps.

import { Epoch } from '../../src/common/epoch.js';
import { Stamp } from '../../src/common/stamp.js';
import { Term } from '../../src/epoch/term.js';
import { InSyncSet } from '../../src/replica/in-sync-set.js';
import { Acceptor } from './acceptor.js';
import type { Plant } from './bounds.js';
import { Disks } from './disks.js';
import { Invariants } from './invariants.js';
import { Proposing } from './proposing.js';
import type { Emit, Setting, Step } from './step.js';
import { type Content, Tables } from './tables.js';
import { type Leader, type Machine, type Work, World } from './world.js';

const nameOf = (machine: Machine): string => Disks.name(machine.disk);
const textOf = ({ stamp, history }: Content): string =>
  `${Stamp.text(stamp)} with ${history === '' ? 'no change' : `change ${[...history].join(' ')}`}`;

type Led = { readonly machine: Machine; readonly index: number; readonly leader: Leader };

const led = (world: World): readonly Led[] =>
  world.machines.flatMap((machine, index) =>
    machine.leader ? [{ machine, index, leader: machine.leader }] : [],
  );

const backupsOf = ({ leader, machine }: Led): Disks =>
  Disks.and(leader.term.inSync, ~Disks.only(machine.disk));

const work = (next: Content): Work => ({ next, isLocal: false, holders: Disks.none });

const isOnBase = (history: string, change: number, isChain: boolean): boolean =>
  isChain ? history.length === change : history === '';

/** A new primary opens; an open one begins an operator's change whose base it holds. */
const begin: Step = (world, { bounds }, emit) => {
  for (const { machine, index, leader } of led(world)) {
    if (leader.work || machine.attempt) continue;
    const { stamp, history } = machine.held;
    const contentOf = (changed: string) => Tables.content(leader.term.epoch, stamp.revision + 1, changed);
    if (!leader.isOpen) {
      const next = contentOf(history);
      emit(
        World.lead(world, index, { work: work(next) }),
        () => `${nameOf(machine)} opens with ${textOf(next)}`,
      );
      continue;
    }
    for (let change = 0; change < bounds.changes; change += 1) {
      if (!isOnBase(leader.acknowledged.history, change, bounds.isChain)) continue;
      const next = contentOf(`${history}${change + 1}`);
      emit(
        World.lead(world, index, { work: work(next) }),
        () => `${nameOf(machine)} takes change ${change + 1} of operator ${change + 1}: ${textOf(next)}`,
      );
    }
    if (world.left.joins > 0 && world.left.alters > 0)
      emit(
        World.lead(world, index, { work: { ...work(machine.held), isLocal: true } }),
        () => `${nameOf(machine)} offers what it holds, to replace a member in sync`,
      );
  }
};

/** The primary's own disk has synced the change. */
const syncOwn: Step = (world, _setting, emit) => {
  for (const { machine, index, leader } of led(world))
    if (leader.work && !leader.work.isLocal) {
      const next = World.lead(world, index, { work: { ...leader.work, isLocal: true } });
      const { next: held } = leader.work;
      emit(World.put(next, index, { held }), () => `${nameOf(machine)} has synced ${textOf(held)}`);
    }
};

const targets = (world: World, one: Led): number[] => {
  const isOffered = (disk: number) =>
    Disks.has(one.leader.term.inSync, disk) || (world.left.alters > 0 && one.machine.attempt === null);
  return world.machines.flatMap((machine, index) =>
    index !== one.index && Disks.has(one.leader.term.cores, machine.disk) && isOffered(machine.disk)
      ? [index]
      : [],
  );
};

/** A core that the primary offers the state to syncs it, and answers. */
const append: Step = (world, { plants }, emit) => {
  for (const one of led(world)) {
    const { machine, index, leader } = one;
    if (!leader.work) continue;
    const { next, holders } = leader.work;
    for (const target of targets(world, one)) {
      const backup = world.machines[target]!;
      if (Disks.has(holders, backup.disk)) continue;
      const { isHeld: isTaken, machine: after } = Acceptor.take(backup, leader.term.epoch, next, plants);
      const told = Math.max(leader.told, backup.floor > leader.term.epoch ? backup.floor : 0);
      if (!isTaken && told === leader.told && after.floor === backup.floor) continue;
      const counted = isTaken ? Disks.add(holders, backup.disk) : holders;
      const answered = World.lead(world, index, { told, work: { ...leader.work, holders: counted } });
      emit(World.put(answered, target, after), () =>
        isTaken
          ? `${nameOf(backup)} ${after.held === next ? 'takes' : `holds ${textOf(after.held)}, newer than`} ${textOf(next)} from ${nameOf(machine)} under epoch ${leader.term.epoch}`
          : `${nameOf(backup)} refuses ${nameOf(machine)}: its floor is ${after.floor}`,
      );
    }
  }
};

/** A copy of an append stays on its way. */
const holdBack: Step = (world, _setting, emit) => {
  if (world.left.late === 0) return;
  for (const one of led(world)) {
    const { machine, leader } = one;
    if (!leader.work) continue;
    const { next } = leader.work;
    for (const target of targets(world, one)) {
      const late = { epoch: leader.term.epoch, next, target: world.machines[target]!.disk };
      emit(
        { ...World.spend(world, 'late'), appends: [...world.appends, late] },
        () => `${textOf(next)} from ${nameOf(machine)} to ${Disks.name(late.target)} is held up on its way`,
      );
    }
  }
};

/** A held-up append arrives; nobody waits for the answer. */
const arriveLate: Step = (world, { plants }, emit) => {
  world.appends.forEach((late, at) => {
    const index = world.machines.findIndex((machine) => machine.disk === late.target);
    if (index < 0) return;
    const backup = world.machines[index]!;
    const { machine } = Acceptor.take(backup, late.epoch, late.next, plants);
    if (machine.held === backup.held) return;
    const appends = world.appends.filter((_one, other) => other !== at);
    emit(
      World.put({ ...world, appends }, index, machine),
      () => `${nameOf(backup)} takes ${textOf(late.next)} of epoch ${late.epoch}, held up until now`,
    );
  });
};

const isHeld = (one: Led, plants: ReadonlySet<Plant>): boolean => {
  const { leader } = one;
  const isWhole =
    plants.has('in-sync-shrunk') || Disks.count(leader.term.inSync) * 2 > leader.term.value.cores.length;
  const isSure = !leader.isUnsure || plants.has('unsure-acknowledged');
  const isConfirmed =
    plants.has('backup-not-waited-for') || Disks.includes(leader.work?.holders ?? 0, backupsOf(one));
  return isWhole && isSure && isConfirmed;
};

/** The primary acknowledges what its own disk and all others in sync hold. */
const acknowledge: Step = (world, { bounds, plants }, emit) => {
  for (const one of led(world)) {
    const { machine, index, leader } = one;
    if (!leader.work?.isLocal || machine.attempt || !isHeld(one, plants)) continue;
    const { next } = leader.work;
    const isRefresh = next === leader.acknowledged;
    const after = World.lead(world, index, { acknowledged: next, isOpen: true, work: null });
    const seen = isRefresh ? { world: after } : Invariants.acknowledged(after, next, bounds);
    emit(seen.world, () => `${nameOf(machine)} ACKNOWLEDGES ${textOf(next)}`, seen.breach);
  }
};

/** A replacement of a member in sync is given up for now. */
const drop: Step = (world, _setting, emit) => {
  for (const { machine, index, leader } of led(world))
    if (leader.work && leader.work.next === leader.acknowledged && !machine.attempt)
      emit(World.lead(world, index, { work: null }), () => `${nameOf(machine)} offers no more`);
};

/** A primary changes the register, as `alter` in `primary.ts`. */
const alter = (
  world: World,
  one: Led,
  { plants }: Setting,
  next: (base: Term) => Term | undefined,
  emit: Emit,
  text: string,
): void => {
  const { machine, index, leader } = one;
  for (const quorum of Proposing.quorums(world, index, plants)) {
    const { base } = quorum;
    const isMine = base.epoch === leader.term.epoch && base.primary === machine.disk;
    const wanted = isMine ? next(base.value) : undefined;
    const spent = World.spend(world, 'alters');
    const begun = Proposing.begin(spent, { proposer: index, isClaim: false, quorum, wanted }, plants);
    const voters = quorum.voters.map((voter) => nameOf(world.machines[voter]!)).join(' ');
    const what = wanted ? text : 'finds another term and writes it back';
    emit(
      World.lead(begun, index, { isUnsure: true }),
      () => `${nameOf(machine)} ${what}, with promises of ${voters}`,
    );
  }
};

const choices = (one: Led, losses: number, plants: ReadonlySet<Plant>): readonly Disks[] => {
  const { leader, machine } = one;
  const own = Disks.only(machine.disk);
  if (plants.has('in-sync-shrunk')) return [own];
  const others = Disks.and(leader.term.cores, ~own);
  const able = plants.has('member-before-it-caught-up')
    ? others
    : Disks.and(leader.work?.holders ?? 0, others);
  const codes = Disks.names(able).map(Disks.codeOf);
  return Proposing.subsets(codes)
    .filter((some) => some.length === losses)
    .map((some) => some.reduce((disks, code) => Disks.add(disks, code), own))
    .filter((disks) => disks !== leader.term.inSync || leader.isUnsure);
};

/** Other cores that hold the state take the places of those that did not confirm. */
const swap: Step = (world, setting, emit) => {
  if (world.left.alters === 0) return;
  const { bounds, plants } = setting;
  for (const one of led(world)) {
    const { machine, index, leader } = one;
    if (!leader.work || machine.attempt || isHeld(one, new Set())) continue;
    for (const inSync of choices(one, bounds.losses, plants)) {
      const names = Disks.names(inSync);
      const swapped = plants.has('member-before-it-caught-up')
        ? World.lead(world, index, { work: { ...leader.work, holders: inSync } })
        : world;
      const next = (base: Term) => InSyncSet.swap(base, names);
      alter(swapped, one, setting, next, emit, `proposes ${names.join(' ')} in sync`);
    }
  }
};

/** The primary goes on above an epoch that a backup promised in vain. */
const goAbove: Step = (world, setting, emit) => {
  if (world.left.alters === 0) return;
  for (const one of led(world)) {
    const { machine, leader } = one;
    if (!leader.work || machine.attempt || leader.told <= leader.term.epoch) continue;
    const next = (base: Term) =>
      Term.next({ ...base, epoch: Epoch.of(Math.max(base.epoch, leader.told)) }, {});
    alter(world, one, setting, next, emit, `goes on above epoch ${leader.told}`);
  }
};

/** An empty core takes the place of one that is not in sync, as `join` in `primary.ts`. */
const join: Step = (world, setting, emit) => {
  if (world.left.joins === 0) return;
  const spent = World.spend({ ...world, left: { ...world.left, alters: world.left.alters + 1 } }, 'joins');
  for (const one of led(world)) {
    const { machine, leader } = one;
    if (!leader.isOpen || leader.work || machine.attempt) continue;
    for (const joining of world.machines) {
      if (joining.term !== null || Disks.has(leader.term.cores, joining.disk)) continue;
      const core = Disks.core(joining.disk);
      for (const old of Disks.names(Disks.and(leader.term.cores, ~leader.term.inSync))) {
        const next = (base: Term) =>
          Term.next(base, { cores: base.cores.map((other) => (other.disk === old ? core : other)) });
        alter(spent, one, setting, next, emit, `proposes ${core.disk} in the place of ${old}`);
      }
    }
  }
};

export const ReplicationSteps = {
  all: [
    begin,
    syncOwn,
    append,
    holdBack,
    arriveLate,
    acknowledge,
    drop,
    swap,
    goAbove,
    join,
  ] as readonly Step[],
};
