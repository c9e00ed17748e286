// The primary's view of one other member, and the one task that brings it to the newest state wanted: a change in
// one frame where it stands just before it, else a transfer in pieces, one under way at a time. Each exchange has a
// short bound of its own and is judged by the progress it told; a transfer goes on where it stopped, also over
// a new link. A confirmation counts under the epoch that it was asked for under.
import { Epoch } from '../common/epoch.js';
import { Failure } from '../common/failure.js';
import { Instant } from '../common/instant.js';
import { Stamp } from '../common/stamp.js';
import { Timer } from '../common/timer.js';
import type { State } from '../store/state.js';
import type { Frame } from '../wire/frame.js';
import { Protocol } from '../wire/protocol.js';
import type { Leadership } from './leadership.js';
import type { MemberCalls } from './member-calls.js';
import type { Payload } from './payload.js';
import type { TransferSource } from './transfer-source.js';

/** One member as the primary replicates to it. */
export type Follower = {
  /**
   * Brings the member to the state. Resolves, once it has confirmed after this call that it has synced it, with the
   * epoch of that confirmation; rejects where an exchange brought no progress (call again to go on).
   */
  readonly bring: (state: State) => Promise<Epoch>;
  /** The newest state that the member has confirmed under this epoch. */
  readonly confirmed: (epoch: Epoch) => Stamp | undefined;
  /** What the member held when it last told, and the transfer under way. */
  readonly progress: () => Follower.Progress;
};

export declare namespace Follower {
  type Progress = {
    readonly held: Stamp | undefined;
    readonly transfer: { readonly sent: number; readonly length: number } | undefined;
  };
  type Needs = {
    readonly core: () => Frame.Core;
    readonly leadership: Leadership;
    readonly calls: MemberCalls;
    readonly source: TransferSource;
    /** The state that the member is taken to hold until it tells. */
    readonly presumed: Stamp | undefined;
  };
}

type Waiter = {
  readonly stamp: Stamp;
  readonly resolve: (epoch: Epoch) => void;
  readonly reject: (cause: unknown) => void;
};
type Standing = Pick<Extract<Frame.Reply, { kind: 'appended' }>, 'isTaken' | 'held' | 'floor' | 'why'>;

const lookAgainAfter = 100;
const hungAfter = 10_000;

