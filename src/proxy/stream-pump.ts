/**
 * Copies the body that one server sends to the client as it arrives, with back pressure in both directions. It aborts the
 * body when the server sends nothing for too long, when the deadline passes and when the client disconnects, and reports
 * how the transfer ended.
 */
import type { ServerResponse } from 'node:http';
import { Failure } from '../common/failure.js';
import { Instant } from '../common/instant.js';
import { Timer } from '../common/timer.js';
import type { Exchange } from '../upstream/exchange.js';
import type { BodyWriter } from './body-writer.js';
import type { EventSplitter } from './event-splitter.js';

/** How the transfer ended: complete, broken by the named side, or ended by the deadline. */
export type StreamPump = 'done' | 'server' | 'client' | 'late';

/** Options of a transfer. */
export declare namespace StreamPump {
  type Limits = {
    /** Idle timeout of the server, in milliseconds. */
    readonly idle: number;
    /** Ends the transfer; undefined where the deadline applies only until the response starts. */
    readonly deadline: Instant | undefined;
    /** Pause after which the server is suspected to have failed, in milliseconds; undefined to disable. */
    readonly suspectAfter: number | undefined;
  };
  type Observer = {
    /** Called with the time since the previous data, in milliseconds. */
    readonly onEvent: (span: number) => void;
    /** Called when the pause reaches `suspectAfter`. */
    readonly onSilence: () => void;
    /**
     * Registers a callback for when the server is found unreachable and the stream may resume elsewhere. Returns a function
     * that removes it.
     */
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
  private isPastDeadline = false;
  private isCorked = false;
  private lastData: Instant | undefined;
  private readonly idleTimer: Timer | undefined;
  private readonly deadlineTimer: Timer | undefined;
  private readonly suspicionTimer: Timer | undefined;
  private readonly unsubscribe: () => void;

  constructor(
    private readonly terms: StreamPump.Options,
    private readonly resolve: (result: StreamPump) => void,
  ) {
    const { limits, observer } = terms;
    const { idle, deadline, suspectAfter } = limits;
    const left = deadline === undefined ? Instant.never : Instant.remaining(deadline);
    if (deadline !== undefined) this.deadlineTimer = Timer.after(left, this.onDeadline);
    // No idle timer is needed if it would expire after the deadline.
    if (idle < left) this.idleTimer = Timer.after(idle, this.onIdle);
    if (suspectAfter !== undefined) this.suspicionTimer = Timer.after(suspectAfter, observer.onSilence);
    this.unsubscribe = observer.onLost(() => this.abort('reset', 'the server no longer responds'));
  }

  start(): void {
    const { outgoing, body } = this.terms;
    outgoing.on('drain', this.onDrain);
    outgoing.once('close', this.onClose);
    this.flow = body.pump(this);
  }

  write(chunk: Buffer): boolean {
    const { observer, events, chunks } = this.terms;
    const now = Instant.now();
    this.idleTimer?.restart();
    this.suspicionTimer?.restart();
    if (this.lastData !== undefined) observer.onEvent(now - this.lastData);
    this.lastData = now;
    const whole = events ? events.push(chunk) : chunk;
    if (whole === undefined) return true;
    this.cork();
    return chunks.write(whole);
  }

  end(): void {
    const { chunks, events, outgoing } = this.terms;
    this.isEnded = true;
    this.stopTimers();
    chunks.end(events?.remainder(), () => this.resolve('done'));
    outgoing.once('close', () => this.resolve(outgoing.writableFinished ? 'done' : 'client'));
  }

  fail(): void {
    const { outgoing } = this.terms;
    outgoing.removeListener('drain', this.onDrain);
    outgoing.removeListener('close', this.onClose);
    this.finish(outgoing.destroyed ? 'client' : this.isPastDeadline ? 'late' : 'server');
  }

  /** Buffers writes until the end of this turn, so that the end of a body is sent together with its last chunk. */
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

  private readonly onIdle = (): void => this.abort('timeout', 'idle timeout: the server sent no data');

  private readonly onDeadline = (): void => {
    this.isPastDeadline = true;
    this.abort('timeout', 'the request deadline has passed');
  };

  private readonly onDrain = (): void => {
    this.idleTimer?.restart();
    this.flow?.resume();
  };

  private readonly onClose = (): void => {
    if (!this.isEnded) this.abort('left', 'the client closed the connection');
    this.finish(this.terms.outgoing.writableFinished ? 'done' : 'client');
  };

  private abort(code: 'reset' | 'timeout' | 'left', text: string): void {
    this.terms.body.abort(Failure.of(code, text));
  }

  private finish(result: StreamPump): void {
    if (this.isEnded) return;
    this.isEnded = true;
    this.stopTimers();
    this.resolve(result);
  }

  private stopTimers(): void {
    this.idleTimer?.stop();
    this.deadlineTimer?.stop();
    this.suspicionTimer?.stop();
    this.unsubscribe();
  }
}

/** Runs transfers of response bodies. */
export const StreamPump = {
  run: (terms: StreamPump.Options): Promise<StreamPump> =>
    new Promise((resolve) => new Pump(terms, resolve).start()),
};
