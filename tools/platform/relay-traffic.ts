/**
 * Traffic for measuring a relay: a server that answers each request with a stream of events, and callers on kept
 * connections. Both write and read raw bytes, so that they cost the relay's process nothing.
 */
import type { Socket } from 'node:net';
import { Lab } from '../fuzz/lab.js';
import { RawHttp } from '../fuzz/raw-http.js';

export declare namespace RelayTraffic {
  /** One shape of requests: how many are sent, and how many events each answer has. */
  type Shape = { readonly requests: number; readonly events: number };
  type Server = { readonly address: string; readonly stop: () => Promise<void> };
}

/** Sends requests through a relay. */
export type RelayTraffic = {
  /** Starts the server, with so many milliseconds between two events of a stream. */
  readonly startServer: (gap: number) => Promise<RelayTraffic.Server>;
  /** Sends the requests, several at a time, and fails unless each gets its whole answer. */
  readonly play: (
    address: string,
    path: string,
    shape: RelayTraffic.Shape,
    concurrency: number,
  ) => Promise<void>;
};

const bodyBytes = 8192;
const eventBytes = 65;
const eventsHeader = 'events';
const idHeader = 'attempt-id';
const body = 'b'.repeat(bodyBytes);

const eventOf = (number: number): string =>
  `id: ${number}\ndata: `.padEnd(eventBytes - 2, 'x').concat('\n\n');

const answer = (socket: Socket, { headers }: RawHttp.Request, gap: number): void => {
  const count = Number(headers[eventsHeader]);
  const id = headers[idHeader] ?? '';
  socket.write(
    RawHttp.answer(200, {
      [idHeader]: id,
      'content-type': 'text/event-stream',
      'transfer-encoding': 'chunked',
    }),
  );
  let sent = 0;
  const next = () => {
    sent += 1;
    socket.write(RawHttp.chunk(eventOf(sent)));
    if (sent < count) setTimeout(next, gap);
    else socket.write(RawHttp.lastChunk);
  };
  next();
};

const headersOf = (id: string, events: number) => ({
  host: 'serve.example',
  [idHeader]: id,
  model: 'm',
  'token-count': '2890,56',
  'prompt-prefix': '5c1e07a2:2520,91bd3f06:3780,e4402b7d:2890',
  'remaining-time': '5000',
  'content-type': 'application/json',
  [eventsHeader]: String(events),
});

let serial = 0;

const ask = async (socket: Socket, path: string, events: number): Promise<void> => {
  serial += 1;
  socket.write(RawHttp.request('POST', path, headersOf(`relay-${serial}`, events), body));
  const got = await RawHttp.readAnswer(socket);
  const isWhole = got.status === 200 && got.end === 'whole' && got.body.length === events * eventBytes;
  if (!isWhole) throw new Error(`an answer of ${events} events came as ${got.status}, ${got.end}`);
};

export const RelayTraffic: RelayTraffic = {
  startServer: (gap) =>
    Lab.listen((socket) => RawHttp.readRequests(socket, (request) => answer(socket, request, gap))),
  async play(address, path, { requests, events }, concurrency) {
    let left = requests;
    const callOnOne = async () => {
      const socket = await Lab.connect(address);
      // Each answer that is read puts listeners of its own on the connection.
      socket.setMaxListeners(0);
      while (left > 0) {
        left -= 1;
        await ask(socket, path, events);
      }
      socket.destroy();
    };
    await Promise.all(Array.from({ length: concurrency }, callOnOne));
  },
};
