/**
 * A TCP connection that carries frames in both directions. Each end sends a ping when it has sent nothing else for a
 * while, and closes the link when it receives nothing for a while, so a frozen or disconnected peer is detected within
 * two seconds. One task per link iterates over the received frames.
 */
import { connect, type Socket } from 'node:net';
import { type Address, Address as Addresses } from '../common/address.js';
import { Failure } from '../common/failure.js';
import type { Stamp } from '../common/stamp.js';
import { StateMachine } from '../common/state-machine.js';
import { Timer } from '../common/timer.js';
import type { MemoryBudget } from '../overload/memory-budget.js';
import { Frame } from './frame.js';
import { FrameReader } from './frame-reader.js';
import { PingClock } from './ping-clock.js';
import { UnsentBytes } from './unsent-bytes.js';

/** One end of a link. */
export type Link = {
  /** Sends a frame; false when the link is closed. */
  readonly send: (body: Frame.Body) => boolean;
  /** The received frames; ending the iteration closes the link. */
  readonly frames: () => AsyncGenerator<Frame, void, void>;
  /** Resolves when everything sent has been handed to the operating system, or the link is closed. */
  readonly flushed: () => Promise<void>;
  readonly close: (cause?: Error) => void;
  readonly closed: Promise<void>;
  readonly isOpen: () => boolean;
  readonly peer: string;
  /** Whether both ends are in this process, so that frames are passed without being encoded. */
  readonly isLocal: boolean;
};

/** Options of a link. */
export declare namespace Link {
  type Options = {
    /** The stamp of the sender, for each frame. */
    readonly stamp: () => Stamp;
    /** The age of the last message from the primary, in milliseconds, for each ping. */
    readonly age: () => number;
    /** The time since which the view sent may have been replaced, at most, in milliseconds; infinite if not known. */
    readonly verifiedAge?: () => number;
    /** Tells with each frame when it was sent, so that the other end echoes it in its pings. */
    readonly wantsEcho?: boolean;
    /** Interval of pings, in milliseconds. */
    readonly pingEvery?: number;
    /** Milliseconds without received data after which the link is closed. */
    readonly silence?: number;
    /** Sends pings also while other frames are sent, since pings carry the age of the last message from the primary. */
    readonly pingsWhenBusy?: boolean;
    /** The budget for frames that have not arrived or not been sent completely. */
    readonly memory?: MemoryBudget;
  };
}

/** Timeout for opening a link, in milliseconds. */
const openTimeoutMs = 1000;
/** After this time without an answer another connection attempt is started, in milliseconds. */
const redialIntervalMs = 300;

const unreadByPeer = Failure.of('link', 'no memory for frames that the peer does not read');

/** The received frames, until the link is closed. */
async function* read(
  socket: Socket,
  clock: PingClock,
  { memory }: Link.Options,
): AsyncGenerator<Frame, void, void> {
  const reader = FrameReader.of(memory, () => socket.destroy(Failure.of('frame', 'no memory for a frame')));
  try {
    for await (const chunk of socket as AsyncIterable<Buffer>)
      for (const bytes of reader.push(chunk)) {
        const frame = Frame.decode(bytes);
        if (!frame) continue;
        clock.record(frame);
        yield frame;
      }
  } finally {
    reader.release();
  }
  const length = reader.partialLength();
  if (length > 0) throw Failure.of('frame', 'the link was closed within a frame', { length });
}

/** Opens links. */
export const Link = {
  /** Creates a link on a connected socket. */
  fromSocket(socket: Socket, options: Link.Options): Link {
    const silence = options.silence ?? 2000;
    const state = StateMachine.of('open', { open: ['closed'], closed: [] });
    let resolveClosed: () => void = () => {};
    const clock = PingClock.of(options);
    const closed = new Promise<void>((resolve) => {
      resolveClosed = resolve;
    });
    const close = (cause?: Error) => {
      if (state.is('closed')) return;
      state.transitionTo('closed');
      pings.stop();
      silenceTimer.stop();
      unsent.release();
      socket.destroy(cause);
      resolveClosed();
    };
    const unsent = UnsentBytes.of(socket, options.memory, () => close(unreadByPeer));
    const send = (body: Frame.Body): boolean => {
      if (state.is('closed') || socket.destroyed) return false;
      if (socket.writableLength > 2 * Frame.maxBytes) {
        close(
          Failure.of('link', 'the peer does not read fast enough: send buffer exceeds two maximum frames'),
        );
        return false;
      }
      socket.write(Frame.encode(options.stamp(), clock.complete(body), clock.sentAt()));
      if (!unsent.isRoom()) {
        close(unreadByPeer);
        return false;
      }
      if (!options.pingsWhenBusy) pings.restart();
      return true;
    };
    socket.setNoDelay(true);
    const pings = Timer.every(
      options.pingEvery ?? 400,
      () => void send({ kind: 'ping', age: options.age() }),
    );
    let receivedCount = 0;
    const silenceTimer = Timer.after(silence, () => {
      // Lets data that is waiting in the socket be counted first: the process itself may have been paused.
      const before = receivedCount;
      setImmediate(() => {
        if (receivedCount === before) close(Failure.of('silence', 'nothing received from the peer'));
      });
    });
    socket.on('data', () => {
      receivedCount += 1;
      if (state.is('open')) silenceTimer.restart();
    });
    socket.pause();
    socket.on('drain', unsent.release);
    socket.on('close', () => close());
    socket.on('error', () => close());
    return {
      send,
      flushed: () =>
        new Promise((resolve) => {
          void closed.then(resolve);
          if (state.is('open')) socket.write(new Uint8Array(), () => resolve());
        }),
      close,
      closed,
      isOpen: () => state.is('open'),
      peer: `${socket.remoteAddress}:${socket.remotePort}`,
      isLocal: false,
      async *frames() {
        try {
          yield* read(socket, clock, options);
        } finally {
          close();
        }
      },
    };
  },
  /**
   * Connects to an address. Starts further attempts while earlier ones are unanswered: after a peer was without power,
   * an attempt made before it returned is answered late, and a new one soon.
   */
  async open(address: Address, options: Link.Options, signal?: AbortSignal, dial = connect): Promise<Link> {
    if (signal?.aborted)
      throw Failure.of('link', `no link to ${Addresses.text(address)}: it is no longer wanted`);
    const sockets: Socket[] = [];
    const connected = await new Promise<Socket>((resolve, reject) => {
      const settle = () => {
        timeout.stop();
        redial.stop();
        signal?.removeEventListener('abort', fail);
      };
      const fail = (cause?: unknown) => {
        settle();
        for (const socket of sockets) socket.destroy();
        reject(Failure.of('link', `no link to ${Addresses.text(address)}`, {}, cause));
      };
      const attempt = () => {
        const socket = dial({ host: address.host, port: address.port });
        sockets.push(socket);
        socket.on('error', fail);
        socket.once('connect', () => {
          settle();
          for (const other of sockets) if (other !== socket) other.destroy();
          socket.removeListener('error', fail);
          resolve(socket);
        });
      };
      const timeout = Timer.after(openTimeoutMs, fail);
      const redial = Timer.after(redialIntervalMs, () => {
        attempt();
        redial.restart();
      });
      signal?.addEventListener('abort', fail, { once: true });
      attempt();
    });
    return Link.fromSocket(connected, options);
  },
};
