// One state on its way to the other cores: who was asked for it, who holds it, and who failed and when.
import type { Epoch } from '../common/epoch.js';
import { Failure } from '../common/failure.js';
import { Instant } from '../common/instant.js';
import { Latch } from '../common/latch.js';
import type { State } from '../store/state.js';
import type { Frame } from '../wire/frame.js';
import type { Followers } from './followers.js';

/** The progress of one state at the other cores. */
export type ReplicationRound = {
  /** The disk of a core that is about to leave and is not asked. */
  readonly leaving: string | undefined;
  /** The disks that have confirmed the state since this round began, under this epoch. */
  readonly holders: (epoch: Epoch) => ReadonlySet<string>;
  readonly hasFailures: () => boolean;
  /** Whether no request is under way. */
  readonly isIdle: () => boolean;
  /** The failures so far do not count any more: another term is in force. */
  readonly forgiveFailures: () => void;
  /** Brings a core to the state, unless that is under way. */
  readonly offer: (core: Frame.Core) => void;
  /** Brings each of these cores to it that is up, has not confirmed it under the epoch and did not fail just now. */
  readonly offerAgain: (cores: readonly Frame.Core[], epoch: Epoch) => void;
  /** Waits until a request has ended, for `span` milliseconds at most. */
  readonly moved: (span: number) => Promise<void>;
};

const offerAgainAfter = 300;

export const ReplicationRound = {
  of(needs: {
    readonly followers: Followers;
    readonly disk: string;
    readonly state: State;
    /** A disk that is offered nothing, since its core is about to leave. */
    readonly leaving?: string | undefined;
    readonly note: (text: string, facts?: Record<string, unknown>) => void;
  }): ReplicationRound {
    const { followers, state } = needs;
    const confirmed = new Map<string, Epoch>();
    const asked = new Set<string>();
    const failedAt = new Map<string, Instant>();
    let ended = Latch.of();
    const offer: ReplicationRound['offer'] = (core) => {
      if (asked.has(core.disk)) return;
      asked.add(core.disk);
      const fail = (error: unknown) => {
        failedAt.set(core.disk, Instant.now());
        needs.note('backup did not confirm', { node: core.node, why: Failure.text(error) });
      };
      void followers
        .bring(core, state)
        .then((epoch) => void confirmed.set(core.disk, epoch), fail)
        .finally(() => {
          asked.delete(core.disk);
          ended.release();
        });
    };
    const mayBeOffered = (core: Frame.Core, epoch: Epoch) =>
      core.disk !== needs.disk &&
      core.disk !== needs.leaving &&
      confirmed.get(core.disk) !== epoch &&
      followers.downFor(core) === 0 &&
      Instant.since(failedAt.get(core.disk) ?? Instant.past) > offerAgainAfter;
    return {
      leaving: needs.leaving,
      holders: (epoch) => new Set([...confirmed].flatMap(([disk, under]) => (under === epoch ? [disk] : []))),
      hasFailures: () => failedAt.size > 0,
      isIdle: () => asked.size === 0,
      forgiveFailures: () => failedAt.clear(),
      offer,
      offerAgain(cores, epoch) {
        for (const core of cores) if (mayBeOffered(core, epoch)) offer(core);
      },
      moved(span) {
        ended = Latch.of();
        return ended.wait(span);
      },
    };
  },
};
