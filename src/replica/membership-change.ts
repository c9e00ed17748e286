/**
 * Changes of the cores of the term. A joining core gets a free slot, or that of the core that has been unreachable
 * for the longest time. A core in sync gives up its slot only after another one has replaced it in the in-sync set. A
 * core that is shutting down is released in the same way at its own request: first another core replaces it in the
 * in-sync set, then a waiting core takes its slot, in one change that majorities before and after it accept. If no
 * core is waiting, the slot stays reserved, because most cores that shut down are restarted at once.
 */

import { Instant } from '../common/instant.js';
import { Term } from '../epoch/term.js';
import type { Frame } from '../wire/frame.js';
import type { Followers } from './followers.js';
import type { Leadership } from './leadership.js';
import type { TermChange } from './term-change.js';

/** Membership changes of the primary; run one at a time, between commits. */
export type MembershipChange = {
  /** Adds a core; resolves with the reason if it was not added, else with an empty string. */
  readonly join: (core: Frame.Core) => Promise<string>;
  /**
   * Releases a core that is shutting down; resolves with the reason if it can't be released yet, else with an empty
   * string.
   */
  readonly leave: (core: Frame.Core, successor: Frame.Core | null) => Promise<string>;
  /** A core that asked to join recently, preferably one that is reachable. */
  readonly joiningCore: () => Frame.Core | undefined;
};

/** How long a core must be unreachable before a joining core may take its slot. */
const replaceAfterMs = 2000;
/** How long a core counts as waiting after it asked to join. */
const joinRequestTtlMs = 2000;

/** Creates the membership changes of a primary. */
export const MembershipChange = {
  /** The membership changes of one leadership. */
  of(options: {
    readonly leadership: Leadership;
    readonly termChange: TermChange;
    readonly followers: Followers;
    /** How many cores may be lost at the same time. */
    readonly losses: number;
    /** Replicates the acknowledged state to enough other cores to replace unreachable backups. */
    readonly replaceBackups: () => Promise<void>;
    /** Replaces a leaving core in the in-sync set. */
    readonly swapOut: (disk: string) => Promise<void>;
  }): MembershipChange {
    const { leadership, termChange, followers } = options;
    /** The core whose slot the joining core may take: one at the joining core's own address first. */
    const findReplaceable = (joining: Frame.Core): Frame.Core | undefined => {
      const unreachableFor = (core: Frame.Core) =>
        core.wire === joining.wire ? Number.POSITIVE_INFINITY : followers.downFor(core);
      return leadership
        .term()
        .cores.filter((core) => core.disk !== leadership.disk && unreachableFor(core) > replaceAfterMs)
        .sort((a, b) => (unreachableFor(a) < unreachableFor(b) ? 1 : -1))[0];
    };
    const waiting = new Map<string, { readonly core: Frame.Core; readonly since: Instant }>();
    /** Cores that asked to join recently and have no slot yet. */
    const waitingCores = (): readonly Frame.Core[] => {
      for (const [disk, { since }] of waiting)
        if (Instant.since(since) > joinRequestTtlMs || Term.has(leadership.term(), disk))
          waiting.delete(disk);
      return [...waiting.values()].map(({ core }) => core);
    };
    const reachableWaitingCore = () => waitingCores().find((core) => followers.downFor(core) === 0);
    const assignSlot = async (old: Frame.Core | undefined, next: Frame.Core): Promise<string> => {
      const isDone = await termChange.change((base) =>
        Term.next(base, {
          cores: old
            ? base.cores.map((core) => (core.disk === old.disk ? next : core))
            : [...base.cores, next],
        }),
      );
      if (isDone) await termChange.announce();
      return isDone ? '' : 'the register was not changed';
    };
    const isInSync = (core: Frame.Core) => leadership.backups().includes(core.disk);
    return {
      async join(joining) {
        leadership.mustLead();
        const { cores } = leadership.term();
        if (Term.has(leadership.term(), joining.disk)) return '';
        const isFull = cores.length > 2 * options.losses;
        const old = isFull ? findReplaceable(joining) : undefined;
        waiting.set(joining.disk, { core: joining, since: Instant.now() });
        if (isFull && !old) return 'all cores are alive';
        if (old && isInSync(old)) {
          await options.replaceBackups();
          if (isInSync(old)) return 'the state is not yet held by enough others';
        }
        return assignSlot(old, joining);
      },
      joiningCore: () => reachableWaitingCore() ?? waitingCores()[0],
      async leave(leaving, successor) {
        leadership.mustLead();
        if (!Term.has(leadership.term(), leaving.disk)) return '';
        if (isInSync(leaving)) {
          await options.swapOut(leaving.disk);
          if (isInSync(leaving)) return 'no other core could take the state';
        }
        if (successor) waiting.set(successor.disk, { core: successor, since: Instant.now() });
        const next = reachableWaitingCore();
        if (next) return assignSlot(leaving, next);
        return waitingCores().length > 0 ? 'the newcomer that waits is not in touch yet' : '';
      },
    };
  },
};
