// One try of one request on one server: connect and prove, then send, then wait for the response to
// begin. How it ended is told as a tagged union that always says whether the request may have run.
import type { IncomingHttpHeaders } from 'node:http';
import { Failure } from '../kinds/failure.js';
import { Moment } from '../kinds/moment.js';
import { Timer } from '../kinds/timer.js';
import type { Document } from '../manifest/document.js';
import type { Candidate } from './candidate.js';
import type { Connection } from './connection.js';
import type { Exchange } from './exchange.js';
import type { InFlight } from './in-flight.js';
import type { Pool } from './pool.js';
import { Tie } from './tie.js';

export type Trial =
  | { readonly kind: 'unsent'; readonly why: Trial.Why; readonly pick: Candidate }
  | { readonly kind: 'lost'; readonly why: Trial.Why; readonly pick: Candidate }
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

export declare namespace Trial {
  type Why =
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
  type Needs = {
    readonly pool: Pool;
    readonly inFlight: InFlight;
    readonly request: (left: number) => Exchange.Request;
    readonly timeouts: Document.Timeouts;
    readonly deadline: Moment;
    readonly signal: AbortSignal;
    readonly isStillOpen: (pick: Candidate) => boolean;
    readonly settle: () => Promise<void>;
    readonly tie: Tie | undefined;
    /** Connections that carried an earlier try of this request: an answer to that one may still come there. */
    readonly used: Set<Connection>;
    readonly onSend: () => void;
    readonly weight: number;
    /** How long the server may be silent after the request was sent before it is suspected, in milliseconds. */
    readonly suspectAfter: number;
    readonly onWait: () => void;
    /** Calls back when the server is found dark, for a request that another server may run as well. */
    readonly onLost?: (end: () => void) => () => void;
  };
}

const longestResponse = 256 * 1024;
/** A connection that takes longer is left to the prover, and the request, which was not sent, goes elsewhere. */
const slowConnect = 400;

const limit = (spans: readonly (readonly [Trial.Why, number])[]): readonly [Trial.Why, number] =>
  spans.reduce((least, one) => (one[1] < least[1] ? one : least));

const whyOf = (error: unknown, other: Trial.Why): Trial.Why => {
  const told = Failure.info(error).why as Trial.Why | undefined;
  if (told) return told;
  return Failure.is(error, 'identity') ? 'identity' : Failure.is(error, 'connect') ? 'connect' : other;
};

export const Trial = {
  async run(pick: Candidate, needs: Trial.Needs): Promise<Trial> {
    const { timeouts, deadline, inFlight } = needs;
    const cut = new AbortController();
    const end = (why: Trial.Why) => cut.abort(Failure.of('timeout', `ended by ${why}`, { why }));
    const onLeave = () => end('left');
    const perTry = Moment.after(timeouts.per_try);
    const bounds = (): (readonly [Trial.Why, number])[] => [
      ['per_try', Moment.left(perTry)],
      ['total', Moment.left(deadline)],
    ];
    const isOpenedAtOnce = pick.group.proof !== undefined;
    const patience: readonly [Trial.Why, number][] = isOpenedAtOnce ? [['slow', slowConnect]] : [];
    let [why, span] = limit([['connect', timeouts.connect], ...patience, ...bounds()]);
    // A process that was held up hears of its connection in the same turn as of the time that is over.
    const endSlow = () => {
      if (why === 'slow') end('slow');
    };
    const timer = Timer.after(span, () => (why === 'slow' ? setImmediate(endSlow) : end(why)));
    if (needs.signal.aborted) onLeave();
    needs.signal.addEventListener('abort', onLeave, { once: true });
    const job = inFlight.begin(pick.server.instance, needs.weight);
    const finish = () => {
      timer.stop();
      needs.signal.removeEventListener('abort', onLeave);
      job.end();
    };
    const mayCarry = (one: Connection) => one.mayCarry(needs.tie !== undefined) && !needs.used.has(one);
    let connection: Connection;
    try {
      connection = await needs.pool.take(pick.server, pick.group, cut.signal, mayCarry);
    } catch (error) {
      finish();
      return { kind: 'unsent', why: cut.signal.aborted ? why : whyOf(error, 'connect'), pick };
    }
    needs.used.add(connection);
    await needs.settle();
    [why, span] = limit([['first_byte', timeouts.first_byte], ...bounds()]);
    timer.move(span);
    const wait = Timer.after(needs.suspectAfter, needs.onWait);
    const forget = needs.onLost?.(() => end('reset'));
    const begin = () => {
      needs.onSend();
      return true;
    };
    const result = await connection.run(needs.request(Moment.left(deadline)), {
      isTied: needs.tie !== undefined,
      signal: cut.signal,
      maySend: () =>
        !Moment.isPast(perTry) &&
        !Moment.isPast(deadline) &&
        !needs.signal.aborted &&
        needs.isStillOpen(pick) &&
        begin(),
    });
    wait.stop();
    forget?.();
    if (result.kind === 'failure') {
      finish();
      await connection.destroy();
      if (result.isSent) return { kind: 'lost', why: whyOf(result.cause, 'reset'), pick };
      const isLate = Moment.isPast(deadline) || needs.signal.aborted || !needs.isStillOpen(pick);
      return { kind: 'unsent', why: isLate ? 'late' : whyOf(result.cause, 'connect'), pick };
    }
    const { status, headers, body } = result;
    if (!Tie.holds(needs.tie, headers)) {
      finish();
      await connection.destroy();
      return { kind: 'lost', why: 'reset', pick };
    }
    if (status < 400) {
      timer.stop();
      job.toDecode();
      needs.signal.removeEventListener('abort', onLeave);
      return { kind: 'stream', status, headers, body, connection, job, pick };
    }
    const held = await body.collect(longestResponse).catch(() => undefined);
    finish();
    if (held === undefined) await connection.destroy();
    else needs.pool.give(connection);
    if (held === undefined && !pick.group.isNotRun(status, headers))
      return { kind: 'lost', why: cut.signal.aborted ? why : 'reset', pick };
    return { kind: 'response', status, headers, body: held ?? Buffer.alloc(0), pick };
  },
};
