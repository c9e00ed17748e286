/**
 * Background catch-up: keeps every member close to the acknowledged state, including those not in sync, without
 * blocking commits. A returning member is brought to the newest state, and a member recruited in place of a lost
 * backup has little left to copy. Only acknowledged states are sent.
 */
import { Failure } from '../common/failure.js';
import { Instant } from '../common/instant.js';
import { Timer } from '../common/timer.js';
import type { State } from '../store/state.js';
import type { Frame } from '../wire/frame.js';
import type { Followers } from './followers.js';
import type { Leadership } from './leadership.js';

/** Background catch-up of the members; runs until the leadership ends. */
export type CatchUp = {
  /** The number of members of the term that have not confirmed the acknowledged state yet. */
  readonly laggingMembers: () => number;
};

const checkIntervalMs = 150;
const retryDelayMs = 500;

/** Starts the background catch-up of a primary. */
export const CatchUp = {
  /** Starts checking the members; stops by itself once the leadership is deposed. */
  start(options: {
    readonly leadership: Leadership;
    readonly followers: Followers;
    /** The acknowledged state; undefined while there is none. */
    readonly acknowledged: () => State | undefined;
    readonly note: (text: string, facts?: Record<string, unknown>) => void;
  }): CatchUp {
    const { leadership, followers } = options;
    const inProgress = new Set<string>();
    const failures = new Map<string, { readonly at: Instant; readonly why: string }>();
    const others = () => leadership.term().cores.filter(({ disk }) => disk !== leadership.disk);
    const needsCatchUp = (core: Frame.Core, state: State) =>
      followers.downFor(core) === 0 &&
      !inProgress.has(core.disk) &&
      Instant.since(failures.get(core.disk)?.at ?? Instant.past) > retryDelayMs &&
      followers.supportsTransfers(core) &&
      !followers.hasConfirmed(core, state.stamp);
    const catchUp = async (core: Frame.Core, state: State) => {
      inProgress.add(core.disk);
      try {
        await followers.replicate(core, state);
        failures.delete(core.disk);
      } catch (error) {
        const why = Failure.text(error);
        if (failures.get(core.disk)?.why !== why && leadership.isLeading())
          options.note('member catch-up failed', { node: core.node, why });
        failures.set(core.disk, { at: Instant.now(), why });
      } finally {
        inProgress.delete(core.disk);
      }
    };
    const checkMembers = () => {
      const state = options.acknowledged();
      if (!state) return;
      for (const core of others()) if (needsCatchUp(core, state)) void catchUp(core, state);
    };
    const timer = Timer.every(checkIntervalMs, checkMembers);
    void leadership.deposed.then(timer.stop);
    return {
      laggingMembers() {
        const state = options.acknowledged();
        return state ? others().filter((core) => !followers.hasConfirmed(core, state.stamp)).length : 0;
      },
    };
  },
};
