// The feed holds the newest view this process knows and tells its watchers when a newer one comes. It
// takes nothing with a lower or equal stamp, and no empty view in place of a manifest. It also knows how old
// the last word from the primary is: ages travel with pings down the tree, so that a node behind a cut-off
// relay notices and looks elsewhere. Word that names a newer view than the one held does not count, and
// word that names the very view held vouches for it: it was the newest when that word left the primary. The
// first such word for a view is told to those who pass words on, so that it need not wait for their next ping.
import { Instant } from '../common/instant.js';
import { Stamp } from '../common/stamp.js';
import { View } from '../manifest/view.js';

export type Feed = {
  readonly view: () => View;
  readonly stamp: () => Stamp;
  readonly offer: (view: View) => boolean;
  readonly watch: (see: (view: View) => void) => () => void;
  readonly watchConfirmed: (see: () => void) => () => void;
  readonly recordPing: (age: number, stamp: Stamp) => void;
  readonly age: () => number;
  readonly confirmedAt: () => Instant;
  readonly ignoredCount: () => number;
};

export const Feed = {
  of(first: View = View.empty): Feed {
    let view = first;
    let heard = Instant.past;
    let vouched = Instant.past;
    let ignored = 0;
    let isVouched = false;
    const wordWatchers = new Set<() => void>();
    const watchers = new Set<(view: View) => void>();
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
        isVouched = false;
        for (const see of [...watchers]) see(next);
        return true;
      },
      watch(see) {
        watchers.add(see);
        return () => void watchers.delete(see);
      },
      watchConfirmed(see) {
        wordWatchers.add(see);
        return () => void wordWatchers.delete(see);
      },
      recordPing(age, stamp) {
        if (Stamp.isNewer(stamp, view.stamp)) return;
        const at = Instant.after(-age);
        if (at > heard) heard = at;
        if (at <= vouched || !view.manifest || !Stamp.isSame(stamp, view.stamp)) return;
        vouched = at;
        if (isVouched) return;
        isVouched = true;
        for (const see of [...wordWatchers]) see();
      },
      age: () => Instant.since(heard),
      confirmedAt: () => vouched,
    };
  },
};
