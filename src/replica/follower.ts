/**
 * The primary's view of one other member, and the single task that brings it to the newest requested state: one
 * change in one frame if the member is exactly one change behind, else a transfer in pieces, one piece at a time.
 * Each exchange has its own short timeout and is judged by the progress that the member reports. A transfer resumes
 * where it stopped, also over a new link. A confirmation counts under the epoch of its request.
 */
import { Epoch } from '../common/epoch.js';
import { Failure } from '../common/failure.js';
import { Instant } from '../common/instant.js';
import { Stamp } from '../common/stamp.js';
import { Timer } from '../common/timer.js';
import type { State } from '../store/state.js';
import type { Frame } from '../wire/frame.js';
import { Protocol } from '../wire/protocol.js';
import type { Leadership } from './leadership.js';
import type { MemberClient } from './member-client.js';
import type { Payload } from './payload.js';
import type { TransferSource } from './transfer-source.js';

/** Replication to one member. */
export type Follower = {
  /**
   * Brings the member to the state. Resolves with the epoch of the confirmation once the member has confirmed, after
   * this call, that it has synced the state. Rejects if an exchange made no progress; call again to continue.
   */
  readonly replicate: (state: State) => Promise<Epoch>;
  /** The newest state that the member has confirmed under this epoch. */
  readonly confirmed: (epoch: Epoch) => Stamp | undefined;
  /** The state that the member last reported, and the transfer in progress. */
  readonly progress: () => Follower.Progress;
};

/** Types of the follower. */
export declare namespace Follower {
  /** How far a member has followed. */
  type Progress = {
    readonly held: Stamp | undefined;
    readonly transfer: { readonly sent: number; readonly length: number } | undefined;
  };
  /** What a follower is built from. */
  type Options = {
    readonly core: () => Frame.Core;
    readonly leadership: Leadership;
    readonly client: MemberClient;
    readonly source: TransferSource;
    /** The state that the member is assumed to hold until it reports one. */
    readonly assumedStamp: Stamp | undefined;
  };
}

type Waiter = {
  readonly stamp: Stamp;
  readonly resolve: (epoch: Epoch) => void;
  readonly reject: (cause: unknown) => void;
};
type ReplyStatus = Pick<Extract<Frame.Reply, { kind: 'appended' }>, 'isTaken' | 'held' | 'floor' | 'why'>;

const writePollIntervalMs = 100;
/** How long a member may keep reporting a write in progress before its disk counts as hung. */
const diskHungAfterMs = 10_000;

/** What the primary knows of the member's copy, and the operations that change it. */
const createMemberView = ({ core, leadership, assumedStamp }: Follower.Options) => {
  let held = assumedStamp;
  let lastReported = assumedStamp;
  let confirmed: { readonly stamp: Stamp; readonly epoch: Epoch } | undefined;
  const waiters = new Set<Waiter>();
  return {
    held: () => held,
    lastReported: () => lastReported,
    confirmed: () => confirmed,
    hasWaiters: () => waiters.size > 0,
    waitFor: (stamp: Stamp): Promise<Epoch> =>
      new Promise((resolve, reject) => void waiters.add({ stamp, resolve, reject })),
    /** The member's state is unknown from now on, because an exchange ended without an answer. */
    invalidate() {
      held = undefined;
    },
    rejectAll(cause: unknown) {
      for (const { reject } of waiters) reject(cause);
      waiters.clear();
    },
    /**
     * Applies a reply to a request under `epoch`; throws if that epoch is below the one that the member has promised.
     */
    applyReply(reply: ReplyStatus, epoch: Epoch) {
      leadership.recordPromise(Epoch.of(reply.floor));
      if (reply.floor > epoch) throw Failure.of('stale', `${core().node} did not take it: ${reply.why}`);
      held = reply.held;
      lastReported = reply.held;
      if (!reply.isTaken) return;
      confirmed = { stamp: reply.held, epoch };
      for (const waiter of [...waiters])
        if (!Stamp.isNewer(waiter.stamp, reply.held)) {
          waiters.delete(waiter);
          waiter.resolve(epoch);
        }
    },
  };
};

/** Whether a payload can still be applied by a member that holds this state. */
const isApplicable = (payload: Payload | undefined, held: Stamp): boolean =>
  payload !== undefined &&
  (payload.previous ? Stamp.isSame(payload.previous, held) : Stamp.isNewer(payload.target, held));

