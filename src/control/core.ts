/**
 * The state machine of a core: blank, then following, and leading while the register names it primary. One loop
 * reads the register, the connections and the votes and takes the next step; each change of state goes through the
 * state machine. A second loop collects the votes of the other cores, so that a silent core delays no step. The
 * behaviour of each state is in `lifecycle/`; this module combines them.
 */

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

/** One core of the control plane: its state among the others, and the requests that change it. */
export type Core = {
  readonly state: () => Core.State;
  /** The primary that runs here, while this core leads. */
  readonly leading: () => Primary | undefined;
  /** The newest term this core knows to be in force. */
  readonly term: () => Term | undefined;
  /** Gives another core a slot, where this one leads; resolves to the reason if it does not. */
  readonly join: (core: Frame.Core) => Promise<string>;
  /** Whether another disk got the slot of this core. */
  readonly isRetired: () => boolean;
  /** Milliseconds since a majority last confirmed this core as primary; undefined unless it leads with a settled state. */
  readonly confirmationAge: () => number | undefined;
  /** Handles the primary's request to take over; returns the reason if this core declines. */
  readonly requestTakeover: () => string | undefined;
  /** Releases another core that is shutting down, where this one leads; resolves to the reason if it does not. */
  readonly release: (core: Frame.Core, successor: Frame.Core | null) => Promise<string>;
  readonly isLeaving: () => boolean;
  /** Hands over the role of this core before shutdown, as far as that succeeds within a time limit. */
  readonly leave: () => Promise<void>;
  /** Runs the next step at once. */
  readonly wake: () => void;
  /** Forms the cores by an operator's command; resolves to the reason if it was not done, else to an empty string. */
  readonly force: () => Promise<string>;
  /** Starts the loops. */
  readonly begin: () => void;
  /** Stops within a time limit even if the disk or the other cores hang; pending changes are no longer acknowledged. */
  readonly stop: () => Promise<void>;
};

/** Types of a core. */
export declare namespace Core {
  type State = CoreContext.State;
  type Options = CoreContext.Options;
}

/** The time between two steps, and between two rounds of votes at a blank core, in milliseconds. */
const stepIntervalMs = 150;
/** The time between two rounds of votes once the core is no longer blank, in milliseconds. */
const voteIntervalMs = 700;
/** How long stopping waits for the step and the round of votes in progress, in milliseconds. */
const stopTimeoutMs = 700;

/** Runs steps in a loop until the signal aborts; the returned `wake` ends the pause before the next step. */
const runSteps = (step: () => Promise<void>, signal: AbortSignal) => {
  let pause = new AbortController();
  const wake = () => pause.abort();
  signal.addEventListener('abort', wake, { once: true });
  const run = async () => {
    while (!signal.aborted) {
      await step();
      pause = new AbortController();
      if (!signal.aborted) await Timer.sleepAligned(stepIntervalMs, pause.signal);
    }
  };
  return { run, wake };
};

const createPhase = (note: CoreContext.Options['note']): StateMachine<CoreContext.State> =>
  StateMachine.of<CoreContext.State>(
    'blank',
    {
      blank: ['following', 'stopped'],
      following: ['leading', 'stopped'],
      leading: ['following', 'stopped'],
      stopped: [],
    },
    (from, to) => note('core state changed', { from, to }),
  );

const confirmationAge = ({ primary }: CoreContext): number | undefined => {
  const isSettled = primary && State.isSettled(primary.state(), primary.term().formed);
  return primary && isSettled && primary.isLeading() ? Instant.since(primary.confirmedAt()) : undefined;
};

const createContext = (
  options: Core.Options,
  wake: () => void,
  onTermChange: (term: Term) => void,
): CoreContext => {
  const shared: CoreContext = {
    options,
    phase: createPhase(options.note),
    knownTerm: KnownTerm.of(onTermChange),
    votes: [],
    primary: undefined,
    isAskedToTakeOver: false,
    isLeaving: false,
    wake,
    async collectVotes() {
      shared.votes = await options.proposer.votes();
      for (const { term, accepted } of shared.votes) shared.knownTerm.learn(term, accepted ?? Ballot.none);
      await shared.primary?.announce(shared.votes);
    },
  };
  return shared;
};

/** Creates a core. */
export const Core = {
  of(options: Core.Options): Core {
    const { register, note } = options;
    const stop = new AbortController();
    const steps = runSteps(() => step(), stop.signal);
    const shared = createContext(options, steps.wake, (term) => {
      shared.isAskedToTakeOver = false;
      following.reset();
      if (term.primary !== register.disk) shared.primary?.depose(`deposed by ${Term.text(term)}`);
    });
    const { phase, knownTerm: known } = shared;
    const rules = FormationRules.of(options);
    const formation = ClusterFormation.of(shared, rules);
    const leading = Leading.of(shared, rules);
    const following = Following.of(shared, leading);
    const joining = Joining.of(shared);
    const leaving = Leaving.of(shared, joining);
    known.learn(register.term(), register.accepted());
    register.watch((term) => {
      shared.votes = [];
      known.learn(term, register.accepted());
      steps.wake();
    });
    const pollVotes = async () => {
      while (!stop.signal.aborted) {
        await shared.collectVotes().catch((error) => note('vote round failed', { why: Failure.text(error) }));
        steps.wake();
        await Timer.sleepAligned(phase.is('blank') ? stepIntervalMs : voteIntervalMs, stop.signal);
      }
    };
    const runStep = async () => {
      await joining.retireIfReplaced();
      if (phase.is('blank') && !register.isBlank()) phase.transitionTo('following');
      options.connectTo([...(known.term()?.cores.map((core) => core.wire) ?? []), ...options.addresses()]);
      if (phase.is('leading')) await leading.step();
      else if (!(await formation.step())) await (phase.is('blank') ? joining.ask() : following.step());
    };
    const step = () =>
      runStep().catch((error) => note('core step failed', { state: phase.state, why: Failure.text(error) }));
    let tasks: Promise<unknown> = Promise.resolve();
    return {
      begin() {
        tasks = Promise.all([pollVotes(), steps.run()]);
      },
      state: () => phase.state,
      leading: () => (shared.primary?.isLeading() ? shared.primary : undefined),
      term: () => shared.primary?.term() ?? known.term(),
      join: async (core) => (shared.primary ? shared.primary.join(core) : 'this core does not lead'),
      force: formation.force,
      isRetired: joining.isRetired,
      confirmationAge: () => confirmationAge(shared),
      requestTakeover() {
        if (shared.isLeaving) return 'this core is shutting down';
        shared.isAskedToTakeOver = true;
        steps.wake();
        return undefined;
      },
      release: async (core, successor) => shared.primary?.leave(core, successor) ?? 'this core does not lead',
      isLeaving: () => shared.isLeaving,
      leave: leaving.run,
      wake: steps.wake,
      async stop() {
        stop.abort();
        shared.isLeaving = true;
        shared.primary?.depose('this core is shutting down');
        await Promise.race([tasks, Timer.sleep(stopTimeoutMs)]);
        if (!phase.is('stopped')) phase.transitionTo('stopped');
      },
    };
  },
};
