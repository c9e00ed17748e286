// What a core does with a request to its register or to its copy of the state. The register's rules are the
// product's own pure functions; the backup's follow `src/replica/backup.ts`, and a test compares the two.

import { Epoch } from '../../src/common/epoch.js';
import { Stamp } from '../../src/common/stamp.js';
import { Acceptor as Rules } from '../../src/epoch/acceptor.js';
import type { Ballot } from '../../src/epoch/ballot.js';
import type { Plant } from './bounds.js';
import { Disks } from './disks.js';
import { type Content, type KnownTerm, Tables } from './tables.js';
import { type Machine, World } from './world.js';

/** What came of an append: whether it counts as held, and the core after it. */
export type Taken = { readonly isHeld: boolean; readonly machine: Machine };

const mayBlankAccept = (plants: ReadonlySet<Plant>): boolean =>
  plants.has('empty-disk-votes') || plants.has('membership-by-the-majority-after');

const keptOf = ({ disk, promised, accepted, term, floor }: Machine): Rules => ({
  disk: Disks.name(disk),
  promised,
  accepted,
  term: term?.value ?? null,
  floor: Epoch.of(floor),
});

/** The core after the register's record was synced, with the floor that went into it. */
const keep = (machine: Machine, { promised, accepted, floor }: Rules, term: KnownTerm | null): Machine => ({
  ...machine,
  promised: Tables.ballot(promised.round, promised.disk),
  accepted,
  term,
  floor,
  keptFloor: floor,
});

const raised = (machine: Machine, epoch: number, plants: ReadonlySet<Plant>): number =>
  plants.has('floor-not-raised') ? 0 : Rules.raiseFloor(keptOf(machine), Epoch.of(epoch)).floor;

const withPlants = (machine: Machine, plants: ReadonlySet<Plant>): Machine =>
  plants.has('floor-not-raised') ? { ...machine, floor: 0, keptFloor: 0 } : machine;

export const Acceptor = {
  raised,
  /** The core after it promised the ballot; undefined when it does not. */
  promise(
    machine: Machine,
    ballot: Ballot,
    isForming: boolean,
    plants: ReadonlySet<Plant>,
  ): Machine | undefined {
    const isFree = isForming || plants.has('empty-disk-votes');
    const kept = Rules.prepare(keptOf(machine), ballot, isFree);
    return kept && withPlants(keep(machine, kept, machine.term), plants);
  },
  /** The core after it accepted the term; undefined when it does not. */
  accept(
    machine: Machine,
    ballot: Ballot,
    term: KnownTerm,
    isChosen: boolean,
    plants: ReadonlySet<Plant>,
  ): Machine | undefined {
    const before = keptOf(machine);
    const kept = Rules.accept(before, ballot, term.value, isChosen || mayBlankAccept(plants));
    if (!kept || kept === before) return kept && machine;
    return withPlants(
      { ...keep(machine, kept, term), accepted: Tables.ballot(ballot.round, ballot.disk) },
      plants,
    );
  },
  /** What a backup makes of a state that is offered under an epoch: one that holds a newer one counts as well. */
  take(machine: Machine, epoch: number, next: Content, plants: ReadonlySet<Plant>): Taken {
    if (epoch < machine.floor || machine.term === null || machine.leader) return { isHeld: false, machine };
    const after = { ...machine, floor: raised(machine, epoch, plants) };
    const isOlder = Stamp.isNewer(machine.held.stamp, next.stamp);
    const isKept = isOlder && !plants.has('late-whole-state-taken');
    return { isHeld: true, machine: isKept ? after : { ...after, held: next } };
  },
  /** The core after its process ended and started again with its disk. */
  restarted(machine: Machine, plants: ReadonlySet<Plant>): Machine {
    const { disk, promised, accepted, term, held, keptFloor } = machine;
    const ofTerm = plants.has('floor-lost-at-restart') ? 0 : (term?.epoch ?? 0);
    const isForgotten = plants.has('floor-lost-at-restart') || plants.has('take-over-forgotten-by-its-disk');
    const floor = isForgotten ? ofTerm : Math.max(keptFloor, ofTerm);
    return { ...World.blank(disk), promised, accepted, term, held, keptFloor, floor };
  },
};
