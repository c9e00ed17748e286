// The primary's side of replication. A change is acknowledged once it is synced here and at every other
// core in sync. A backup that does not confirm is taken out of sync through the register first; only
// then does the primary acknowledge alone. A primary whose own disk fails or stalls hands its place to
// the backup; one that finds a higher epoch is deposed and never acknowledges again.

import type { Proposer } from '../epoch/proposer.js';
import { Tenure } from '../epoch/tenure.js';
import { Alarm } from '../kinds/alarm.js';
import { Epoch } from '../kinds/epoch.js';
import { Mishap } from '../kinds/mishap.js';
import { Moment } from '../kinds/moment.js';
import { Phase } from '../kinds/phase.js';
import { Revision } from '../kinds/revision.js';
import type { Stamp } from '../kinds/stamp.js';
import { Turns } from '../kinds/turns.js';
import type { State } from '../store/state.js';
import { Store } from '../store/store.js';
import type { Courier } from '../wire/courier.js';
import type { Frame } from '../wire/frame.js';

export type Primary = {
  readonly tenure: () => Tenure;
  readonly state: () => State;
  readonly isLeading: () => boolean;
  readonly confirmedAt: () => Moment;
  readonly confirm: () => Promise<boolean>;
  readonly commit: (make: (state: State, stamp: Stamp) => State.Change | undefined) => Promise<State>;
  readonly tend: () => Promise<void>;
  readonly join: (core: Frame.Core) => Promise<string>;
  readonly rise: (above: Stamp) => Promise<void>;
  readonly depose: (why: string) => void;
  readonly deposed: Promise<string>;
};

export declare namespace Primary {
  type Needs = {
    readonly disk: string;
    readonly tenure: Tenure;
    readonly store: Store;
    readonly proposer: Proposer;
    readonly courierTo: (core: Frame.Core) => Courier | undefined;
    readonly publish: (state: State, tenure: Tenure) => void;
    readonly note: (text: string, facts?: Record<string, unknown>) => void;
  };
}

const ackWithin = 1200;
const diskWithin = 1500;
const deadAfter = 1500;
const replaceAfter = 2000;
const confirmEvery = 200;

const bounded = <T>(work: Promise<T>, span: number, what: string): Promise<T> =>
  new Promise((resolve, reject) => {
    const alarm = Alarm.after(span, () => reject(Mishap.of('store', `${what} took too long`)));
    work.then(resolve, reject).finally(() => alarm.stop());
  });

