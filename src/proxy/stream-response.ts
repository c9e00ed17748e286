/**
 * Relays a successful response of a server to the client. The response headers are sent together with body data that
 * arrives in the same turn of the event loop, or alone if there is none; from then on the request is not retried. A broken
 * event stream may be resumed on another server if its rule allows this. Any other broken response ends with an abrupt
 * close of the client connection, so that the client never mistakes a truncated response for a complete one.
 */
import { ContentKind } from '../common/content-kind.js';
import { Instant } from '../common/instant.js';
import { ClientConnection } from '../overload/client-connection.js';
import { Suspicion } from '../upstream/suspicion.js';
import type { UpstreamTry } from '../upstream/upstream-try.js';
import { BodyWriter } from './body-writer.js';
import { Call } from './call.js';
import { EventSplitter } from './event-splitter.js';
import type { Filter } from './filter.js';
import { HeaderFilter } from './header-filter.js';
import { StreamPump } from './stream-pump.js';

/** A response whose headers have been sent. */
export type StreamResponse = { readonly relay: () => Promise<StreamPump> };

type ServerStream = Extract<UpstreamTry, { kind: 'stream' }>;
type Headers = Readonly<Record<string, string>>;

/** Grace period after the deadline, in milliseconds: servers know the deadline and should stop by themselves. */
const deadlineGraceMs = 200;

const isEventStream = ({ headers }: ServerStream): boolean => ContentKind.of(headers) === 'events';

const discard = async ({ connection, job }: ServerStream): Promise<void> => {
  await connection.destroy();
  job.end();
};

class ResponseRelay {
  private readonly events: EventSplitter | undefined;
  private readonly chunks: BodyWriter;
  private readonly limits: StreamPump.Limits;

  constructor(
    private readonly needs: Filter.Dependencies,
    private readonly call: Call,
    private trial: ServerStream,
    private sent: number,
    extraHeaders: Headers,
  ) {
    const rule = Call.require(call, 'rule');
    const isStream = isEventStream(trial);
    this.events = rule.isResumable && isStream ? EventSplitter.of(call.requestInfo.lastEventId) : undefined;
    this.limits = {
      idle: Call.require(call, 'timeouts').idle,
      deadline: call.dialect.deadlineEndsResponses
        ? Instant.after(deadlineGraceMs, Call.require(call, 'deadline'))
        : undefined,
      suspectAfter: isStream ? Suspicion.pauseAfter(rule.gap) : undefined,
    };
    this.writeHead(extraHeaders);
    this.chunks = BodyWriter.of(call.outgoing);
  }

  private writeHead(extraHeaders: Headers): void {
    const { outgoing, dialect } = this.call;
    const head = { ...HeaderFilter.responseHeaders(this.trial.headers, dialect), ...extraHeaders };
    // A resumed stream may differ in length from the first response.
    if (this.events) delete head['content-length'];
    outgoing.cork();
    outgoing.writeHead(this.trial.status, head);
    outgoing.flushHeaders();
    setImmediate(() => outgoing.uncork());
  }

  async relay(): Promise<StreamPump> {
    const { incoming, outgoing } = this.call;
    let result = await this.relayBody();
    while (result === 'server' && (await this.resume())) result = await this.relayBody();
    if (result === 'done' || result === 'client') return result;
    ClientConnection.of(incoming.socket).abort();
    return outgoing.writableFinished ? 'done' : result;
  }

  /** Relays the body from one server, then returns its connection to the pool or closes it. */
  private async relayBody(): Promise<StreamPump> {
    const { needs, call, trial, chunks, events, limits } = this;
    const { outgoing } = call;
    const result = await StreamPump.run({
      body: trial.body,
      outgoing,
      chunks,
      events,
      limits,
      observer: this.createObserver(),
    });
    trial.job.end();
    if (result === 'done') {
      needs.pool.give(trial.connection);
      return result;
    }
    await trial.connection.destroy();
    if (result === 'server') this.reportBroken();
    return outgoing.destroyed ? 'client' : result;
  }

  private reportBroken(): void {
    const { needs, call, trial } = this;
    const { server, group } = trial.pick;
    needs.ejector.bad(server, group);
    needs.failures.see(server.instance, 1);
    needs.note('response stream broken', { request: call.id, by: server.instance });
  }

  private createObserver(): StreamPump.Observer {
    const { needs, trial, events } = this;
    const { server, group } = trial.pick;
    return {
      onEvent: (span) => needs.placement.prefillSpeed.recordEventGap(server.instance, span),
      onSilence: () => needs.healthChecker.suspect(server),
      onLost: (end) =>
        needs.healthChecker.watch(server.instance, () => {
          if (events?.canResume() && needs.budget.held(group.name) >= 1) end();
        }),
    };
  }

  /** Tries to resume the stream on another server; returns whether one continues it. */
  private async resume(): Promise<boolean> {
    const { call, events } = this;
    if (!events?.canResume() || !call.resume) return false;
    events.reset();
    const verdict = await call.resume(events.lastId(), this.sent);
    if (verdict.kind !== 'stream') return false;
    this.sent = verdict.sent;
    if (call.outgoing.destroyed || verdict.result.status !== 200 || !isEventStream(verdict.result)) {
      await discard(verdict.result);
      return false;
    }
    this.trial = verdict.result;
    return true;
  }
}

/** Starts or discards the relay of a server response. */
export const StreamResponse = {
  /** Closes the connection of a response that is not used. */
  discard,
  /** Commits to the response of the server and sends its headers. */
  begin: (
    needs: Filter.Dependencies,
    call: Call,
    trial: ServerStream,
    sent: number,
    extraHeaders: Headers,
  ): StreamResponse => new ResponseRelay(needs, call, trial, sent, extraHeaders),
};
