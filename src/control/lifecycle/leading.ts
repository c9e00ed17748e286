/**
 * The leading state of a core: it opens its term with a first change, keeps the other cores in sync, and after a forming
 * adopts the newest state that any node holds, once the nodes have had time to offer it.
 */

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

/** What a leading core does. */
export type Leading = {
  /** Starts to lead under a chosen term that names this core as primary. */
  readonly begin: (term: Term, ballot: Ballot) => Promise<void>;
  /** Maintains the in-sync cores, and settles the state after a forming. */
  readonly step: () => Promise<void>;
};

/** How long one step waits for the maintenance of the in-sync cores, which continues in the background, in milliseconds. */
const maintenanceWaitMs = 150;
/**
 * How long nodes have to offer their state after a forming, in milliseconds: at least `least`, then until no node has
 * joined for `quiet`, and at most `most`.
 */
const offerWindowMs = { least: 1200, quiet: 600, most: 2500 } as const;

/** Whether this is the very first forming, when no node can hold a state. */
const isFirstStart = (options: CoreContext['options'], primary: Primary): boolean =>
  options.isInitial && primary.state().formed === 0;

/** Whether the nodes have had time to offer the newest state that they hold. */
const isOfferWindowOver = ({ options }: CoreContext, primary: Primary, leadingSince: Instant): boolean => {
  if (isFirstStart(options, primary)) return true;
  const leadingFor = Instant.since(leadingSince);
  return (
    leadingFor > offerWindowMs.most ||
    (leadingFor > offerWindowMs.least && options.quietFor() > offerWindowMs.quiet)
  );
};

/** Adopts the newest offered state, or settles the own one if nothing newer was offered. */
const settle = async (context: CoreContext, primary: Primary, leadingSince: Instant): Promise<void> => {
  const { options } = context;
  const offered = options.offeredView();
  const { formed } = primary.term();
  const isOfferNewer = Stamp.isNewer(offered.stamp, primary.state().stamp);
  const isUnsettled = primary.state().formed !== formed;
  if ((!isUnsettled && !isOfferNewer) || !isOfferWindowOver(context, primary, leadingSince)) return;
  const isFirst = isFirstStart(options, primary);
  const log = isFirst ? options.note : options.alert;
  log('settling on the newest state that nodes hold', {
    offered: Stamp.text(offered.stamp),
    held: Stamp.text(primary.state().stamp),
  });
  if (isOfferNewer) await primary.raiseEpoch(offered.stamp);
  await primary.commit((_state, { epoch, revision }) => ({
    kind: 'settled',
    formed,
    view: offered,
    ...(isFirst ? { isFirstStart: true as const } : {}),
    stamp: { epoch, revision: Revision.of(Math.max(revision, offered.stamp.revision + 1)) },
  }));
};

const createPrimary = ({ options }: CoreContext, term: Term, ballot: Ballot): Primary =>
  Primary.of({
    disk: options.register.disk,
    term,
    ballot,
    losses: options.losses,
    store: options.store,
    proposer: options.proposer,
    clientFor: options.clientFor,
    note: options.note,
    ...(options.transfers ? { meter: options.transfers } : {}),
    publish(state, under) {
      if (State.isSettled(state, under.formed)) options.publish(State.view(state));
    },
  });

/** Creates the leading state of a core. */
export const Leading = {
  of(context: CoreContext, rules: FormationRules): Leading {
    const { options, phase } = context;
    let leadingSince = Instant.now();
    let maintenance: Promise<void> | undefined;
    return {
      async begin(term, ballot) {
        if (context.isLeaving) return;
        phase.transitionTo('leading');
        leadingSince = Instant.now();
        options.note('leading', { term: Term.text(term) });
        const primary = createPrimary(context, term, ballot);
        context.primary = primary;
        void primary.deposed.then((why) => {
          options.note('deposed', { why });
          if (context.primary === primary) context.primary = undefined;
          if (phase.is('leading')) phase.transitionTo('following');
          context.wake();
        });
        await primary.commit((_state, stamp) => ({ kind: 'opened', stamp }));
      },
      async step() {
        const primary = context.primary;
        if (!primary) return;
        if (rules.isAllowed(context.votes)) return primary.depose('too few cores still hold the register');
        maintenance ??= primary.maintain().finally(() => {
          maintenance = undefined;
        });
        await Promise.race([maintenance, Timer.sleepAligned(maintenanceWaitMs)]);
        await settle(context, primary, leadingSince);
      },
    };
  },
};
