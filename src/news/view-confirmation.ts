// May the view held be put in force? A node that starts empty could be handed an older view than it served
// under before, by a relay that lags or a peer that is cut off. So it serves only once its view is vouched
// for: by word that left the primary after this start and names that very view, or by the other half of its
// own machine, which holds at least what this half ever had. What came to be vouched for stays so.
import { Instant } from '../common/instant.js';
import { Stamp } from '../common/stamp.js';
import { StateMachine } from '../common/state-machine.js';
import type { Feed } from './feed.js';

export type ViewConfirmation = {
  readonly isConfirmed: () => boolean;
  readonly check: () => void;
  readonly confirmFrom: (stamp: Stamp) => void;
};

export const ViewConfirmation = {
  of(feed: Feed, onVouched: () => void): ViewConfirmation {
    const began = Instant.now();
    const phase = StateMachine.of('waiting', { waiting: ['vouched'], vouched: [] }, onVouched);
    let promised: Stamp | undefined;
    const look = () => {
      if (phase.is('vouched') || !feed.view().manifest) return;
      const isKept = promised !== undefined && !Stamp.isNewer(promised, feed.stamp());
      if (isKept || feed.confirmedAt() > began) phase.transitionTo('vouched');
    };
    feed.watch(look);
    return {
      isConfirmed: () => phase.is('vouched'),
      check: look,
      confirmFrom(stamp) {
        promised ??= stamp;
        look();
      },
    };
  },
};