/** What is known of the member's copy, with one function for each way in which that changes. */
const knowledgeOf = ({ core, leadership, presumed }: Follower.Needs) => {
  let held = presumed;
  let lastTold = presumed;
  let confirmed: { readonly stamp: Stamp; readonly epoch: Epoch } | undefined;
  const waiters = new Set<Waiter>();
  return {
    held: () => held,
    lastTold: () => lastTold,
    confirmed: () => confirmed,
    isWaitedFor: () => waiters.size > 0,
    wait: (stamp: Stamp): Promise<Epoch> =>
      new Promise((resolve, reject) => void waiters.add({ stamp, resolve, reject })),
    /** What it holds is not known any more: an exchange ended without an answer. */
    forget() {
      held = undefined;
    },
    fail(cause: unknown) {
      for (const { reject } of waiters) reject(cause);
      waiters.clear();
    },
    /** Learns from a reply to a request under `epoch`; throws where that epoch is below the member's promise. */
    learn(reply: Standing, epoch: Epoch) {
      leadership.recordPromise(Epoch.of(reply.floor));
      if (reply.floor > epoch) throw Failure.of('stale', `${core().node} did not take it: ${reply.why}`);
      held = reply.held;
      lastTold = reply.held;
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

/** Whether a payload still leads a member on that holds this state. */
const isUseful = (payload: Payload | undefined, held: Stamp): boolean =>
  payload !== undefined &&
  (payload.previous ? Stamp.isSame(payload.previous, held) : Stamp.isNewer(payload.target, held));

/** The next exchange with the member, chosen by what is known of its copy. */
const stepsOf = ({ core, leadership, calls, source }: Follower.Needs, known: Knowledge) => {
  let payload: Payload | undefined;
  let offset = 0;
  let writingSince: Instant | undefined;
  const epoch = () => leadership.term().epoch;
  const refuse = (why: string): never => {
    payload = undefined;
    throw Failure.of('stale', `${core().node} did not take it: ${why}`);
  };
  /** Learns from the answer to a write; one that was refused for no reason that is told by what is held ends the task. */
  const learnWrite = (reply: Standing, under: Epoch, before: Stamp) => {
    known.learn(reply, under);
    if (!reply.isTaken && Stamp.isSame(reply.held, before)) refuse(reply.why);
  };
  const locate = async (target: State) => {
    const under = epoch();
    const reply = await calls.offer(under, payload);
    if (!reply.isTaken) {
      known.learn(reply, under);
      refuse(reply.why);
    }
    known.learn(reply, under);
    offset = reply.offset;
    if (!reply.isWriting || Stamp.isSame(reply.held, target.stamp)) {
      writingSince = undefined;
      return;
    }
    writingSince ??= Instant.now();
    if (Instant.since(writingSince) > hungAfter)
      throw Failure.of('store', `the disk of ${core().node} hangs`);
    known.forget();
    await Timer.sleep(lookAgainAfter);
  };
  const sendPiece = async (held: Stamp, sending: Payload) => {
    const under = epoch();
    const reply = await calls.piece(under, sending, offset);
    learnWrite(reply, under, held);
    const isMoved = reply.offset > offset || reply.isWriting || !Stamp.isSame(reply.held, held);
    if (!isMoved) refuse('a piece was not taken');
    offset = reply.offset;
  };
  const step = async (target: State) => {
    const held = known.held();
    if (held && !isUseful(payload, held)) payload = undefined;
    if (!held || Stamp.isSame(held, target.stamp)) return locate(target);
    if (payload) return sendPiece(held, payload);
    const next = source.next(held, target);
    if (next.kind === 'transfer') {
      payload = next.payload;
      return locate(target);
    }
    const under = epoch();
    learnWrite(await calls.append(under, next.previous, next.record, false), under, held);
  };
  /** The same for a program that knows no transfers: a change where it fits, else the whole state in one frame. */
  const stepAsBefore = async (target: State) => {
    const held = known.held();
    const next = held && !Stamp.isSame(held, target.stamp) ? source.next(held, target) : undefined;
    const under = epoch();
    if (next?.kind !== 'change') {
      const reply = await calls.append(under, target.stamp, source.whole(target), true);
      known.learn(reply, under);
      if (!reply.isTaken) refuse(reply.why);
      return;
    }
    const reply = await calls.append(under, next.previous, next.record, false);
    known.learn(reply, under);
    if (!reply.isTaken) known.forget();
  };
  return {
    step: (target: State) => (calls.protocol() < Protocol.transfers ? stepAsBefore(target) : step(target)),
    transfer: () => payload && { sent: offset, length: payload.bytes.length },
  };
};

type Knowledge = ReturnType<typeof knowledgeOf>;

export const Follower = {
  of(needs: Follower.Needs): Follower {
    const { leadership } = needs;
    const known = knowledgeOf(needs);
    const steps = stepsOf(needs, known);
    let target: State | undefined;
    let isDriven = false;
    const drive = async () => {
      isDriven = true;
      try {
        while (known.isWaitedFor()) {
          leadership.mustLead();
          await steps.step(target!);
        }
      } catch (cause) {
        known.forget();
        known.fail(cause);
      } finally {
        isDriven = false;
      }
    };
    return {
      bring(state) {
        if (!target || Stamp.isNewer(state.stamp, target.stamp)) target = state;
        const confirmed = known.wait(state.stamp);
        if (!isDriven) void drive();
        return confirmed;
      },
      confirmed: (epoch) => (known.confirmed()?.epoch === epoch ? known.confirmed()?.stamp : undefined),
      progress: () => ({ held: known.lastTold(), transfer: steps.transfer() }),
    };
  },
};
