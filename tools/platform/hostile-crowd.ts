/**
 * Crowds of clients that do not behave: they open connections, send what never comes to its end, and stay. Each kind is aimed at
 * one port.
 */
import { once } from 'node:events';
import { connect, type Socket } from 'node:net';

/** A crowd and its connections. */
export type HostileCrowd = {
  /** Opens the connections and sends what the kind sends; resolves once all of it is handed over or refused. */
  readonly press: () => Promise<void>;
  readonly leave: () => void;
};

export declare namespace HostileCrowd {
  /** What each client of a crowd sends. */
  type Pieces = () => Iterable<Uint8Array | string>;
  type Terms = { readonly address: string; readonly count: number; readonly pieces: Pieces };
}

const pieceBytes = 64 * 1024;
const smallChunksPerPiece = 4096;

/** How long a client of a crowd waits until it can hand over more, in milliseconds. */
const crowdPatienceMs = 3000;

const within = (event: Promise<unknown>, patienceMs: number): Promise<unknown> => {
  if (patienceMs === Number.POSITIVE_INFINITY) return event.catch(() => {});
  let timer: NodeJS.Timeout | undefined;
  const timeout = new Promise<void>((resolve) => {
    timer = setTimeout(resolve, patienceMs);
  });
  return Promise.race([event.catch(() => {}), timeout]).finally(() => clearTimeout(timer));
};

const open = async (address: string): Promise<Socket> => {
  const [ip, port] = address.split(':');
  const socket = connect(Number(port), ip!);
  // Each wait for room adds listeners, until the event that it waits for.
  socket.setMaxListeners(0);
  socket.on('error', () => {});
  await within(Promise.race([once(socket, 'connect'), once(socket, 'close')]), crowdPatienceMs);
  return socket;
};

const isOpen = (socket: Socket): boolean => !socket.destroyed && socket.writable;

/** Writes pieces until all are handed to the system, the other side closes, or it takes no more. */
const send = async (
  socket: Socket,
  pieces: Iterable<Uint8Array | string>,
  patienceMs = Number.POSITIVE_INFINITY,
): Promise<void> => {
  socket.resume();
  for (const piece of pieces) {
    if (!isOpen(socket)) return;
    if (socket.write(piece)) continue;
    await within(Promise.race([once(socket, 'drain'), once(socket, 'close')]), patienceMs);
    if (socket.writableNeedDrain) return;
  }
};

function* repeat(piece: Uint8Array | string, count: number): Generator<Uint8Array | string> {
  for (let index = 0; index < count; index += 1) yield piece;
}

const chunkOf = (bytes: number): Buffer =>
  Buffer.concat([Buffer.from(`${bytes.toString(16)}\r\n`), Buffer.alloc(bytes, 'a'), Buffer.from('\r\n')]);

/** Makes crowds, and what they send. */
export const HostileCrowd = {
  open,
  send,
  async openMany(count: number, address: string): Promise<Socket[]> {
    const sockets: Socket[] = [];
    for (let index = 0; index < count; index += 1) sockets.push(await open(address));
    return sockets;
  },

  of({ address, count, pieces }: HostileCrowd.Terms): HostileCrowd {
    const sockets: Socket[] = [];
    return {
      async press() {
        sockets.push(...(await HostileCrowd.openMany(count, address)));
        await Promise.all(sockets.map((socket) => send(socket, pieces(), crowdPatienceMs)));
      },
      leave() {
        for (const socket of sockets) socket.destroy();
      },
    };
  },

  /** A body in large chunks that stops one chunk before its end. */
  *largeChunks(head: string, bytes: number): Generator<Uint8Array | string> {
    yield head;
    yield* repeat(chunkOf(pieceBytes), bytes / pieceBytes - 1);
  },

  /** A body with a length that stops just before its end. */
  *withLength(head: string, bytes: number): Generator<Uint8Array | string> {
    yield head;
    yield* repeat(Buffer.alloc(pieceBytes, ' '), bytes / pieceBytes - 1);
  },

  /** A body in chunks of one byte that does not end. */
  *smallChunks(head: string, bytes: number): Generator<Uint8Array | string> {
    yield head;
    yield* repeat(Buffer.from('1\r\n \r\n'.repeat(smallChunksPerPiece)), bytes / smallChunksPerPiece);
  },

  /** A frame between nodes that stops just before its end. */
  *frame(bytes: number): Generator<Uint8Array | string> {
    const head = Buffer.alloc(4);
    head.writeUInt32BE(bytes);
    yield head;
    yield* repeat(Buffer.alloc(pieceBytes), Math.floor(bytes / pieceBytes) - 1);
  },
};
