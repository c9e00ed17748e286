/**
 * Access to the acting primary for commands and queries: confirmation by a majority, and the time limit for a
 * response. A response that cannot be confirmed is a 503 that says whether the change may have been applied. A primary
 * that has had no contact with a majority for a while responds so at once. A response is confirmed by the same primary
 * object whose state it was made from: a core that lost its term and leads again meanwhile must not answer from what
 * it knew before.
 */

import { Failure } from '../common/failure.js';
import { Instant } from '../common/instant.js';
import type { Stamp } from '../common/stamp.js';
import { Timer } from '../common/timer.js';
import type { Proposer } from '../epoch/proposer.js';
import type { Primary } from '../replica/primary.js';
import { State } from '../store/state.js';
import type { Responses } from './responses.js';

/** What commands and queries may do with the acting primary. */
export type PrimaryGateway = {
  /** Resolves to the newest acknowledged state once a majority has confirmed that no other core leads. */
  readonly confirm: () => Promise<State>;
  /** Whether the state is settled after the last forming of the cores. */
  readonly isSettled: () => boolean;
  /** Commits a change, or returns a refusal only once a majority has confirmed the state it was made from. */
  readonly change: (
    make: (state: State, stamp: Stamp) => State.Change | Responses,
    respond: (state: State, change: State.Change) => Responses,
  ) => Promise<Responses>;
};

/** What a gateway is made of. */
export declare namespace PrimaryGateway {
  type Options = { readonly leading: () => Primary | undefined; readonly proposer: Proposer };
}

/** How long a change or a read may wait for its confirmation, in milliseconds. */
const responseTimeoutMs = 5000;
/** How long a confirmation that failed is retried, in milliseconds. */
const confirmRetryForMs = 1500;
/** The pause between two confirmation attempts, in milliseconds. */
const confirmRetryIntervalMs = 50;
/** How old the last confirmation by a majority may be before requests fail at once instead of waiting, in milliseconds. */
const maxContactAgeMs = 1500;
/** How often a waiting request checks for contact with a majority, in milliseconds. */
const contactCheckIntervalMs = 100;

const unconfirmed = (text: string, taken: 'no' | 'unknown'): Error =>
  Failure.of('unconfirmed', text, { taken });

/** Returns a check whether a primary has contact with a majority, counted from when it was first seen here. */
const contactCheck = () => {
  let seen: { readonly primary: Primary; readonly since: Instant } | undefined;
  return (primary: Primary): boolean => {
    if (seen?.primary !== primary) seen = { primary, since: Instant.now() };
    return Instant.since(Math.max(primary.confirmedAt(), seen.since) as Instant) < maxContactAgeMs;
  };
};

/** A promise that rejects once a request has waited too long or its primary lost contact with the majority. */
const startDeadline = (hasContact: () => boolean, errorFor: (text: string) => Error) => {
  let stop: () => void = () => {};
  const expired = new Promise<never>((_resolve, reject) => {
    const timeout = Timer.after(responseTimeoutMs, () => reject(errorFor('not confirmed in time')));
    const contactTimer = Timer.every(contactCheckIntervalMs, () => {
      if (!hasContact()) reject(errorFor('no majority is in touch'));
    });
    stop = () => {
      timeout.stop();
      contactTimer.stop();
    };
  });
  expired.catch(() => undefined);
  return { expired, stop: () => stop() };
};

type PendingChange = {
  readonly primary: Primary;
  readonly hasContact: () => boolean;
  readonly confirm: () => Promise<State>;
};

const runChange = async (
  { primary, hasContact, confirm }: PendingChange,
  make: Parameters<PrimaryGateway['change']>[0],
  respond: Parameters<PrimaryGateway['change']>[1],
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
  const { expired, stop } = startDeadline(hasContact, (text) => {
    isExpired = true;
    return unconfirmed(text, isBegun ? 'unknown' : 'no');
  });
  try {
    const state = await Promise.race([work, expired]);
    if (!refusal) return respond(state, change!);
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

/** Creates the gateway of a core. */
export const PrimaryGateway = {
  of({ leading, proposer }: PrimaryGateway.Options): PrimaryGateway {
    const hasContact = contactCheck();
    const requirePrimary = (): Primary => {
      const primary = leading();
      if (!primary) throw unconfirmed('no primary here', 'no');
      return primary;
    };
    const requireContact = (primary: Primary) => {
      if (leading() !== primary) throw unconfirmed('another term has begun', 'no');
      if (!hasContact(primary)) throw unconfirmed('no majority is in touch', 'no');
    };
    const isSettledAt = (primary: Primary) => State.isSettled(primary.state(), primary.term().formed);
    const confirmWithDeadline = async (primary: Primary): Promise<State> => {
      const { expired, stop } = startDeadline(
        () => hasContact(primary),
        (text) => unconfirmed(text, 'no'),
      );
      try {
        return await Promise.race([confirmWith(primary), expired]);
      } finally {
        stop();
      }
    };
    const confirmWith = async (primary: Primary): Promise<State> => {
      const startedAt = Instant.now();
      for (;;) {
        requireContact(primary);
        const state = primary.state();
        const isConfirmed = await primary.confirm();
        requireContact(primary);
        if (isConfirmed) {
          if (isSettledAt(primary)) return state;
          throw unconfirmed('the cores formed anew and ask the nodes', 'no');
        }
        const term = await proposer.read();
        if (term && term.primary !== primary.term().primary)
          primary.depose('a majority names another primary');
        if (Instant.since(startedAt) > confirmRetryForMs)
          throw unconfirmed('no majority confirms the epoch', 'no');
        await Timer.sleep(confirmRetryIntervalMs);
      }
    };
    return {
      confirm: async () => confirmWithDeadline(requirePrimary()),
      isSettled: () => isSettledAt(requirePrimary()),
      async change(make, respond) {
        const primary = requirePrimary();
        requireContact(primary);
        const pendingChange = {
          primary,
          hasContact: () => hasContact(primary),
          confirm: () => confirmWith(primary),
        };
        return runChange(pendingChange, make, respond);
      },
    };
  },
};
