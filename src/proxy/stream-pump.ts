/**
 * Passes the body that one server sends to the caller, as it comes, with back pressure both ways. It ends the body when
 * the server falls silent, when the time of the request is over and when the caller leaves, and tells how it ended.
 */
import type { ServerResponse } from 'node:http';
import { Failure } from '../kinds/failure.js';
import { Moment } from '../kinds/moment.js';
import { Timer } from '../kinds/timer.js';
import type { Exchange } from '../upstream/exchange.js';
import type { BodyWriter } from './body-writer.js';
import type { EventSplitter } from './event-splitter.js';

/** How the passing of a body ended: whole, or broken by the side named, or by the end of its time. */
export type StreamPump = 'done' | 'server' | 'client' | 'late';

export declare namespace StreamPump {
  type Limits = {
    /** The longest silence of a server, in milliseconds. */
    readonly idle: number;
    readonly deadline: Moment | undefined;
    /** How long a pause makes the server suspect, in milliseconds; undefined where none does. */
    readonly suspectAfter: number | undefined;
  };
  type Observer = {
    readonly onEvent: (span: number) => void;
    readonly onSilence: () => void;
    /** Calls back when the server is found dark and the stream may go on elsewhere. */
    readonly onLost: (end: () => void) => () => void;
  };
  type Options = {
    readonly body: Exchange.Body;
    readonly outgoing: ServerResponse;
    readonly chunks: BodyWriter;
    readonly events: EventSplitter | undefined;
    readonly limits: Limits;
    readonly observer: Observer;
  };
}

class Pump implements Exchange.Sink {
  private flow: { readonly resume: () => void } | undefined;
  private isEnded = false;
  private isLate = false;
  private isCorked = false;
  private last: Moment | undefined;
  private readonly quiet: Timer | undefined;
  private readonly late: Timer | undefined;
  private readonly suspicion: Timer | undefined;
  private readonly forget: () => void;

  constructor(
    private readonly terms: StreamPump.Options,
    private readonly resolve: (how: StreamPump) => void,
  ) {
    const { limits: spans, observer: watch } = terms;
    const { idle, deadline: until, suspectAfter } = spans;
    const left = until === undefined ? Moment.never : Moment.left(until);
    if (until !== undefined) this.late = Timer.after(left, this.onLate);
    // A silence that would outlast the time of the request is ended by that.
    if (idle < left) this.quiet = Timer.after(idle, this.onQuiet);
    if (suspectAfter !== undefined) this.suspicion = Timer.after(suspectAfter, watch.onSilence);
    this.forget = watch.onLost(() => this.abort('reset', 'the server does not answer any more'));
  }

  start(): void {
    const { outgoing, body } = this.terms;
    outgoing.on('drain', this.onDrain);
    outgoing.once('close', this.onClose);
    this.flow = body.pump(this);
  }

  write(chunk: Buffer): boolean {
    const { observer: watch, events, chunks } = this.terms;
    const now = Moment.now();
    this.quiet?.again();
    this.suspicion?.again();
    if (this.last !== undefined) watch.onEvent(now - this.last);
    this.last = now;
    const whole = events ? events.push(chunk) : chunk;
    if (whole === undefined) return true;
    this.cork();
    return chunks.write(whole);
  }

  end(): void {
    const { chunks, events, outgoing } = this.terms;
    this.isEnded = true;
    this.rest();
    chunks.end(events?.remainder(), () => this.resolve('done'));
    outgoing.once('close', () => this.resolve(outgoing.writableFinished ? 'done' : 'client'));
  }

  fail(): void {
    const { outgoing } = this.terms;
    outgoing.removeListener('drain', this.onDrain);
    outgoing.removeListener('close', this.onClose);
    this.finish(outgoing.destroyed ? 'client' : this.isLate ? 'late' : 'server');
  }

  /** Holds what is written until the end of this turn, so that the end of a body goes out with its last piece. */
  private cork(): void {
    if (this.isCorked) return;
    this.isCorked = true;
    this.terms.outgoing.cork();
    process.nextTick(this.uncorkSoon);
  }

  private readonly uncorkSoon = (): void => void process.nextTick(this.uncork);

  private readonly uncork = (): void => {
    this.isCorked = false;
    this.terms.outgoing.uncork();
  };

  private readonly onQuiet = (): void => this.abort('timeout', 'the stream fell silent');

  private readonly onLate = (): void => {
    this.isLate = true;
    this.abort('timeout', 'the time of the request is over');
  };

  private readonly onDrain = (): void => {
    this.quiet?.again();
    this.flow?.resume();
  };

  private readonly onClose = (): void => {
    if (!this.isEnded) this.abort('left', 'the client left');
    this.finish(this.terms.outgoing.writableFinished ? 'done' : 'client');
  };

  private abort(code: 'reset' | 'timeout' | 'left', text: string): void {
    this.terms.body.abort(Failure.of(code, text));
  }

  private finish(how: StreamPump): void {
    if (this.isEnded) return;
    this.isEnded = true;
    this.rest();
    this.resolve(how);
  }

  private rest(): void {
    this.quiet?.stop();
    this.late?.stop();
    this.suspicion?.stop();
    this.forget();
  }
}

export const StreamPump = {
  run: (terms: StreamPump.Options): Promise<StreamPump> =>
    new Promise((resolve) => new Pump(terms, resolve).start()),
};
