/**
 * Holds the newest view that this process knows and tells its watchers when a newer one arrives. A view with a lower or
 * equal stamp is not taken, nor an empty view in place of a manifest. The feed also tracks the age of the last message
 * from the primary: ages travel with pings down the tree, so that a node behind a relay that is cut off notices and
 * looks for another parent. A ping that names a newer view than the one held does not count. A ping that names the very
 * view held confirms it: that view was the newest when the message left the primary. The first confirmation of a view
 * is passed on at once, so that the nodes below need not wait for the next ping.
 *
 * The age in a ping does not include its time in transit, so it may be too low by any span: after a cut, or when the process
 * was suspended. Where a bound is needed, `verifiedAt` counts from before the question that the ping answers.
 */
import { Instant } from '../common/instant.js';
import { Stamp } from '../common/stamp.js';
import { View } from '../manifest/view.js';

/** The newest view of a process. */
export type Feed = {
  readonly view: () => View;
  readonly stamp: () => Stamp;
  /** Takes a view when it is newer; false when it is not taken. */
  readonly offer: (view: View) => boolean;
  /** Calls back with each view taken; returns a function that ends it. */
  readonly watch: (listener: (view: View) => void) => () => void;
  /** Calls back when the view held is confirmed for the first time; returns a function that ends it. */
  readonly watchConfirmed: (listener: () => void) => () => void;
  /**
   * Records a ping: the age of the last message from the primary, the stamp of the sender, and since when that may have
   * been replaced, where the ping tells.
   */
  readonly recordPing: (age: number, stamp: Stamp, verifiedAt?: Instant) => void;
  /** The age of the last message from the primary, in milliseconds. */
  readonly age: () => number;
  /** When the last message that confirmed a view left the primary. */
  readonly confirmedAt: () => Instant;
  /** Until when no primary had acknowledged a change that is newer than the view held. */
  readonly verifiedAt: () => Instant;
  /** The number of views that were older than the one held. */
  readonly ignoredCount: () => number;
};

/** Creates feeds. */
export const Feed = {
  of(initial: View = View.empty): Feed {
    let view = initial;
    let receivedAt = Instant.past;
    let lastConfirmedAt = Instant.past;
    let lastVerifiedAt = Instant.past;
    let ignored = 0;
    let isConfirmed = false;
    const confirmationListeners = new Set<() => void>();
    const listeners = new Set<(view: View) => void>();
    return {
      view: () => view,
      stamp: () => view.stamp,
      ignoredCount: () => ignored,
      offer(next) {
        if (!Stamp.isNewer(next.stamp, view.stamp)) {
          if (!Stamp.isSame(next.stamp, view.stamp)) ignored += 1;
          return false;
        }
        if (!next.manifest && view.manifest) return false;
        view = next;
        isConfirmed = false;
        for (const listener of [...listeners]) listener(next);
        return true;
      },
      watch(listener) {
        listeners.add(listener);
        return () => void listeners.delete(listener);
      },
      watchConfirmed(listener) {
        confirmationListeners.add(listener);
        return () => void confirmationListeners.delete(listener);
      },
      recordPing(age, stamp, verifiedAt = Instant.past) {
        if (Stamp.isNewer(stamp, view.stamp)) return;
        if (view.manifest && verifiedAt > lastVerifiedAt) lastVerifiedAt = verifiedAt;
        const sentAt = Instant.after(-age);
        if (sentAt > receivedAt) receivedAt = sentAt;
        if (sentAt <= lastConfirmedAt || !view.manifest || !Stamp.isSame(stamp, view.stamp)) return;
        lastConfirmedAt = sentAt;
        if (isConfirmed) return;
        isConfirmed = true;
        for (const listener of [...confirmationListeners]) listener();
      },
      age: () => Instant.since(receivedAt),
      confirmedAt: () => lastConfirmedAt,
      verifiedAt: () => lastVerifiedAt,
    };
  },
};
