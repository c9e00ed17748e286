// What commands and queries share: the acting primary, confirmation by a majority, and the bound in
// which an answer goes out. An answer that can't be confirmed is a 503 that says whether the change may
// have been taken. A primary that has been out of touch with a majority for a while answers so at once, and an
// answer is confirmed by the very primary whose state it was made from: a core that lost its place and has it
// again meanwhile says nothing of what it knew before.

import { Failure } from '../common/failure.js';
import { Instant } from '../common/instant.js';
import type { Stamp } from '../common/stamp.js';
import { Timer } from '../common/timer.js';
import type { Proposer } from '../epoch/proposer.js';
import type { Primary } from '../replica/primary.js';
import { State } from '../store/state.js';
import type { Responses } from './responses.js';

/** The acting primary's place for commands and queries. */
export type PrimaryGateway = {
  /** The newest acknowledged state, once a majority has confirmed that nobody else leads. */
  readonly confirm: () => Promise<State>;
  readonly isSettled: () => boolean;
  /** Makes a change, or a refusal, which goes out only once a majority has confirmed the state it is made from. */
  readonly change: (
    make: (state: State, stamp: Stamp) => State.Change | Responses,
    tell: (state: State, change: State.Change) => Responses,
  ) => Promise<Responses>;
};

export declare namespace PrimaryGateway {
  type Options = { readonly leading: () => Primary | undefined; readonly proposer: Proposer };
}

/** How long an order may wait for its acknowledgement, in milliseconds. */
const responseWithin = 5000;
const lookAgainFor = 1500;
const lookAgainEvery = 50;
/** How old the last confirmation by a majority may be before answers go out without waiting for another. */
const outOfTouchAfter = 1500;
const touchEvery = 100;

const unconfirmed = (text: string, taken: 'no' | 'unknown'): Error =>
  Failure.of('unconfirmed', text, { taken });

/** Tells whether a primary is in touch with a majority, counted from when it was first seen here. */
const touchOf = () => {
  let seen: { readonly primary: Primary; readonly since: Instant } | undefined;
  return (primary: Primary): boolean => {
    if (seen?.primary !== primary) seen = { primary, since: Instant.now() };
    return Instant.since(Math.max(primary.confirmedAt(), seen.since) as Instant) < outOfTouchAfter;
  };
};

/** Rejects once an order has waited too long, or its primary is out of touch. */
const lateness = (isInTouch: () => boolean, give: (text: string) => Error) => {
  let stop: () => void = () => {};
  const late = new Promise<never>((_resolve, reject) => {
    const end = Timer.after(responseWithin, () => reject(give('not confirmed in time')));
    const look = Timer.every(touchEvery, () => {
      if (!isInTouch()) reject(give('no majority is in touch'));
    });
    stop = () => {
      end.stop();
      look.stop();
    };
  });
  late.catch(() => undefined);
  return { late, stop: () => stop() };
};

type Order = {
  readonly primary: Primary;
  readonly isInTouch: () => boolean;
  readonly confirm: () => Promise<State>;
};

const runOrder = async (
  { primary, isInTouch, confirm }: Order,
  make: Parameters<PrimaryGateway['change']>[0],
  tell: Parameters<PrimaryGateway['change']>[1],
): Promise<Responses> => {
  let isBegun = false;
  let isExpired = false;
  let refusal: Responses | undefined;
  let change: State.Change | undefined;
  const work = primary.commit((state, stamp) => {
    if (isExpired) return undefined;
    const made = make(state, stamp);
    if ('kind' in made) {
      isBegun = true;
      change = made;
      return made;
    }
    refusal = made;
    return undefined;
  });
  work.catch(() => undefined);
  const { late, stop } = lateness(isInTouch, (text) => {
    isExpired = true;
    return unconfirmed(text, isBegun ? 'unknown' : 'no');
  });
  try {
    const state = await Promise.race([work, late]);
    if (!refusal) return tell(state, change!);
    await confirm();
    return refusal;
  } catch (error) {
    if (Failure.info(error).taken !== undefined) throw error;
    const taken = isBegun ? 'unknown' : 'no';
    throw Failure.of('unconfirmed', 'the change was not confirmed', { taken }, error);
  } finally {
    stop();
  }
};

export const PrimaryGateway = {
  of({ leading, proposer }: PrimaryGateway.Options): PrimaryGateway {
    const isInTouch = touchOf();
    const mustLead = (): Primary => {
      const primary = leading();
      if (!primary) throw unconfirmed('no primary here', 'no');
      return primary;
    };
    const mustBeInTouch = (primary: Primary) => {
      if (leading() !== primary) throw unconfirmed('another term has begun', 'no');
      if (!isInTouch(primary)) throw unconfirmed('no majority is in touch', 'no');
    };
    const isSettledAt = (primary: Primary) => State.isSettled(primary.state(), primary.term().formed);
    const confirmSoon = async (primary: Primary): Promise<State> => {
      const { late, stop } = lateness(
        () => isInTouch(primary),
        (text) => unconfirmed(text, 'no'),
      );
      try {
        return await Promise.race([confirmBy(primary), late]);
      } finally {
        stop();
      }
    };
    const confirmBy = async (primary: Primary): Promise<State> => {
      const began = Instant.now();
      for (;;) {
        mustBeInTouch(primary);
        const state = primary.state();
        const isConfirmed = await primary.confirm();
        mustBeInTouch(primary);
        if (isConfirmed) {
          if (isSettledAt(primary)) return state;
          throw unconfirmed('the cores formed anew and ask the nodes', 'no');
        }
        const term = await proposer.read();
        if (term && term.primary !== primary.term().primary)
          primary.depose('a majority names another primary');
        if (Instant.since(began) > lookAgainFor) throw unconfirmed('no majority confirms the epoch', 'no');
        await Timer.sleep(lookAgainEvery);
      }
    };
    return {
      confirm: async () => confirmSoon(mustLead()),
      isSettled: () => isSettledAt(mustLead()),
      async change(make, tell) {
        const primary = mustLead();
        mustBeInTouch(primary);
        const order = { primary, isInTouch: () => isInTouch(primary), confirm: () => confirmBy(primary) };
        return runOrder(order, make, tell);
      },
    };
  },
};
