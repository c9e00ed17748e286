// A link is one TCP connection that carries frames both ways. Each end pings; an end that hears
// nothing for a while gives the link up, so a frozen or cut peer shows within two seconds. Reading is
// written straight down: one task per link loops over its frames.
import { connect, type Socket } from 'node:net';
import { type Address, Address as Addresses } from '../kinds/address.js';
import { Failure } from '../kinds/failure.js';
import { Phase } from '../kinds/phase.js';
import type { Stamp } from '../kinds/stamp.js';
import { Timer } from '../kinds/timer.js';
import { Frame } from './frame.js';

export type Link = {
  readonly send: (body: Frame.Body) => boolean;
  readonly frames: () => AsyncGenerator<Frame, void, void>;
  readonly close: (cause?: Error) => void;
  readonly closed: Promise<void>;
  readonly isOpen: () => boolean;
  readonly peer: string;
};

type Terms = {
  readonly stamp: () => Stamp;
  readonly age: () => number;
  readonly pingEvery?: number;
  readonly silence?: number;
};

async function* read(socket: Socket): AsyncGenerator<Frame, void, void> {
  let held: Buffer = Buffer.alloc(0);
  for await (const chunk of socket as AsyncIterable<Buffer>) {
    held = held.length === 0 ? chunk : Buffer.concat([held, chunk]);
    while (held.length >= 4) {
      const length = held.readUInt32BE(0);
      if (length > Frame.longest) throw Failure.of('frame', 'frame too long', { length });
      if (held.length < 4 + length) break;
      const frame = Frame.decode(held.subarray(4, 4 + length));
      held = held.subarray(4 + length);
      if (frame) yield frame;
    }
  }
  if (held.length > 0) throw Failure.of('frame', 'frame cut short', { length: held.length });
}

export const Link = {
  over(socket: Socket, terms: Terms): Link {
    const silence = terms.silence ?? 2000;
    const phase = Phase.of('open', { open: ['closed'], closed: [] });
    let end: () => void = () => {};
    const closed = new Promise<void>((resolve) => {
      end = resolve;
    });
    const close = (cause?: Error) => {
      if (phase.is('closed')) return;
      phase.become('closed');
      pings.stop();
      quiet.stop();
      socket.destroy(cause);
      end();
    };
    const send = (body: Frame.Body): boolean => {
      if (phase.is('closed') || socket.destroyed) return false;
      if (socket.writableLength > 2 * Frame.longest) {
        close(Failure.of('link', 'peer reads too slowly'));
        return false;
      }
      socket.write(Frame.encode(terms.stamp(), body));
      return true;
    };
    socket.setNoDelay(true);
    const pings = Timer.every(terms.pingEvery ?? 400, () => void send({ kind: 'ping', age: terms.age() }));
    const quiet = Timer.after(silence, () => close(Failure.of('silence', 'nothing heard from peer')));
    socket.on('data', () => {
      if (phase.is('open')) quiet.move(silence);
    });
    socket.pause();
    socket.on('close', () => close());
    socket.on('error', () => close());
    return {
      send,
      close,
      closed,
      isOpen: () => phase.is('open'),
      peer: `${socket.remoteAddress}:${socket.remotePort}`,
      async *frames() {
        try {
          yield* read(socket);
        } finally {
          close();
        }
      },
    };
  },
  async open(address: Address, terms: Terms, signal?: AbortSignal): Promise<Link> {
    const socket = connect(address);
    await new Promise<void>((resolve, reject) => {
      const fail = (cause?: unknown) => {
        settle();
        socket.destroy();
        reject(Failure.of('link', `no link to ${Addresses.text(address)}`, {}, cause));
      };
      const timer = Timer.after(1000, fail);
      const settle = () => {
        timer.stop();
        signal?.removeEventListener('abort', fail);
        socket.removeAllListeners('error');
      };
      signal?.addEventListener('abort', fail, { once: true });
      socket.once('error', fail);
      socket.once('connect', () => {
        settle();
        resolve();
      });
    });
    return Link.over(socket, terms);
  },
};
