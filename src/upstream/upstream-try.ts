/**
 * One try of a request on one server: obtain a connection whose identity is verified, send the request, then wait for
 * the response to begin. The result is a tagged union that always tells whether the server may have run the request.
 */
import type { IncomingHttpHeaders } from 'node:http';
import { Failure } from '../common/failure.js';
import { Instant } from '../common/instant.js';
import { Timer } from '../common/timer.js';
import type { Document } from '../manifest/document.js';
import type { Candidate } from './candidate.js';
import type { Connection } from './connection.js';
import { Correlation } from './correlation.js';
import type { Exchange } from './exchange.js';
import type { InFlight } from './in-flight.js';
import type { Pool } from './pool.js';

/**
 * The result of a try. `unsent`: no byte was sent, so the server did not run it. `lost`: sent without a usable
 * response, so the server may have run it. `response`: a response with an error status. `stream`: a response with a
 * status below 400 whose body is still to be read.
 */
export type UpstreamTry =
  | { readonly kind: 'unsent'; readonly why: UpstreamTry.Reason; readonly pick: Candidate }
  | { readonly kind: 'lost'; readonly why: UpstreamTry.Reason; readonly pick: Candidate }
  | {
      readonly kind: 'response';
      readonly status: number;
      readonly headers: IncomingHttpHeaders;
      readonly body: Buffer;
      readonly pick: Candidate;
    }
  | {
      readonly kind: 'stream';
      readonly status: number;
      readonly headers: IncomingHttpHeaders;
      readonly body: Exchange.Body;
      readonly connection: Connection;
      readonly job: InFlight.Job;
      readonly pick: Candidate;
    };

/** Types of a try. */
export declare namespace UpstreamTry {
  /** Why a try failed. Logs and metrics contain these values. */
  type Reason =
    | 'connect'
    | 'slow'
    | 'full'
    | 'identity'
    | 'first_byte'
    | 'per_try'
    | 'total'
    | 'reset'
    | 'left'
    | 'late';
  /** Dependencies, limits and callbacks of a try. */
  type Needs = {
    readonly pool: Pool;
    readonly inFlight: InFlight;
    /** Builds the request; `left` is the time until the deadline, in milliseconds. */
    readonly request: (left: number) => Exchange.Request;
    readonly timeouts: Document.Timeouts;
    readonly deadline: Instant;
    readonly signal: AbortSignal;
    /** Checked immediately before sending: whether the server may still receive this request. */
    readonly isStillEligible: (pick: Candidate) => boolean;
    /**
     * Resolves once events that queued up while the event loop was stalled, such as a disconnect, have been handled.
     */
    readonly settle: () => Promise<void>;
    /** Header that matches a response to this request, if the server returns one. */
    readonly correlation: Correlation | undefined;
    /** Connections used by earlier tries of this request, on which a late response to those may still arrive. */
    readonly usedConnections: Set<Connection>;
    readonly onSend: () => void;
    /** Prefill work, counted in the in-flight load of the server. */
    readonly weight: number;
    /** How long the server may stay silent after the request was sent before it is suspected, in milliseconds. */
    readonly suspectAfter: number;
    readonly onSuspect: () => void;
    /**
     * Registers a callback for when the server is found unreachable and returns its deregistration. Set only for a
     * request that another server may run as well.
     */
    readonly onUnreachable?: (end: () => void) => () => void;
  };
}

/** Largest body of an error response, in bytes. */
const maxErrorBodyBytes = 256 * 1024;
/**
 * If connecting takes longer than this many milliseconds, the health checker checks the server and the request, which was not
 * sent, goes to another one.
 */
const slowConnectMs = 400;

/** The limit that expires first. */
const earliest = (
  spans: readonly (readonly [UpstreamTry.Reason, number])[],
): readonly [UpstreamTry.Reason, number] => spans.reduce((least, one) => (one[1] < least[1] ? one : least));

/** The reason attached to an error, or else the given default. */
const reasonOf = (error: unknown, fallback: UpstreamTry.Reason): UpstreamTry.Reason => {
  const attached = Failure.info(error).why as UpstreamTry.Reason | undefined;
  if (attached) return attached;
  return Failure.is(error, 'identity') ? 'identity' : Failure.is(error, 'connect') ? 'connect' : fallback;
};

