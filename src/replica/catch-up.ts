// Keeps every member near the acknowledged state, also those that are not in sync, beside the commits and holding
// none of them up: a member that returns is brought to the newest state, and one that is recruited in place of a
// lost backup lacks little. Only acknowledged states go out from here.
import { Failure } from '../common/failure.js';
import { Instant } from '../common/instant.js';
import { Timer } from '../common/timer.js';
import type { State } from '../store/state.js';
import type { Frame } from '../wire/frame.js';
import type { Followers } from './followers.js';
import type { Leadership } from './leadership.js';

/** Runs until the leadership ends. */
export type CatchUp = {
  /** How many members of the term have not confirmed the acknowledged state yet. */
  readonly behind: () => number;
};

const lookEvery = 150;
const tryAgainAfter = 500;

export const CatchUp = {
  begin(needs: {
    readonly leadership: Leadership;
    readonly followers: Followers;
    /** The acknowledged state; undefined while none is. */
    readonly acknowledged: () => State | undefined;
    readonly note: (text: string, facts?: Record<string, unknown>) => void;
  }): CatchUp {
    const { leadership, followers } = needs;
    const underWay = new Set<string>();
    const failures = new Map<string, { readonly at: Instant; readonly why: string }>();
    const others = () => leadership.term().cores.filter(({ disk }) => disk !== leadership.disk);
    const mayTry = (core: Frame.Core, state: State) =>
      followers.downFor(core) === 0 &&
      !underWay.has(core.disk) &&
      Instant.since(failures.get(core.disk)?.at ?? Instant.past) > tryAgainAfter &&
      followers.knowsTransfers(core) &&
      !followers.hasConfirmed(core, state.stamp);
    const bring = async (core: Frame.Core, state: State) => {
      underWay.add(core.disk);
      try {
        await followers.bring(core, state);
        failures.delete(core.disk);
      } catch (error) {
        const why = Failure.text(error);
        if (failures.get(core.disk)?.why !== why && leadership.isLeading())
          needs.note('member does not catch up', { node: core.node, why });
        failures.set(core.disk, { at: Instant.now(), why });
      } finally {
        underWay.delete(core.disk);
      }
    };
    const look = () => {
      const state = needs.acknowledged();
      if (!state) return;
      for (const core of others()) if (mayTry(core, state)) void bring(core, state);
    };
    const looks = Timer.every(lookEvery, look);
    void leadership.deposed.then(looks.stop);
    return {
      behind() {
        const state = needs.acknowledged();
        return state ? others().filter((core) => !followers.hasConfirmed(core, state.stamp)).length : 0;
      },
    };
  },
};
