// A core machine's life: blank, then following, and leading while the register names it. One task looks
// at the register, the links and the votes, and takes the next step; each change of state goes through
// the phase. A second task asks the others for their votes all the while, so that a silent one holds up no
// step. A blank core joins where the others remember; where too few can still remember, all form anew.
import { Ballot } from '../epoch/ballot.js';
import type { Proposer } from '../epoch/proposer.js';
import type { Register } from '../epoch/register.js';
import { Tenure } from '../epoch/tenure.js';
import { Alarm } from '../kinds/alarm.js';
import { Epoch } from '../kinds/epoch.js';
import { Mishap } from '../kinds/mishap.js';
import { Moment } from '../kinds/moment.js';
import { Phase } from '../kinds/phase.js';
import { Revision } from '../kinds/revision.js';
import { Stamp } from '../kinds/stamp.js';
import type { View } from '../manifest/view.js';
import { Primary } from '../replica/primary.js';
import { State } from '../store/state.js';
import type { Store } from '../store/store.js';
import type { Courier } from '../wire/courier.js';
import type { Frame } from '../wire/frame.js';
import { Forming } from './forming.js';

export type Core = {
  readonly state: () => Core.State;
  readonly leading: () => Primary | undefined;
  readonly tenure: () => Tenure | undefined;
  readonly join: (core: Frame.Core) => Promise<string>;
  readonly isRetired: () => boolean;
  readonly confirmedFor: () => number | undefined;
  readonly yielded: () => void;
  readonly force: () => Promise<string>;
  readonly begin: () => void;
  readonly stop: () => Promise<void>;
};

export declare namespace Core {
  type State = 'blank' | 'following' | 'leading' | 'stopped';
  type Needs = {
    readonly register: Register;
    readonly store: Store;
    readonly losses: number;
    readonly isInitial: boolean;
    readonly seeds: readonly string[];
    readonly proposer: Proposer;
    readonly self: () => Frame.Core;
    readonly courierTo: (core: Frame.Core) => Courier | undefined;
    readonly tend: (places: readonly string[]) => void;
    readonly places: () => readonly string[];
    readonly offered: () => View;
    readonly quietFor: () => number;
    readonly retire: () => Promise<void>;
    readonly publish: (view: View) => void;
    readonly note: (text: string, facts?: Record<string, unknown>) => void;
    readonly alert: (text: string, facts?: Record<string, unknown>) => void;
  };
}

const beat = 150;
const takeOverAfter = 600;
const nextAfter = 400;
const mendEvery = 500;
const readEvery = 700;
const gatherFor = { least: 1200, quiet: 600, most: 2500 } as const;
const formAnywayAfter = 1500;
const silentSeedsFor = 4000;

