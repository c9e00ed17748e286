// Steps of the register: a core takes over, an accept request arrives, a proposer learns that its term is chosen or
// gives up, a ballot is promised that nobody counts, and the cores form anew.

import { Epoch } from '../../src/common/epoch.js';
import { FormationRules } from '../../src/control/formation-rules.js';
import type { Proposer } from '../../src/epoch/proposer.js';
import { Term } from '../../src/epoch/term.js';
import { Acceptor } from './acceptor.js';
import { Disks } from './disks.js';
import { Proposing } from './proposing.js';
import type { Setting, Step } from './step.js';
import { type KnownTerm, Tables } from './tables.js';
import { type Leader, type Machine, type Proposal, World } from './world.js';

const nameOf = (machine: Machine): string => Disks.name(machine.disk);
const textOf = (term: KnownTerm): string => Term.text(term.value);

/** A core in sync raises its floor and proposes itself, as `claim` in `core.ts`. */
const claim: Step = (world, { plants }, emit) => {
  if (world.left.claims === 0) return;
  const spent = World.spend(world, 'claims');
  world.machines.forEach((machine, index) => {
    if (machine.leader || machine.attempt || !machine.term) return;
    const name = nameOf(machine);
    const raised = (epoch: number) => Acceptor.raised(machine, epoch + 1, plants);
    if (Term.isInSync(machine.term.value, name) && raised(machine.term.epoch) > machine.floor)
      emit(
        World.put(spent, index, { floor: raised(machine.term.epoch) }),
        () => `${name} tries to take over and hears no majority: its floor is ${machine.floor + 1}`,
      );
    for (const quorum of Proposing.quorums(world, index, plants)) {
      const isWanted = Term.isInSync(quorum.base.value, name);
      if (!isWanted && !Term.isInSync(machine.term.value, name)) continue;
      const wanted = isWanted ? Term.next(quorum.base.value, { primary: name }) : undefined;
      const floor = raised(isWanted ? quorum.base.epoch : machine.term.epoch);
      const ready = World.put(spent, index, { floor });
      const proposing = { proposer: index, isClaim: true, quorum, wanted };
      emit(Proposing.begin(ready, proposing, plants), () => {
        const voters = quorum.voters.map((voter) => nameOf(world.machines[voter]!)).join(' ');
        return isWanted
          ? `${name} raises its floor to ${floor} and proposes itself, with promises of ${voters}`
          : `${name} wants to take over, finds another term with promises of ${voters} and writes it back`;
      });
    }
  });
};

/** What a machine does when it learns of a term: a primary that another one follows is deposed. */
const deposed = (machine: Machine, term: KnownTerm): Partial<Machine> =>
  machine.leader && term.primary !== machine.disk ? { leader: null, attempt: null } : {};

/**
 * The observer's view after a core accepted a proposal. Of what was chosen, each has a higher epoch than the one
 * before; once more disks were lost than may be, a forming may use an epoch again that nobody remembers.
 */
const observed = (world: World, proposal: Proposal, losses: number): { world: World; breach?: string } => {
  const { value, base, accepted, ballot } = proposal;
  const isBefore = base === null || Proposing.isMajority(accepted, base);
  const isChosen = isBefore && Proposing.isMajority(accepted, value);
  const isNewer = Term.compare(value.value, ballot, world.chosen.value, world.chosenAt) > 0;
  if (!isChosen || !isNewer) return { world };
  const isOn = value === world.chosen || value.epoch > world.chosen.epoch || world.wiped > losses;
  return {
    world: { ...world, chosen: value, chosenAt: ballot },
    ...(isOn ? {} : { breach: `the register forked: ${textOf(value)} after ${textOf(world.chosen)}` }),
  };
};

/** An accept request arrives, as `accept` in `register.ts`. */
const accept: Step = (world, { bounds, plants }, emit) => {
  world.proposals.forEach((proposal, at) => {
    const { ballot, value, base, accepted } = proposal;
    world.machines.forEach((machine, index) => {
      if (Disks.has(accepted, machine.disk)) return;
      const kept = Acceptor.accept(machine, ballot, value, proposal.isChosen || base === null, plants);
      if (!kept) return;
      const next = { ...proposal, accepted: Disks.add(accepted, machine.disk) };
      const proposals = world.proposals.map((one, other) => (other === at ? next : one));
      const after = World.put({ ...world, proposals }, index, { ...kept, ...deposed(machine, value) });
      const seen = observed(after, next, bounds.losses);
      emit(
        seen.world,
        () => `${nameOf(machine)} accepts ballot ${ballot.round}.${ballot.disk}: ${textOf(value)}`,
        seen.breach,
      );
    });
  });
};

/** A core that took over becomes the primary of what it holds. */
const lead = (machine: Machine, term: KnownTerm): Partial<Machine> => {
  const leader: Leader = {
    term,
    acknowledged: machine.held,
    isOpen: false,
    isUnsure: false,
    told: 0,
    work: null,
  };
  return { leader, answer: machine.answer && { ...machine.answer, term, agreeing: Disks.none } };
};

/** What its proposer makes of a chosen term, as `claim` and `alter` do. */
const settled = (machine: Machine, proposal: Proposal, plants: Setting['plants']): Partial<Machine> => {
  const { attempt, leader } = machine;
  const { value } = proposal;
  if (attempt?.isClaim) return attempt.isWanted ? lead(machine, value) : {};
  if (!leader) return {};
  if (!attempt?.isWanted && value.primary !== machine.disk) return { leader: null };
  const isOther = value.epoch !== leader.term.epoch && !plants.has('member-before-it-caught-up');
  const work = leader.work && isOther ? { ...leader.work, holders: Disks.none } : leader.work;
  return { leader: { ...leader, term: value, isUnsure: false, work } };
};

