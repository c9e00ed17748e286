// A link is one TCP connection that carries frames both ways. Each end pings when it has sent nothing else for a while,
// or steadily where asked; an end that hears nothing for a while gives the link up, so a frozen or cut peer shows
// within two seconds. Reading is written straight down: one task per link loops over its frames.
import { connect, type Socket } from 'node:net';
import { type Address, Address as Addresses } from '../common/address.js';
import { Failure } from '../common/failure.js';
import type { Stamp } from '../common/stamp.js';
import { StateMachine } from '../common/state-machine.js';
import { Timer } from '../common/timer.js';
import { Frame } from './frame.js';

export type Link = {
  readonly send: (body: Frame.Body) => boolean;
  readonly frames: () => AsyncGenerator<Frame, void, void>;
  /** Resolves once all that was sent is handed to the system, or the link has ended. */
  readonly flushed: () => Promise<void>;
  readonly close: (cause?: Error) => void;
  readonly closed: Promise<void>;
  readonly isOpen: () => boolean;
  readonly peer: string;
  /** Whether both ends are in this process, so that a frame costs nothing to send. */
  readonly isLocal: boolean;
};

export declare namespace Link {
  type Options = {
    readonly stamp: () => Stamp;
    readonly age: () => number;
    readonly pingEvery?: number;
    readonly silence?: number;
    /** Pings come however much else is sent, for they carry how old the last word from the primary is. */
    readonly pingsWhenBusy?: boolean;
  };
}

const openWithin = 1000;
const dialAgainAfter = 300;

async function* read(socket: Socket): AsyncGenerator<Frame, void, void> {
  let held: Buffer = Buffer.alloc(0);
  for await (const chunk of socket as AsyncIterable<Buffer>) {
    held = held.length === 0 ? chunk : Buffer.concat([held, chunk]);
    while (held.length >= 4) {
      const length = held.readUInt32BE(0);
      if (length > Frame.maxBytes) throw Failure.of('frame', 'frame too long', { length });
      if (held.length < 4 + length) break;
      const frame = Frame.decode(held.subarray(4, 4 + length));
      held = held.subarray(4 + length);
      if (frame) yield frame;
    }
  }
  if (held.length > 0) throw Failure.of('frame', 'frame cut short', { length: held.length });
}

export const Link = {
  fromSocket(socket: Socket, terms: Link.Options): Link {
    const silence = terms.silence ?? 2000;
    const phase = StateMachine.of('open', { open: ['closed'], closed: [] });
    let end: () => void = () => {};
    const closed = new Promise<void>((resolve) => {
      end = resolve;
    });
    const close = (cause?: Error) => {
      if (phase.is('closed')) return;
      phase.transitionTo('closed');
      pings.stop();
      quiet.stop();
      socket.destroy(cause);
      end();
    };
    const send = (body: Frame.Body): boolean => {
      if (phase.is('closed') || socket.destroyed) return false;
      if (socket.writableLength > 2 * Frame.maxBytes) {
        close(Failure.of('link', 'peer reads too slowly'));
        return false;
      }
      socket.write(Frame.encode(terms.stamp(), body));
      if (!terms.pingsWhenBusy) pings.restart();
      return true;
    };
    socket.setNoDelay(true);
    const pings = Timer.every(terms.pingEvery ?? 400, () => void send({ kind: 'ping', age: terms.age() }));
    let heard = 0;
    const quiet = Timer.after(silence, () => {
      const before = heard;
      setImmediate(() => {
        if (heard === before) close(Failure.of('silence', 'nothing heard from peer'));
      });
    });
    socket.on('data', () => {
      heard += 1;
      if (phase.is('open')) quiet.restart();
    });
    socket.pause();
    socket.on('close', () => close());
    socket.on('error', () => close());
    return {
      send,
      flushed: () =>
        new Promise((resolve) => {
          void closed.then(resolve);
          if (phase.is('open')) socket.write(new Uint8Array(), () => resolve());
        }),
      close,
      closed,
      isOpen: () => phase.is('open'),
      peer: `${socket.remoteAddress}:${socket.remotePort}`,
      isLocal: false,
      async *frames() {
        try {
          yield* read(socket);
        } finally {
          close();
        }
      },
    };
  },
  /** Dials anew while an attempt is not answered: a peer that was without power answers only later calls soon. */
  async open(address: Address, terms: Link.Options, signal?: AbortSignal, dial = connect): Promise<Link> {
    const sockets: Socket[] = [];
    const made = await new Promise<Socket>((resolve, reject) => {
      const settle = () => {
        late.stop();
        again.stop();
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
      const late = Timer.after(openWithin, fail);
      const again = Timer.after(dialAgainAfter, () => {
        attempt();
        again.restart();
      });
      signal?.addEventListener('abort', fail, { once: true });
      attempt();
    });
    return Link.fromSocket(made, terms);
  },
};