export const Core = {
  of(needs: Core.Needs): Core {
    const { register, store, proposer } = needs;
    const stop = new AbortController();
    const phase = Phase.of<Core.State>(
      'blank',
      {
        blank: ['following', 'stopped'],
        following: ['leading', 'stopped'],
        leading: ['following', 'stopped'],
        stopped: [],
      },
      (from, to) => needs.note('core changed', { from, to }),
    );
    let primary: Primary | undefined;
    let known: Tenure | undefined;
    let knownBallot = Ballot.none;
    const forming = Forming.of(needs);
    let votes: readonly Proposer.Vote[] = [];
    let isAsked = false;
    let darkSince: Moment | undefined;
    let mendedAt = Moment.past;
    let isTold = false;
    let formableSince: Moment | undefined;
    let ledSince = Moment.now();
    let tending: Promise<void> | undefined;
    let looking: Promise<void> | undefined;
    let wake: () => void = () => {};

    const learn = (tenure: Tenure | null | undefined, ballot: Ballot) => {
      if (!tenure || (known && Tenure.compare(tenure, ballot, known, knownBallot) <= 0)) return;
      const isOther = tenure.epoch !== known?.epoch || tenure.primary !== known.primary;
      known = tenure;
      knownBallot = ballot;
      if (!isOther) return;
      isAsked = false;
      darkSince = undefined;
      if (primary && tenure.primary !== register.disk) primary.depose(`deposed by ${Tenure.text(tenure)}`);
    };
    learn(register.tenure(), register.accepted());
    register.watch((tenure) => {
      votes = [];
      learn(tenure, register.accepted());
      wake();
    });

    const look = async () => {
      votes = await proposer.votes();
      for (const { tenure, accepted } of votes) learn(tenure, accepted ?? Ballot.none);
      await primary?.install(votes);
    };
    const survey = async () => {
      while (!stop.signal.aborted) {
        await look().catch((error) => needs.note('no votes came', { why: Mishap.text(error) }));
        wake();
        await Alarm.pause(phase.is('blank') ? beat : readEvery, stop.signal);
      }
    };
    const lead = async (tenure: Tenure, ballot: Ballot) => {
      phase.become('leading');
      ledSince = Moment.now();
      needs.note('leading', { tenure: Tenure.text(tenure) });
      const mine = Primary.of({
        disk: register.disk,
        tenure,
        ballot,
        losses: needs.losses,
        store,
        proposer,
        courierTo: needs.courierTo,
        note: needs.note,
        publish(state, under) {
          if (State.isSettled(state, under.formed)) needs.publish(State.view(state));
        },
      });
      primary = mine;
      void mine.deposed.then((why) => {
        needs.note('deposed', { why });
        if (primary === mine) primary = undefined;
        if (phase.is('leading')) phase.become('following');
        wake();
      });
      await mine.commit((_state, stamp) => ({ kind: 'opened', stamp }));
    };
    const claim = async (from: Tenure) => {
      register.raise(Epoch.after(from.epoch));
      await store.idle();
      const { isDone, tenure, ballot } = await proposer.change((base) =>
        base.epoch === from.epoch && Tenure.isInSync(base, register.disk)
          ? Tenure.next(base, { primary: register.disk })
          : undefined,
      );
      learn(tenure, ballot);
      if (isDone && tenure) await lead(tenure, ballot);
    };
    const settle = async (leader: Primary) => {
      const offered = needs.offered();
      const { formed } = leader.tenure();
      const isLate = Stamp.isNewer(offered.stamp, leader.state().stamp);
      const isUnsettled = leader.state().formed !== formed;
      const isFirst = needs.isInitial && leader.state().formed === Epoch.none;
      const isGathered =
        isFirst ||
        Moment.since(ledSince) > gatherFor.most ||
        (Moment.since(ledSince) > gatherFor.least && needs.quietFor() > gatherFor.quiet);
      if ((!isUnsettled && !isLate) || !isGathered) return;
      needs.alert('taking the newest state that nodes hold', {
        offered: Stamp.text(offered.stamp),
        held: Stamp.text(leader.state().stamp),
      });
      if (isLate) await leader.rise(offered.stamp);
      await leader.commit((_state, stamp) => ({
        kind: 'settled',
        formed,
        view: offered,
        stamp: {
          epoch: stamp.epoch,
          revision: Revision.of(Math.max(stamp.revision, offered.stamp.revision + 1)),
        },
      }));
    };
    const isNext = (tenure: Tenure): boolean => {
      const core = Tenure.core(tenure, tenure.primary);
      const courier = core && needs.courierTo(core);
      const isLost = !core || !courier?.reaches(core) || courier.downFor() > takeOverAfter || isAsked;
      darkSince = isLost ? (darkSince ?? Moment.now()) : undefined;
      if (darkSince === undefined) return false;
      const before = tenure.inSync.slice(0, tenure.inSync.indexOf(register.disk));
      const rank = before.filter((disk) => {
        const mate = disk === tenure.primary ? undefined : Tenure.core(tenure, disk);
        return mate !== undefined && needs.courierTo(mate)?.downFor() === 0;
      }).length;
      return Moment.since(darkSince) >= rank * nextAfter;
    };
    const followStep = async () => {
      if (forming.may(votes)) return form();
      formableSince = undefined;
      if (!store.isSound() && Moment.since(mendedAt) > mendEvery) {
        mendedAt = Moment.now();
        void store.mend().catch((error) => needs.note('own disk mishap', { why: Mishap.text(error) }));
      }
      const tenure = known;
      if (!tenure || !Tenure.isInSync(tenure, register.disk) || !store.isSound()) return;
      if (tenure.primary !== register.disk) {
        if (!isNext(tenure)) return;
        needs.note('taking over', { from: Tenure.core(tenure, tenure.primary)?.node });
      }
      await claim(tenure);
    };
    const form = async () => {
      formableSince ??= Moment.now();
      const isMine = forming.first(votes) === register.disk;
      const wait = (forming.isSure(votes) ? 0 : silentSeedsFor) + (isMine ? 0 : formAnywayAfter);
      if (Moment.since(formableSince) < wait) return;
      const formed = await proposer.form(
        (grants) => (forming.may(grants) ? forming.tenure(grants) : undefined),
        forming.size,
      );
      if (formed) needs.alert('the cores formed anew', { tenure: Tenure.text(formed) });
      await look();
    };
    const blankStep = async () => {
      if (forming.may(votes)) return form();
      formableSince = undefined;
      const tenure = known;
      const core = tenure && Tenure.core(tenure, tenure.primary);
      if (!tenure || !core || Tenure.has(tenure, register.disk)) return;
      const reply = await needs.courierTo(core)?.ask({ kind: 'join', core: needs.self() }, 3000);
      if (reply?.kind === 'done') needs.note('asked to join', { why: reply.why });
    };
    const leadStep = async () => {
      const mine = primary;
      if (!mine) return;
      if (forming.may(votes)) return mine.depose('too few of the cores remember');
      tending ??= mine.tend().finally(() => {
        tending = undefined;
      });
      await Promise.race([tending, Alarm.pause(beat)]);
      await settle(mine);
    };
    const isRetired = () => known !== undefined && !register.isBlank() && !Tenure.has(known, register.disk);
    const tellRetired = async () => {
      if (isTold || !isRetired()) return;
      const tenure = await proposer.read();
      if (!tenure || Tenure.has(tenure, register.disk)) return;
      isTold = true;
      await needs.retire();
      needs.alert('this core’s slot was given to another disk; it takes no part until it is started again');
    };
    const step = async () => {
      await tellRetired();
      if (phase.is('blank') && !register.isBlank()) phase.become('following');
      needs.tend([...(known?.cores.map((core) => core.wire) ?? []), ...needs.places()]);
      if (phase.is('blank')) await blankStep();
      else if (phase.is('following')) await followStep();
      else if (phase.is('leading')) await leadStep();
    };
    const run = async () => {
      while (!stop.signal.aborted) {
        try {
          await step();
        } catch (error) {
          needs.note('core step failed', { state: phase.state, why: Mishap.text(error) });
        }
        const rest = new AbortController();
        wake = () => rest.abort();
        stop.signal.addEventListener('abort', wake, { once: true });
        await Alarm.pause(beat, rest.signal);
        stop.signal.removeEventListener('abort', wake);
      }
      phase.become('stopped');
    };
    let done: Promise<void> = Promise.resolve();
    return {
      begin() {
        looking = survey();
        done = run();
      },
      state: () => phase.state,
      leading: () => (primary?.isLeading() ? primary : undefined),
      tenure: () => primary?.tenure() ?? known,
      join: async (core) => (primary ? primary.join(core) : 'this core does not lead'),
      async force() {
        await look();
        const least = needs.losses + 1;
        if (votes.length < least) return `fewer than ${least} cores answer`;
        if (forming.may(votes)) return 'the cores form by themselves: there is nothing to force';
        const newest = Forming.remembering(votes).find((vote) => vote.tenure);
        if (newest?.tenure && Forming.remembering(votes).length >= Tenure.majority(newest.tenure))
          return 'a majority remembers: there is nothing to force';
        const formed = await proposer.form(forming.tenure, least);
        if (!formed) return 'the cores did not agree; try again';
        needs.alert('TOO FEW CORES WERE FORCED TO FORM; what only the missing held is lost', {
          tenure: Tenure.text(formed),
        });
        return '';
      },
      isRetired,
      confirmedFor() {
        const isSettled = primary && State.isSettled(primary.state(), primary.tenure().formed);
        return primary && isSettled && primary.isLeading() ? Moment.since(primary.confirmedAt()) : undefined;
      },
      yielded() {
        isAsked = true;
        wake();
      },
      async stop() {
        stop.abort();
        await Promise.all([done, looking]);
      },
    };
  },
};
