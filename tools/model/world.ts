// One state of the model: the machines with what lies on their disks and what only their processes know, the
// requests that may still arrive, and what an observer of all of it has seen. A request that is lost never
// arrives; one that is late or doubled arrives at any time while it could still change something.

import { Epoch } from '../../src/common/epoch.js';
import { Ballot } from '../../src/epoch/ballot.js';
import type { Bounds } from './bounds.js';
import { Disks } from './disks.js';
import { type Content, type KnownTerm, Tables } from './tables.js';

/** What a primary is replicating. */
export type Work = {
  readonly next: Content;
  /** Whether its own disk has synced it. */
  readonly isLocal: boolean;
  /** The disks that confirmed it under the term in force. */
  readonly holders: Disks;
};

/** A primary, as in `Primary.of`. */
export type Leader = {
  readonly term: KnownTerm;
  readonly acknowledged: Content;
  readonly isOpen: boolean;
  readonly isUnsure: boolean;
  /** The highest floor that a backup told, as `promised` there. */
  readonly told: number;
  readonly work: Work | null;
};

/** A change of the register under way at its proposer, from the promises on. */
export type Attempt = {
  readonly ballot: Ballot;
  readonly isClaim: boolean;
  /** Whether the proposer wants the value; else it writes back what it found. */
  readonly isWanted: boolean;
};

/** An answer whose content was out of date when it was made, and the votes that confirm it so far. */
export type Answer = {
  readonly isRefusal: boolean;
  readonly term: KnownTerm;
  readonly agreeing: Disks;
};

/** A machine: its disk first, then what ends with the process. */
export type Machine = {
  readonly disk: number;
  readonly promised: Ballot;
  readonly accepted: Ballot;
  readonly term: KnownTerm | null;
  readonly held: Content;
  /** The floor as it was when the register's last record was synced. */
  readonly keptFloor: number;
  readonly floor: number;
  readonly attempt: Attempt | null;
  readonly leader: Leader | null;
  readonly answer: Answer | null;
};

/** A proposed term, whose accept requests may still arrive. */
export type Proposal = {
  readonly ballot: Ballot;
  readonly value: KnownTerm;
  /** The term it follows; null for one that forms the cores. */
  readonly base: KnownTerm | null;
  readonly accepted: Disks;
  /** Whether it is sent as chosen, which a blank core may accept. */
  readonly isChosen: boolean;
};

/** An append of a whole state that is still on its way. */
export type LateAppend = { readonly epoch: number; readonly next: Content; readonly target: number };

/** What each kind of event may still do in this run. */
export type Left = Pick<
  Bounds,
  'claims' | 'alters' | 'restarts' | 'wipes' | 'joins' | 'formings' | 'late' | 'strays'
>;

export type World = {
  readonly machines: readonly Machine[];
  readonly proposals: readonly Proposal[];
  readonly appends: readonly LateAppend[];
  /** Seen from outside: the newest term that was chosen, and its ballot. */
  readonly chosen: KnownTerm;
  readonly chosenAt: Ballot;
  /** Seen from outside: the changes that were acknowledged, and the newest content acknowledged. */
  readonly acknowledged: string;
  readonly newest: Content;
  readonly wiped: number;
  readonly left: Left;
};

const isOpenStill = (world: World, { ballot, value, base, accepted, isChosen }: Proposal): boolean =>
  world.machines.some(
    (machine) =>
      (machine.attempt !== null && Ballot.compare(machine.attempt.ballot, ballot) === 0) ||
      (Disks.has(value.cores, machine.disk) &&
        (machine.term !== null || isChosen || base === null) &&
        !Disks.has(accepted, machine.disk) &&
        Ballot.compare(ballot, machine.promised) >= 0),
  );

export const World = {
  first(bounds: Bounds): World {
    const size = 2 * bounds.losses + 1;
    const codes = Array.from({ length: size + bounds.spares }, (_none, index) => Disks.code(index, 0));
    const cores = codes.slice(0, size);
    const term = Tables.term({
      epoch: Epoch.of(1),
      formed: Epoch.of(1),
      primary: Disks.name(cores[0]!),
      inSync: cores.slice(0, bounds.losses + 1).map(Disks.name),
      cores: cores.map(Disks.core),
    });
    const ballot = Tables.ballot(1, Disks.name(cores[0]!));
    const held = Tables.content(1, 1, '');
    const leader: Leader = {
      term,
      acknowledged: held,
      isOpen: true,
      isUnsure: false,
      told: 0,
      work: null,
    };
    const { claims, alters, restarts, wipes, joins, formings, late, strays } = bounds;
    return {
      machines: codes.map((code, index) =>
        index < size
          ? {
              ...World.blank(code),
              promised: ballot,
              accepted: ballot,
              term,
              held,
              keptFloor: term.epoch,
              floor: term.epoch,
              leader: index === 0 ? leader : null,
            }
          : World.blank(code),
      ),
      proposals: [],
      appends: [],
      chosen: term,
      chosenAt: ballot,
      acknowledged: '',
      newest: held,
      wiped: 0,
      left: { claims, alters, restarts, wipes, joins, formings, late, strays },
    };
  },
  blank: (disk: number): Machine => ({
    disk,
    promised: Tables.none,
    accepted: Tables.none,
    term: null,
    held: Tables.content(0, 0, ''),
    keptFloor: 0,
    floor: 0,
    attempt: null,
    leader: null,
    answer: null,
  }),
  /** The world with one machine changed. */
  put: (world: World, index: number, change: Partial<Machine>): World => ({
    ...world,
    machines: world.machines.map((machine, at) => (at === index ? { ...machine, ...change } : machine)),
  }),
  lead: (world: World, index: number, change: Partial<Leader>): World => {
    const { leader } = world.machines[index]!;
    return leader ? World.put(world, index, { leader: { ...leader, ...change } }) : world;
  },
  spend: (world: World, kind: keyof Left): World => ({
    ...world,
    left: { ...world.left, [kind]: world.left[kind] - 1 },
  }),
  proposal: (world: World, ballot: Ballot): Proposal | undefined =>
    world.proposals.find((one) => Ballot.compare(one.ballot, ballot) === 0),
  /** Forget requests that can change nothing any more, and answers of primaries that are none any more. */
  tidy(world: World): World {
    const proposals = world.proposals.filter((one) => isOpenStill(world, one));
    const appends = world.appends.filter(({ epoch, target }) =>
      world.machines.some(({ disk, term }) => disk === target && (term === null || term.epoch <= epoch)),
    );
    const isStale = ({ answer, leader }: Machine) => answer !== null && !answer.isRefusal && leader === null;
    const machines = world.machines.some(isStale)
      ? world.machines.map((machine) => (isStale(machine) ? { ...machine, answer: null } : machine))
      : world.machines;
    return { ...world, machines, proposals, appends };
  },
};
