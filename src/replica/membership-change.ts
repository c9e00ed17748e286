// Changes of which disks the cores are. A newcomer takes a free slot, or that of the core which has been silent
// longest. A core in sync gives its slot up only after another one has replaced it in the in-sync set. A core that
// is about to end is released in the same way, at its own request: first another one takes its place in sync, then
// a newcomer that waits takes its slot, by one change which majorities before and after accept. Where none waits the
// slot stays with it, for most that end are started again at once.

import { Instant } from '../common/instant.js';
import { Term } from '../epoch/term.js';
import type { Frame } from '../wire/frame.js';
import type { Followers } from './followers.js';
import type { Leadership } from './leadership.js';
import type { TermChange } from './term-change.js';

/** The primary's changes of the membership; run one at a time, between commits. */
export type MembershipChange = {
  /** Takes a core in; resolves with the reason where it was not taken, else with an empty text. */
  readonly join: (core: Frame.Core) => Promise<string>;
  /** Releases a core that is about to end; resolves with the reason where it can't be released yet. */
  readonly leave: (core: Frame.Core, successor: Frame.Core | null) => Promise<string>;
  /** A core that asked to be taken in just now: one that is in touch, if there is any. */
  readonly newcomer: () => Frame.Core | undefined;
};

const replaceAfter = 2000;
/** How long after it asked a newcomer counts as waiting, in milliseconds. */
const waitsFor = 2000;

export const MembershipChange = {
  of(needs: {
    readonly leadership: Leadership;
    readonly termChange: TermChange;
    readonly followers: Followers;
    readonly losses: number;
    /** Brings the acknowledged state to enough others that the in-sync set may be swapped. */
    readonly replaceBackups: () => Promise<void>;
    /** Swaps a core that is about to leave out of the in-sync set. */
    readonly swapOut: (disk: string) => Promise<void>;
  }): MembershipChange {
    const { leadership, termChange, followers } = needs;
    /** The core whose slot the newcomer may take: one at the newcomer's own address first. */
    const replaceable = (newcomer: Frame.Core): Frame.Core | undefined => {
      const silentFor = (core: Frame.Core) =>
        core.wire === newcomer.wire ? Number.POSITIVE_INFINITY : followers.downFor(core);
      return leadership
        .term()
        .cores.filter((core) => core.disk !== leadership.disk && silentFor(core) > replaceAfter)
        .sort((a, b) => (silentFor(a) < silentFor(b) ? 1 : -1))[0];
    };
    const waiting = new Map<string, { readonly core: Frame.Core; readonly since: Instant }>();
    /** Those that asked to be taken in just now and have no slot yet. */
    const newcomers = (): readonly Frame.Core[] => {
      for (const [disk, { since }] of waiting)
        if (Instant.since(since) > waitsFor || Term.has(leadership.term(), disk)) waiting.delete(disk);
      return [...waiting.values()].map(({ core }) => core);
    };
    const newcomerInTouch = () => newcomers().find((core) => followers.downFor(core) === 0);
    const replace = async (old: Frame.Core | undefined, next: Frame.Core): Promise<string> => {
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
        const isFull = cores.length > 2 * needs.losses;
        const old = isFull ? replaceable(joining) : undefined;
        waiting.set(joining.disk, { core: joining, since: Instant.now() });
        if (isFull && !old) return 'all cores are alive';
        if (old && isInSync(old)) {
          await needs.replaceBackups();
          if (isInSync(old)) return 'the state is not yet held by enough others';
        }
        return replace(old, joining);
      },
      newcomer: () => newcomerInTouch() ?? newcomers()[0],
      async leave(leaving, successor) {
        leadership.mustLead();
        if (!Term.has(leadership.term(), leaving.disk)) return '';
        if (isInSync(leaving)) {
          await needs.swapOut(leaving.disk);
          if (isInSync(leaving)) return 'no other core could take the state';
        }
        if (successor) waiting.set(successor.disk, { core: successor, since: Instant.now() });
        const next = newcomerInTouch();
        if (next) return replace(leaving, next);
        return newcomers().length > 0 ? 'the newcomer that waits is not in touch yet' : '';
      },
    };
  },
};
