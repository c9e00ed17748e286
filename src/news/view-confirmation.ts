/**
 * Decides whether the view held may be put in force. A node that starts empty can receive an older view than it served
 * under before, from a relay that lags or a peer that is cut off. So it serves only once its view is confirmed: by a
 * message that left the primary after this start and names that very view, or by the other process of its own machine,
 * which holds at least what this process ever held. A confirmation stays valid.
 */
import { Instant } from '../common/instant.js';
import { Stamp } from '../common/stamp.js';
import { StateMachine } from '../common/state-machine.js';
import type { Feed } from './feed.js';

/** Whether the view held may be put in force. */
export type ViewConfirmation = {
  readonly isConfirmed: () => boolean;
  /** Checks again, after a ping was recorded. */
  readonly check: () => void;
  /** The other process of this machine holds a confirmed view with this stamp: a view that is not older counts as confirmed. */
  readonly confirmFrom: (stamp: Stamp) => void;
};

/** Watches a feed and calls back once its view is confirmed. */
export const ViewConfirmation = {
  of(feed: Feed, onConfirmed: () => void): ViewConfirmation {
    const startedAt = Instant.now();
    const phase = StateMachine.of('waiting', { waiting: ['vouched'], vouched: [] }, onConfirmed);
    let confirmedStamp: Stamp | undefined;
    const check = () => {
      if (phase.is('vouched') || !feed.view().manifest) return;
      const isReached = confirmedStamp !== undefined && !Stamp.isNewer(confirmedStamp, feed.stamp());
      if (isReached || feed.confirmedAt() > startedAt) phase.transitionTo('vouched');
    };
    feed.watch(check);
    return {
      isConfirmed: () => phase.is('vouched'),
      check,
      confirmFrom(stamp) {
        confirmedStamp ??= stamp;
        check();
      },
    };
  },
};
