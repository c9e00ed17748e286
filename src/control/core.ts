// A core machine's life: blank, then following, and leading while the register names it. One task looks
// at the register, the links and the votes, and takes the next step; each change of state goes through
// the phase. A second task asks the others for their votes all the while, so that a silent one holds up no
// step. What each state does stands in `life/`; here they are joined.

import { Failure } from '../common/failure.js';
import { Instant } from '../common/instant.js';
import { StateMachine } from '../common/state-machine.js';
import { Timer } from '../common/timer.js';
import { Ballot } from '../epoch/ballot.js';
import { Term } from '../epoch/term.js';
import type { Primary } from '../replica/primary.js';
import { State } from '../store/state.js';
import type { Frame } from '../wire/frame.js';
import { FormationRules } from './formation-rules.js';
import { ClusterFormation } from './lifecycle/cluster-formation.js';
import type { CoreContext } from './lifecycle/core-context.js';
import { Following } from './lifecycle/following.js';
import { Joining } from './lifecycle/joining.js';
import { KnownTerm } from './lifecycle/known-term.js';
import { Leading } from './lifecycle/leading.js';
import { Leaving } from './lifecycle/leaving.js';

export type Core = {
  readonly state: () => Core.State;
  readonly leading: () => Primary | undefined;
  readonly term: () => Term | undefined;
  readonly join: (core: Frame.Core) => Promise<string>;
  readonly isRetired: () => boolean;
  readonly confirmationAge: () => number | undefined;
  /** The primary asks this core to take over; returns the reason where it will not. */
  readonly requestTakeover: () => string | undefined;
  /** Releases another core that is about to end, where this one leads. */
  readonly release: (core: Frame.Core, successor: Frame.Core | null) => Promise<string>;
  readonly isLeaving: () => boolean;
  /** Hands over what this core does before it ends, as far as that goes within a bound. */
  readonly leave: () => Promise<void>;
  readonly wake: () => void;
  readonly force: () => Promise<string>;
  readonly begin: () => void;
  /** Ends within a bound, whatever the disk and the others do: no change that waits is acknowledged any more. */
  readonly stop: () => Promise<void>;
};

export declare namespace Core {
  type State = CoreContext.State;
  type Options = CoreContext.Options;
}

/** The pause between two steps, and between two rounds of votes at a blank core, in milliseconds. */
const stepEvery = 150;
const votesEvery = 700;
/** How long the end of a core waits for the step and the round of votes under way. */
const stopWithin = 700;

/** Runs steps until the signal; `wake` of what it returns lets the next one come at once. */
const runSteps = (step: () => Promise<void>, signal: AbortSignal) => {
  let rest = new AbortController();
  const wake = () => rest.abort();
  signal.addEventListener('abort', wake, { once: true });
  const run = async () => {
    while (!signal.aborted) {
      await step();
      rest = new AbortController();
      if (!signal.aborted) await Timer.sleepAligned(stepEvery, rest.signal);
    }
  };
  return { run, wake };
};

const phaseOf = (note: CoreContext.Options['note']): StateMachine<CoreContext.State> =>
  StateMachine.of<CoreContext.State>(
    'blank',
    {
      blank: ['following', 'stopped'],
      following: ['leading', 'stopped'],
      leading: ['following', 'stopped'],
      stopped: [],
    },
    (from, to) => note('core changed', { from, to }),
  );

const confirmedFor = ({ primary }: CoreContext): number | undefined => {
  const isSettled = primary && State.isSettled(primary.state(), primary.term().formed);
  return primary && isSettled && primary.isLeading() ? Instant.since(primary.confirmedAt()) : undefined;
};

const lifeOf = (needs: Core.Options, wake: () => void, onOther: (term: Term) => void): CoreContext => {
  const life: CoreContext = {
    options: needs,
    phase: phaseOf(needs.note),
    knownTerm: KnownTerm.of(onOther),
    votes: [],
    primary: undefined,
    isAskedToTakeOver: false,
    isLeaving: false,
    wake,
    async collectVotes() {
      life.votes = await needs.proposer.votes();
      for (const { term, accepted } of life.votes) life.knownTerm.learn(term, accepted ?? Ballot.none);
      await life.primary?.announce(life.votes);
    },
  };
  return life;
};

export const Core = {
  of(needs: Core.Options): Core {
    const { register, note } = needs;
    const stop = new AbortController();
    const steps = runSteps(() => step(), stop.signal);
    const life = lifeOf(needs, steps.wake, (term) => {
      life.isAskedToTakeOver = false;
      following.reset();
      if (term.primary !== register.disk) life.primary?.depose(`deposed by ${Term.text(term)}`);
    });
    const { phase, knownTerm: known } = life;
    const forming = FormationRules.of(needs);
    const regrouping = ClusterFormation.of(life, forming);
    const leading = Leading.of(life, forming);
    const following = Following.of(life, leading);
    const joining = Joining.of(life);
    const leaving = Leaving.of(life, joining);
    known.learn(register.term(), register.accepted());
    register.watch((term) => {
      life.votes = [];
      known.learn(term, register.accepted());
      steps.wake();
    });
    const survey = async () => {
      while (!stop.signal.aborted) {
        await life.collectVotes().catch((error) => note('no votes came', { why: Failure.text(error) }));
        steps.wake();
        await Timer.sleepAligned(phase.is('blank') ? stepEvery : votesEvery, stop.signal);
      }
    };
    const take = async () => {
      await joining.retireIfReplaced();
      if (phase.is('blank') && !register.isBlank()) phase.transitionTo('following');
      needs.connectTo([...(known.term()?.cores.map((core) => core.wire) ?? []), ...needs.addresses()]);
      if (phase.is('leading')) await leading.step();
      else if (!(await regrouping.step())) await (phase.is('blank') ? joining.ask() : following.step());
    };
    const step = () =>
      take().catch((error) => note('core step failed', { state: phase.state, why: Failure.text(error) }));
    let tasks: Promise<unknown> = Promise.resolve();
    return {
      begin() {
        tasks = Promise.all([survey(), steps.run()]);
      },
      state: () => phase.state,
      leading: () => (life.primary?.isLeading() ? life.primary : undefined),
      term: () => life.primary?.term() ?? known.term(),
      join: async (core) => (life.primary ? life.primary.join(core) : 'this core does not lead'),
      force: regrouping.force,
      isRetired: joining.isRetired,
      confirmationAge: () => confirmedFor(life),
      requestTakeover() {
        if (life.isLeaving) return 'this core is about to end';
        life.isAskedToTakeOver = true;
        steps.wake();
        return undefined;
      },
      release: async (core, successor) => life.primary?.leave(core, successor) ?? 'this core does not lead',
      isLeaving: () => life.isLeaving,
      leave: leaving.run,
      wake: steps.wake,
      async stop() {
        stop.abort();
        life.isLeaving = true;
        life.primary?.depose('this core ends');
        await Promise.race([tasks, Timer.sleep(stopWithin)]);
        if (!phase.is('stopped')) phase.transitionTo('stopped');
      },
    };
  },
};
