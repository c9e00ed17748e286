/** One state being replicated to the other cores: which were sent it, which hold it, and which failed and when. */
import type { Epoch } from '../common/epoch.js';
import { Failure } from '../common/failure.js';
import { Instant } from '../common/instant.js';
import { Latch } from '../common/latch.js';
import type { State } from '../store/state.js';
import type { Frame } from '../wire/frame.js';
import type { Followers } from './followers.js';

/** The replication progress of one state at the other cores. */
export type ReplicationRound = {
  /** The disk of a core that is leaving and is therefore not sent the state. */
  readonly leaving: string | undefined;
  /** The disks that have confirmed the state under this epoch since the round started. */
  readonly holders: (epoch: Epoch) => ReadonlySet<string>;
  /** Whether a request has failed since the failures were last cleared. */
  readonly hasFailures: () => boolean;
  /** Whether no request is in progress. */
  readonly isIdle: () => boolean;
  /** Clears the recorded failures, because another term is in force. */
  readonly clearFailures: () => void;
  /** Sends the state to a core, unless that is in progress. */
  readonly send: (core: Frame.Core) => void;
  /** Sends it to each of these cores that is up, has not confirmed it under the epoch and has not failed recently. */
  readonly sendMissing: (cores: readonly Frame.Core[], epoch: Epoch) => void;
  /** Waits until a request has ended, for at most `timeoutMs`. */
  readonly waitForReply: (timeoutMs: number) => Promise<void>;
};

const retryDelayMs = 300;

/** Creates replication rounds. */
export const ReplicationRound = {
  /** A round in which nothing has been sent yet. */
  of(options: {
    readonly followers: Followers;
    readonly disk: string;
    readonly state: State;
    /** A disk that is not sent the state, because its core is leaving. */
    readonly leaving?: string | undefined;
    readonly note: (text: string, facts?: Record<string, unknown>) => void;
  }): ReplicationRound {
    const { followers, state } = options;
    const confirmed = new Map<string, Epoch>();
    const asked = new Set<string>();
    const failedAt = new Map<string, Instant>();
    let ended = Latch.of();
    const send: ReplicationRound['send'] = (core) => {
      if (asked.has(core.disk)) return;
      asked.add(core.disk);
      const fail = (error: unknown) => {
        failedAt.set(core.disk, Instant.now());
        options.note('backup did not confirm', { node: core.node, why: Failure.text(error) });
      };
      void followers
        .replicate(core, state)
        .then((epoch) => void confirmed.set(core.disk, epoch), fail)
        .finally(() => {
          asked.delete(core.disk);
          ended.release();
        });
    };
    const needsState = (core: Frame.Core, epoch: Epoch) =>
      core.disk !== options.disk &&
      core.disk !== options.leaving &&
      confirmed.get(core.disk) !== epoch &&
      followers.downFor(core) === 0 &&
      Instant.since(failedAt.get(core.disk) ?? Instant.past) > retryDelayMs;
    return {
      leaving: options.leaving,
      holders: (epoch) => new Set([...confirmed].flatMap(([disk, under]) => (under === epoch ? [disk] : []))),
      hasFailures: () => failedAt.size > 0,
      isIdle: () => asked.size === 0,
      clearFailures: () => failedAt.clear(),
      send,
      sendMissing(cores, epoch) {
        for (const core of cores) if (needsState(core, epoch)) send(core);
      },
      waitForReply(timeoutMs) {
        ended = Latch.of();
        return ended.wait(timeoutMs);
      },
    };
  },
};
