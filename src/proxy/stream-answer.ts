/**
 * The answer that a caller gets from a server's successful head on. The head goes out together with what follows it in
 * the same turn of the loop, and by itself where nothing does; from then on nothing is tried again. A stream of events
 * that breaks may be taken up at another server where its rule allows; any other that breaks off ends the caller's
 * connection abruptly, so that a broken one can never be taken for a whole one.
 */
import type { ServerResponse } from 'node:http';
import { Moment } from '../kinds/moment.js';
import { Suspicion } from '../upstream/suspicion.js';
import type { Trial } from '../upstream/trial.js';
import { Call } from './call.js';
import { Chunks } from './chunks.js';
import { Events } from './events.js';
import type { Filter } from './filter.js';
import { Hygiene } from './hygiene.js';
import { Reset } from './reset.js';
import { StreamPump } from './stream-pump.js';

/** An answer that has begun. */
export type StreamAnswer = { readonly pass: () => Promise<StreamPump> };

type Streamed = Extract<Trial, { kind: 'stream' }>;
type Headers = Readonly<Record<string, string>>;

/** Servers stop by themselves when the time that they were told is over; this long after it they are cut. */
const lateness = 200;

const isEventStream = ({ headers }: Streamed): boolean =>
  String(headers['content-type'] ?? '').startsWith('text/event-stream') &&
  (headers['content-encoding'] ?? 'identity') === 'identity';

/** Ends an answer so that it never looks whole: one that nothing but its connection delimits needs a reset. */
const cut = (outgoing: ServerResponse, { isDelimited }: Chunks): void => {
  if (isDelimited || !outgoing.socket) outgoing.destroy();
  else Reset.now(outgoing.socket);
};

const discard = async ({ connection, job }: Streamed): Promise<void> => {
  await connection.destroy();
  job.end();
};

class Answer {
  private readonly events: Events | undefined;
  private readonly chunks: Chunks;
  private readonly spans: StreamPump.Spans;

  constructor(
    private readonly needs: Filter.Needs,
    private readonly call: Call,
    private trial: Streamed,
    private sent: number,
    named: Headers,
  ) {
    const rule = Call.need(call, 'rule');
    const isStream = isEventStream(trial);
    this.events = rule.isResumable && isStream ? Events.of(call.asked.after) : undefined;
    this.spans = {
      idle: Call.need(call, 'timeouts').idle,
      until: call.dialect.endsAnswers ? Moment.after(lateness, Call.need(call, 'deadline')) : undefined,
      suspectAfter: isStream ? Suspicion.pauseAfter(rule.gap) : undefined,
    };
    this.writeHead(named);
    this.chunks = Chunks.of(call.outgoing);
  }

  private writeHead(named: Headers): void {
    const { outgoing, dialect } = this.call;
    const head = { ...Hygiene.down(this.trial.headers, dialect), ...named };
    if (this.events) delete head['content-length'];
    outgoing.cork();
    outgoing.writeHead(this.trial.status, head);
    outgoing.flushHeaders();
    setImmediate(() => outgoing.uncork());
  }

  async pass(): Promise<StreamPump> {
    const { outgoing } = this.call;
    let how = await this.passOne();
    while (how === 'server' && (await this.resume())) how = await this.passOne();
    if (how === 'done' || how === 'client') return how;
    cut(outgoing, this.chunks);
    return outgoing.writableFinished ? 'done' : how;
  }

  /** Passes what one server sends, and gives its connection back or ends it. */
  private async passOne(): Promise<StreamPump> {
    const { needs, call, trial, chunks, events, spans } = this;
    const { outgoing } = call;
    const how = await StreamPump.run({
      body: trial.body,
      outgoing,
      chunks,
      events,
      spans,
      watch: this.watch(),
    });
    trial.job.end();
    if (how === 'done') {
      needs.pool.give(trial.connection);
      return how;
    }
    await trial.connection.destroy();
    if (how === 'server') this.tellBroken();
    return outgoing.destroyed ? 'client' : how;
  }

  private tellBroken(): void {
    const { needs, call, trial } = this;
    const { server, group } = trial.pick;
    needs.ejector.bad(server, group);
    needs.failures.see(server.instance, 1);
    needs.note('stream broken', { request: call.id, by: server.instance });
  }

  private watch(): StreamPump.Watch {
    const { needs, trial, events } = this;
    const { server } = trial.pick;
    return {
      onEvent: (span) => needs.placement.prefillSpeed.recordEventGap(server.instance, span),
      onSilence: () => needs.prover.suspect(server),
      onLost: (end) =>
        needs.prover.watch(server.instance, () => {
          if (events?.canResume() && needs.budget.held() >= 1) end();
        }),
    };
  }

  /** Whether another server goes on with the stream. */
  private async resume(): Promise<boolean> {
    const { call, events } = this;
    if (!events?.canResume() || !call.resume) return false;
    events.restart();
    const verdict = await call.resume(events.last(), this.sent);
    if (verdict.kind !== 'stream') return false;
    this.sent = verdict.sent;
    if (call.outgoing.destroyed || verdict.trial.status !== 200 || !isEventStream(verdict.trial)) {
      await discard(verdict.trial);
      return false;
    }
    this.trial = verdict.trial;
    return true;
  }
}

export const StreamAnswer = {
  discard,
  /** Commits to the server's answer: its head goes out. */
  begin: (needs: Filter.Needs, call: Call, trial: Streamed, sent: number, named: Headers): StreamAnswer =>
    new Answer(needs, call, trial, sent, named),
};
