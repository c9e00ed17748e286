// A core machine's life: blank, then following, and leading while the register names it. One task looks
// at the register, the links and the votes, and takes the next step; each change of state goes through
// the phase. A blank core joins where the others remember; where too few remember, all three form anew.
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
const takeOverAfter = 900;
const readEvery = 700;
const gatherFor = { least: 1200, quiet: 600, most: 2500 } as const;
const formingCores = 3;
const formAnywayAfter = 1500;
const forcedCores = 2;

const remembering = (votes: readonly Proposer.Vote[]) => votes.filter((vote) => !vote.isBlank);

const mayForm = (votes: readonly Proposer.Vote[]): boolean => {
  if (votes.length < formingCores) return false;
  const newest = remembering(votes)
    .map((vote) => vote.tenure)
    .sort((a, b) => (b?.epoch ?? 0) - (a?.epoch ?? 0))[0];
  if (!newest) return true;
  const mates = remembering(votes).filter((vote) => Tenure.has(newest, vote.core.disk));
  const isHeld = newest.inSync.some((disk) => votes.some((vote) => vote.core.disk === disk));
  return mates.length < Tenure.majority(newest) || !isHeld;
};

const chosen = (votes: readonly Proposer.Vote[]): Proposer.Vote[] =>
  [...votes]
    .sort(
      (a, b) =>
        Number(a.isBlank) - Number(b.isBlank) ||
        (b.tenure?.epoch ?? 0) - (a.tenure?.epoch ?? 0) ||
        (a.core.disk < b.core.disk ? -1 : 1),
    )
    .slice(0, formingCores);

const missing: Frame.Core = { disk: 'missing', node: '', wire: '', http: '' };

const makeTenure = (votes: readonly Proposer.Vote[]): Tenure => {
  const best = chosen(votes).sort(
    (a, b) =>
      Number(b.isAble) - Number(a.isAble) ||
      Stamp.compare(b.held, a.held) ||
      (a.core.disk < b.core.disk ? -1 : 1),
  )[0]!;
  const highest = Math.max(...votes.flatMap((vote) => [vote.highest, vote.tenure?.epoch ?? 0]));
  const epoch = Epoch.after(Epoch.of(highest));
  return {
    epoch,
    formed: epoch,
    primary: best.core.disk,
    inSync: [best.core.disk],
    cores: [...chosen(votes).map((vote) => vote.core), missing].slice(0, formingCores),
  };
};

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
    let known: Tenure | undefined = register.tenure() ?? undefined;
    let lastRead: Moment = 0 as Moment;
    let isAsked = false;
    let isTold = false;
    let formableSince: Moment | undefined;
    let ledSince = Moment.now();
    let tending: Promise<void> | undefined;
    let wake: () => void = () => {};

    const learn = (tenure: Tenure | null | undefined) => {
      if (!tenure || (known && tenure.epoch <= known.epoch)) return;
      known = tenure;
      isAsked = false;
      if (primary && tenure.primary !== register.disk) primary.depose(`deposed by ${Tenure.text(tenure)}`);
    };
    register.watch((tenure) => {
      learn(tenure);
      wake();
    });

    const look = async () => {
      const votes = await proposer.votes();
      for (const { tenure } of votes) learn(tenure);
      return votes;
    };
    const lead = async (tenure: Tenure) => {
      phase.become('leading');
      ledSince = Moment.now();
      needs.note('leading', { tenure: Tenure.text(tenure) });
      const mine = Primary.of({
        disk: register.disk,
        tenure,
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
      const { isDone, tenure } = await proposer.change((base) =>
        base.epoch === from.epoch && Tenure.isInSync(base, register.disk)
          ? Tenure.next(base, {
              primary: register.disk,
              inSync: base.primary === register.disk ? base.inSync : [register.disk],
            })
          : undefined,
      );
      learn(tenure);
      if (isDone && tenure) await lead(tenure);
    };
    const settle = async (leader: Primary) => {
      const offered = needs.offered();
      const { formed } = leader.tenure();
      const isLate = Stamp.isNewer(offered.stamp, leader.state().stamp);
      const isUnsettled = leader.state().formed !== formed;
      const isGathered =
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
    const followStep = async () => {
      if (Moment.since(lastRead) > readEvery) {
        lastRead = Moment.now();
        const votes = await look();
        if (mayForm(votes)) return form(votes);
        formableSince = undefined;
      }
      const tenure = known;
      if (!tenure || !Tenure.isInSync(tenure, register.disk) || !store.isSound()) return;
      if (tenure.primary === register.disk) return claim(tenure);
      const core = Tenure.core(tenure, tenure.primary);
      const courier = core && needs.courierTo(core);
      const isDark = !core || !courier?.reaches(core) || courier.downFor() > takeOverAfter;
      if (isDark || isAsked) {
        needs.note('taking over', { from: core?.node, downFor: courier?.downFor() });
        await claim(tenure);
      }
    };
    const form = async (votes: readonly Proposer.Vote[]) => {
      formableSince ??= Moment.now();
      const isMine = chosen(votes)[0]?.core.disk === register.disk;
      if (!isMine && Moment.since(formableSince) < formAnywayAfter) return;
      const formed = await proposer.form(
        (grants) => (mayForm(grants) ? makeTenure(grants) : undefined),
        formingCores,
      );
      if (formed) needs.alert('the cores formed anew', { tenure: Tenure.text(formed) });
    };
    const blankStep = async () => {
      const votes = await look();
      if (mayForm(votes)) return form(votes);
      formableSince = undefined;
      const tenure = known;
      const core = tenure && Tenure.core(tenure, tenure.primary);
      if (!tenure || !core || Tenure.has(tenure, register.disk)) return;
      needs.tend([core.wire, ...needs.places()]);
      const reply = await needs.courierTo(core)?.ask({ kind: 'join', core: needs.self() }, 3000);
      if (reply?.kind === 'done') needs.note('asked to join', { why: reply.why });
    };
    const leadStep = async () => {
      const mine = primary;
      if (!mine) return;
      if (Moment.since(lastRead) > readEvery) {
        lastRead = Moment.now();
        if (mayForm(await look())) return mine.depose('too few of the cores remember');
      }
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
        done = run();
      },
      state: () => phase.state,
      leading: () => (primary?.isLeading() ? primary : undefined),
      tenure: () => primary?.tenure() ?? known,
      join: async (core) => (primary ? primary.join(core) : 'this core does not lead'),
      async force() {
        const votes = await proposer.votes();
        if (votes.length < forcedCores) return 'fewer than two cores answer';
        if (votes.length >= formingCores) return 'all three cores answer: there is nothing to force';
        const newest = remembering(votes).find((vote) => vote.tenure);
        if (newest?.tenure && remembering(votes).length >= Tenure.majority(newest.tenure))
          return 'a majority remembers: there is nothing to force';
        const formed = await proposer.form(makeTenure, forcedCores);
        if (!formed) return 'the cores did not agree; try again';
        needs.alert('TWO CORES WERE FORCED TO FORM; what only the missing one held is lost', {
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
        await done;
      },
    };
  },
};
