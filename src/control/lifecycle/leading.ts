// A core that leads: it opens its term with a first change, keeps the cores in sync, and after a forming
// takes the newest state that nodes hold, once they have had the time to offer it.

import { Instant } from '../../common/instant.js';
import { Revision } from '../../common/revision.js';
import { Stamp } from '../../common/stamp.js';
import { Timer } from '../../common/timer.js';
import type { Ballot } from '../../epoch/ballot.js';
import { Term } from '../../epoch/term.js';
import { Primary } from '../../replica/primary.js';
import { State } from '../../store/state.js';
import type { FormationRules } from '../formation-rules.js';
import type { CoreContext } from './core-context.js';

export type Leading = {
  /** Begins to lead under a term that names this core primary and is chosen. */
  readonly begin: (term: Term, ballot: Ballot) => Promise<void>;
  readonly step: () => Promise<void>;
};

/** How long one step waits for the upkeep of the cores in sync, which goes on beside it. */
const stepFor = 150;
/** How long nodes have to offer what they hold after a forming, in milliseconds. */
const gatherFor = { least: 1200, quiet: 600, most: 2500 } as const;

/** Whether the cores form for the very first time, when no node can hold anything. */
const isFirstStart = (needs: CoreContext['options'], leader: Primary): boolean =>
  needs.isInitial && leader.state().formed === 0;

/** Whether the nodes had the time to offer the newest state that they hold. */
const isGathered = ({ options: needs }: CoreContext, leader: Primary, ledSince: Instant): boolean => {
  if (isFirstStart(needs, leader)) return true;
  const ledFor = Instant.since(ledSince);
  return ledFor > gatherFor.most || (ledFor > gatherFor.least && needs.quietFor() > gatherFor.quiet);
};

const settle = async (life: CoreContext, leader: Primary, ledSince: Instant): Promise<void> => {
  const { options: needs } = life;
  const offered = needs.offeredView();
  const { formed } = leader.term();
  const isLate = Stamp.isNewer(offered.stamp, leader.state().stamp);
  const isUnsettled = leader.state().formed !== formed;
  if ((!isUnsettled && !isLate) || !isGathered(life, leader, ledSince)) return;
  needs.alert('taking the newest state that nodes hold', {
    offered: Stamp.text(offered.stamp),
    held: Stamp.text(leader.state().stamp),
  });
  const isFirst = isFirstStart(needs, leader);
  if (isLate) await leader.raiseEpoch(offered.stamp);
  await leader.commit((_state, { epoch, revision }) => ({
    kind: 'settled',
    formed,
    view: offered,
    ...(isFirst ? { isFirstStart: true as const } : {}),
    stamp: { epoch, revision: Revision.of(Math.max(revision, offered.stamp.revision + 1)) },
  }));
};

const primaryOf = ({ options: needs }: CoreContext, term: Term, ballot: Ballot): Primary =>
  Primary.of({
    disk: needs.register.disk,
    term,
    ballot,
    losses: needs.losses,
    store: needs.store,
    proposer: needs.proposer,
    courierTo: needs.clientFor,
    note: needs.note,
    ...(needs.transfers ? { meter: needs.transfers } : {}),
    publish(state, under) {
      if (State.isSettled(state, under.formed)) needs.publish(State.view(state));
    },
  });

export const Leading = {
  of(life: CoreContext, forming: FormationRules): Leading {
    const { options: needs, phase } = life;
    let ledSince = Instant.now();
    let upkeep: Promise<void> | undefined;
    return {
      async begin(term, ballot) {
        if (life.isLeaving) return;
        phase.transitionTo('leading');
        ledSince = Instant.now();
        needs.note('leading', { term: Term.text(term) });
        const mine = primaryOf(life, term, ballot);
        life.primary = mine;
        void mine.deposed.then((why) => {
          needs.note('deposed', { why });
          if (life.primary === mine) life.primary = undefined;
          if (phase.is('leading')) phase.transitionTo('following');
          life.wake();
        });
        await mine.commit((_state, stamp) => ({ kind: 'opened', stamp }));
      },
      async step() {
        const mine = life.primary;
        if (!mine) return;
        if (forming.isAllowed(life.votes)) return mine.depose('too few of the cores remember');
        upkeep ??= mine.maintain().finally(() => {
          upkeep = undefined;
        });
        await Promise.race([upkeep, Timer.sleepAligned(stepFor)]);
        await settle(life, mine, ledSince);
      },
    };
  },
};