export const Primary = {
  of(needs: Primary.Needs): Primary {
    const { store, disk, proposer } = needs;
    const turns = Turns.of();
    let tenure = needs.tenure;
    let acknowledged = store.state();
    let confirmedAt = Moment.past;
    let tellDeposed: (why: string) => void = () => {};
    const deposed = new Promise<string>((resolve) => {
      tellDeposed = resolve;
    });
    const phase = Phase.of('leading', { leading: ['deposed'], deposed: [] });
    const depose = (why: string) => {
      if (phase.is('deposed')) return;
      phase.become('deposed');
      tellDeposed(why);
    };
    const mustLead = () => {
      if (!phase.is('leading')) throw Mishap.of('unconfirmed', 'no longer primary');
    };
    const others = () => tenure.inSync.filter((one) => one !== disk).map((one) => Tenure.core(tenure, one)!);
    const send = async (core: Frame.Core, change: State.Change, before: State): Promise<void> => {
      const courier = needs.courierTo(core);
      if (!courier?.reaches(core)) throw Mishap.of('link', `no courier to the disk of ${core.node}`);
      const append = (one: State.Change) =>
        courier.ask(
          {
            kind: 'append',
            epoch: tenure.epoch,
            previous: before.stamp,
            record: Store.encode(one),
            whole: one.kind === 'whole',
          },
          ackWithin,
        );
      let reply = await append(change);
      if (
        reply.kind === 'appended' &&
        !reply.isTaken &&
        reply.floor <= tenure.epoch &&
        change.kind !== 'whole'
      ) {
        await append({ kind: 'whole', stamp: before.stamp, state: before });
        reply = await append(change);
      }
      if (reply.kind !== 'appended') throw Mishap.of('frame', `unexpected ${reply.kind}`);
      if (!reply.isTaken) throw Mishap.of('stale', `${core.node} did not take it: ${reply.why}`);
    };
    const alter = async (next: (from: Tenure) => Tenure): Promise<boolean> => {
      const mine = tenure;
      const result = await proposer.change((base) =>
        base.epoch === mine.epoch && base.primary === disk ? next(base) : undefined,
      );
      if (result.isDone && result.tenure) {
        tenure = result.tenure;
        needs.note('register changed', { tenure: Tenure.text(tenure) });
        return true;
      }
      const held = result.tenure;
      if (!held) return false;
      if (held.primary !== disk) depose(`another core is primary: ${Tenure.text(held)}`);
      else if (held.epoch > mine.epoch) tenure = held;
      return false;
    };
    const shrink = async (): Promise<void> => {
      while (phase.is('leading') && others().length > 0) {
        const isDone = await alter((base) => Tenure.next(base, { inSync: [disk] })).catch(() => false);
        if (!isDone) await Promise.all([proposer.install(), Alarm.pause(150)]);
      }
      mustLead();
    };
    const handOver = async (cause: unknown): Promise<never> => {
      needs.note('own disk mishap', { why: Mishap.text(cause) });
      for (const core of others())
        void needs
          .courierTo(core)
          ?.ask({ kind: 'yield', epoch: tenure.epoch }, ackWithin)
          .catch(() => undefined);
      if (others().length > 0) depose(`own disk: ${Mishap.text(cause)}`);
      throw Mishap.of('unconfirmed', 'own disk mishap', {}, cause);
    };
    const write = async (change: State.Change): Promise<void> => {
      const before = store.state();
      const local = bounded(store.take(change), diskWithin, 'own disk');
      local.catch(() => undefined);
      const remote = Promise.all(others().map((core) => send(core, change, before)));
      remote.catch(() => undefined);
      try {
        await local;
      } catch (error) {
        await handOver(error);
      }
      try {
        await remote;
      } catch (error) {
        needs.note('backup did not confirm', { why: Mishap.text(error) });
        await shrink();
      }
      mustLead();
    };
    const resolve = async (): Promise<void> => {
      const state = store.state();
      if (state === acknowledged) return;
      const whole = { kind: 'whole', stamp: state.stamp, state } as const;
      await Promise.all(others().map((core) => send(core, whole, state))).catch(shrink);
      mustLead();
      acknowledged = state;
      needs.publish(acknowledged, tenure);
    };
    const courierDown = (core: Frame.Core): number => {
      const courier = needs.courierTo(core);
      return courier?.reaches(core) ? courier.downFor() : Number.POSITIVE_INFINITY;
    };
    const recruit = async (votes: readonly Proposer.Vote[]): Promise<void> => {
      const able = votes.find(
        (vote) =>
          vote.core.disk !== disk && Tenure.has(tenure, vote.core.disk) && !vote.isBlank && vote.isAble,
      );
      if (!able) return;
      await turns.take(async () => {
        mustLead();
        if (others().length > 0) return;
        const state = store.state();
        await send(able.core, { kind: 'whole', stamp: state.stamp, state }, state);
        await alter((base) => Tenure.next(base, { inSync: [disk, able.core.disk] }));
      });
    };
    const confirm = async (): Promise<boolean> => {
      const asked = Moment.now();
      const mine = tenure;
      const isConfirmed = await proposer.confirm(mine);
      if (isConfirmed && phase.is('leading') && asked > confirmedAt) confirmedAt = asked;
      return isConfirmed;
    };
    const confirms = Alarm.every(confirmEvery, () => void confirm());
    void confirm();
    void deposed.then(confirms.stop);
    return {
      tenure: () => tenure,
      state: () => acknowledged,
      isLeading: () => phase.is('leading'),
      confirmedAt: () => confirmedAt,
      confirm,
      depose,
      deposed,
      commit: (make) =>
        turns.take(async () => {
          mustLead();
          await resolve();
          const stamp = { epoch: tenure.epoch, revision: Revision.after(store.state().stamp.revision) };
          const change = make(acknowledged, stamp);
          if (!change) return acknowledged;
          await write(change);
          acknowledged = store.state();
          needs.publish(acknowledged, tenure);
          return acknowledged;
        }),
      rise: (above) =>
        turns.take(async () => {
          mustLead();
          if (above.epoch < tenure.epoch) return;
          await alter((base) =>
            Tenure.next({ ...base, epoch: Epoch.of(Math.max(base.epoch, above.epoch)) }, {}),
          );
        }),
      async tend() {
        if (!phase.is('leading')) return;
        if (!store.isSound())
          await turns.take(() => handOver(new Error('the store is broken'))).catch(() => {});
        const dead = others().filter((core) => courierDown(core) > deadAfter);
        if (dead.length > 0) await turns.take(shrink);
        const votes = await proposer.votes();
        if (others().length === 0) await recruit(votes);
        if (votes.some((vote) => vote.isBlank && Tenure.has(tenure, vote.core.disk)))
          await proposer.install();
      },
      join: (core) =>
        turns.take(async () => {
          mustLead();
          if (Tenure.has(tenure, core.disk)) return '';
          const old = tenure.cores.find(
            (one) => one.disk !== disk && (one.wire === core.wire || courierDown(one) > replaceAfter),
          );
          if (!old) return 'all three cores are alive';
          const isDone = await alter((base) =>
            Tenure.next(base, {
              cores: base.cores.map((one) => (one.disk === old.disk ? core : one)),
              inSync: base.inSync.filter((one) => one !== old.disk),
            }),
          );
          return isDone ? '' : 'the register was not changed';
        }),
    };
  },
};