/** A proposer has the accepts it waits for. */
const learn: Step = (world, { plants }, emit) => {
  world.machines.forEach((machine, index) => {
    const proposal = machine.attempt && World.proposal(world, machine.attempt.ballot);
    if (!proposal || !Proposing.isDone(proposal, machine.disk, plants)) return;
    const proposals = world.proposals.map((one) => (one === proposal ? { ...one, isChosen: true } : one));
    const next = World.put({ ...world, proposals }, index, {
      ...settled(machine, proposal, plants),
      attempt: null,
    });
    emit(next, () => `${nameOf(machine)} learns that its ballot is chosen: ${textOf(proposal.value)}`);
  });
};

/** A proposer waits no longer; what it sent may still arrive. */
const giveUp: Step = (world, _setting, emit) => {
  world.machines.forEach((machine, index) => {
    if (!machine.attempt) return;
    const { round, disk } = machine.attempt.ballot;
    emit(
      World.put(world, index, { attempt: null }),
      () => `${nameOf(machine)} gives up ballot ${round}.${disk}`,
    );
  });
};

/** A primary hears of a newer term from a vote. */
const notice: Step = (world, _setting, emit) => {
  world.machines.forEach((machine, index) => {
    const { leader } = machine;
    if (!leader) return;
    const newer = world.machines.find(
      ({ term }) => term && term.epoch > leader.term.epoch && term.primary !== machine.disk,
    );
    if (newer)
      emit(
        World.put(world, index, { leader: null, attempt: null }),
        () => `${nameOf(machine)} hears that another core leads`,
      );
  });
};

/** A promise that its proposer does not count: the answer is lost, or the request late. */
const stray: Step = (world, { plants }, emit) => {
  if (world.left.strays === 0) return;
  for (const { ballot } of world.proposals)
    world.machines.forEach((machine, index) => {
      const after = Acceptor.promise(machine, ballot, false, plants);
      if (!after) return;
      emit(
        World.put(World.spend(world, 'strays'), index, after),
        () => `${nameOf(machine)} promises ballot ${ballot.round}.${ballot.disk}, uncounted`,
      );
    });
};

const voteOf = (machine: Machine, isSilentLost: boolean): Proposer.Vote => {
  const value = machine.term?.value ?? null;
  const cores = value?.cores.map((core) => (isSilentLost ? { ...core, wire: '' } : core)) ?? [];
  return {
    isGranted: true,
    isBlank: value === null,
    promised: machine.promised,
    accepted: machine.accepted,
    term: value && { ...value, cores },
    core: Disks.core(machine.disk),
    highest: Epoch.of(machine.held.stamp.epoch),
    isAble: true,
    held: machine.held.stamp,
  };
};

/** A forming that the votes of some machines allow. */
type Possible = { readonly voters: readonly number[]; readonly proposer: number; readonly value: KnownTerm };

const remembered = new Map<string, readonly Possible[]>();
const mostRemembered = 200_000;

const formings = ({ machines }: World, { bounds, plants }: Setting): readonly Possible[] => {
  const forming = FormationRules.of({ losses: bounds.losses, isInitial: false, seeds: [] });
  const all = machines.map((_machine, index) => index);
  return Proposing.subsets(all).flatMap((voters) => {
    if (voters.length < forming.clusterSize) return [];
    const votes = voters.map((voter) => voteOf(machines[voter]!, plants.has('formed-over-a-silent-core')));
    const isAnyKept = votes.some((vote) => !vote.isBlank);
    if ((!isAnyKept && !plants.has('formed-by-empty-cores-alone')) || !forming.isAllowed(votes)) return [];
    const formed = forming.buildTerm(votes);
    const cores = formed.cores.map((core) => Disks.core(Disks.codeOf(core.disk)));
    const first = forming.initiatorDisk(votes);
    const proposer = voters.find((voter) => nameOf(machines[voter]!) === first)!;
    return [{ voters, proposer, value: Tables.term({ ...formed, cores }) }];
  });
};

const formingsOnce = (world: World, setting: Setting): readonly Possible[] => {
  const facts = world.machines.map(({ disk, term, held }) => [disk, term?.id ?? 0, held.id]);
  const key = `${[...setting.plants].join()}/${facts.join()}`;
  const found = remembered.get(key);
  if (found) return found;
  if (remembered.size > mostRemembered) remembered.clear();
  const made = formings(world, setting);
  remembered.set(key, made);
  return made;
};

/** The cores that answer form anew where `Forming` lets them, and one of them at least remembers. */
const form: Step = (world, setting, emit) => {
  if (world.left.formings === 0) return;
  for (const { voters, proposer, value } of formingsOnce(world, setting)) {
    const ballot = Proposing.ballotAbove(world.machines, voters, proposer);
    const promised = Proposing.promise(World.spend(world, 'formings'), voters, ballot, true, setting.plants);
    const proposal = { ballot, value, base: null, accepted: Disks.none, isChosen: true };
    emit(
      Proposing.send(promised, proposal),
      () => `${nameOf(world.machines[proposer]!)} forms the cores anew: ${textOf(value)}`,
    );
  }
};

export const RegisterSteps = {
  all: [claim, accept, learn, giveUp, notice, stray, form] as readonly Step[],
  nameOf,
  textOf,
};