/** Runs one try. */
export const UpstreamTry = {
  async run(pick: Candidate, needs: UpstreamTry.Needs): Promise<UpstreamTry> {
    const { timeouts, deadline, inFlight } = needs;
    const controller = new AbortController();
    const end = (why: UpstreamTry.Reason) =>
      controller.abort(Failure.of('timeout', `ended by ${why}`, { why }));
    const onLeave = () => end('left');
    const perTry = Instant.after(timeouts.per_try);
    const overallLimits = (): (readonly [UpstreamTry.Reason, number])[] => [
      ['per_try', Instant.remaining(perTry)],
      ['total', Instant.remaining(deadline)],
    ];
    const hasNoIdentityRequest = pick.group.proof !== undefined;
    const connectLimits: readonly [UpstreamTry.Reason, number][] = hasNoIdentityRequest
      ? [['slow', slowConnectMs]]
      : [];
    let [why, span] = earliest([['connect', timeouts.connect], ...connectLimits, ...overallLimits()]);
    // After the process was suspended, the event loop may report the established connection in the same turn as the
    // expired timer. Deferring the abort lets the connection win.
    const endIfStillConnecting = () => {
      if (why === 'slow') end('slow');
    };
    const timer = Timer.after(span, () => (why === 'slow' ? setImmediate(endIfStillConnecting) : end(why)));
    if (needs.signal.aborted) onLeave();
    needs.signal.addEventListener('abort', onLeave, { once: true });
    const job = inFlight.begin(pick.server.instance, needs.weight);
    const finish = () => {
      timer.stop();
      needs.signal.removeEventListener('abort', onLeave);
      job.end();
    };
    const isUsable = (candidate: Connection) =>
      candidate.mayCarry(needs.correlation !== undefined) && !needs.usedConnections.has(candidate);
    let connection: Connection;
    try {
      connection = await needs.pool.take(pick.server, pick.group, controller.signal, isUsable);
    } catch (error) {
      finish();
      return { kind: 'unsent', why: controller.signal.aborted ? why : reasonOf(error, 'connect'), pick };
    }
    needs.usedConnections.add(connection);
    await needs.settle();
    [why, span] = earliest([['first_byte', timeouts.first_byte], ...overallLimits()]);
    timer.reschedule(span);
    const suspicionTimer = Timer.after(needs.suspectAfter, needs.onSuspect);
    const unwatch = needs.onUnreachable?.(() => end('reset'));
    const markSent = () => {
      needs.onSend();
      return true;
    };
    const result = await connection.run(needs.request(Instant.remaining(deadline)), {
      isCorrelated: needs.correlation !== undefined,
      signal: controller.signal,
      maySend: () =>
        !Instant.isPast(perTry) &&
        !Instant.isPast(deadline) &&
        !needs.signal.aborted &&
        needs.isStillEligible(pick) &&
        markSent(),
    });
    suspicionTimer.stop();
    unwatch?.();
    if (result.kind === 'failure') {
      finish();
      await connection.destroy();
      if (result.isSent) return { kind: 'lost', why: reasonOf(result.cause, 'reset'), pick };
      const isLate = Instant.isPast(deadline) || needs.signal.aborted || !needs.isStillEligible(pick);
      return { kind: 'unsent', why: isLate ? 'late' : reasonOf(result.cause, 'connect'), pick };
    }
    const { status, headers, body } = result;
    if (!Correlation.matches(needs.correlation, headers)) {
      finish();
      await connection.destroy();
      return { kind: 'lost', why: 'reset', pick };
    }
    if (status < 400) {
      timer.stop();
      job.startDecode();
      needs.signal.removeEventListener('abort', onLeave);
      return { kind: 'stream', status, headers, body, connection, job, pick };
    }
    const errorBody = await body.collect(maxErrorBodyBytes).catch(() => undefined);
    finish();
    if (errorBody === undefined) await connection.destroy();
    else needs.pool.give(connection);
    if (errorBody === undefined && !pick.group.isNotRun(status, headers))
      return { kind: 'lost', why: controller.signal.aborted ? why : 'reset', pick };
    return { kind: 'response', status, headers, body: errorBody ?? Buffer.alloc(0), pick };
  },
};