/** Runs the next exchange with the member, chosen by what is known of its copy. */
const createExchanges = ({ core, leadership, client, source }: Follower.Options, member: MemberView) => {
  let payload: Payload | undefined;
  let offset = 0;
  let writingSince: Instant | undefined;
  const epoch = () => leadership.term().epoch;
  const abort = (why: string): never => {
    payload = undefined;
    throw Failure.of('stale', `${core().node} did not take it: ${why}`);
  };
  /** Applies the reply to a write. A rejection ends the task unless the state held changed, which explains it. */
  const applyWriteReply = (reply: ReplyStatus, requestEpoch: Epoch, before: Stamp) => {
    member.applyReply(reply, requestEpoch);
    if (!reply.isTaken && Stamp.isSame(reply.held, before)) abort(reply.why);
  };
  const offer = async (target: State) => {
    const requestEpoch = epoch();
    const reply = await client.offer(requestEpoch, payload);
    if (!reply.isTaken) {
      member.applyReply(reply, requestEpoch);
      abort(reply.why);
    }
    member.applyReply(reply, requestEpoch);
    offset = reply.offset;
    if (!reply.isWriting || Stamp.isSame(reply.held, target.stamp)) {
      writingSince = undefined;
      return;
    }
    writingSince ??= Instant.now();
    if (Instant.since(writingSince) > diskHungAfterMs)
      throw Failure.of('store', `the disk of ${core().node} does not complete its write`);
    member.invalidate();
    await Timer.sleep(writePollIntervalMs);
  };
  const sendPiece = async (held: Stamp, current: Payload) => {
    const requestEpoch = epoch();
    const reply = await client.piece(requestEpoch, current, offset);
    applyWriteReply(reply, requestEpoch, held);
    const hasProgressed = reply.offset > offset || reply.isWriting || !Stamp.isSame(reply.held, held);
    if (!hasProgressed) abort('a piece was not accepted');
    offset = reply.offset;
  };
  const step = async (target: State) => {
    const held = member.held();
    if (held && !isApplicable(payload, held)) payload = undefined;
    if (!held || Stamp.isSame(held, target.stamp)) return offer(target);
    if (payload) return sendPiece(held, payload);
    const next = source.next(held, target);
    if (next.kind === 'transfer') {
      payload = next.payload;
      return offer(target);
    }
    const requestEpoch = epoch();
    applyWriteReply(await client.append(requestEpoch, next.previous, next.record, false), requestEpoch, held);
  };
  /**
   * The same for a version without transfers: one change if the member is one behind, else the full state in one
   * frame.
   */
  const legacyStep = async (target: State) => {
    const held = member.held();
    const next = held && !Stamp.isSame(held, target.stamp) ? source.next(held, target) : undefined;
    const requestEpoch = epoch();
    if (next?.kind !== 'change') {
      const reply = await client.append(requestEpoch, target.stamp, source.snapshotRecord(target), true);
      member.applyReply(reply, requestEpoch);
      if (!reply.isTaken) abort(reply.why);
      return;
    }
    const reply = await client.append(requestEpoch, next.previous, next.record, false);
    member.applyReply(reply, requestEpoch);
    if (!reply.isTaken) member.invalidate();
  };
  return {
    step: (target: State) => (client.protocol() < Protocol.transfers ? legacyStep(target) : step(target)),
    transfer: () => payload && { sent: offset, length: payload.bytes.length },
  };
};

type MemberView = ReturnType<typeof createMemberView>;

/** Creates the replication to one member. */
export const Follower = {
  /** A follower that is idle until a state is requested. */
  of(options: Follower.Options): Follower {
    const { leadership } = options;
    const member = createMemberView(options);
    const exchanges = createExchanges(options, member);
    let target: State | undefined;
    let isRunning = false;
    const run = async () => {
      isRunning = true;
      try {
        while (member.hasWaiters()) {
          leadership.mustLead();
          await exchanges.step(target!);
        }
      } catch (cause) {
        member.invalidate();
        member.rejectAll(cause);
      } finally {
        isRunning = false;
      }
    };
    return {
      replicate(state) {
        if (!target || Stamp.isNewer(state.stamp, target.stamp)) target = state;
        const confirmed = member.waitFor(state.stamp);
        if (!isRunning) void run();
        return confirmed;
      },
      confirmed: (epoch) => (member.confirmed()?.epoch === epoch ? member.confirmed()?.stamp : undefined),
      progress: () => ({ held: member.lastReported(), transfer: exchanges.transfer() }),
    };
  },
};
