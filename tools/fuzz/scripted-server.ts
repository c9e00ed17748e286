// The server of the fuzzer: plays on each arrival what the case wants, byte by byte, and writes down what arrived and
// what it worked on before anything is answered.
import type { Socket } from 'node:net';
import { Reset } from '../../src/overload/reset.js';
import { FuzzWords } from '../platform/fuzz-words.js';
import type { Book } from './book.js';
import type { Case } from './cases.js';
import { Lab } from './lab.js';
import { RawHttp } from './raw-http.js';

export type ScriptedServer = {
  readonly address: string;
  readonly sockets: ReadonlySet<Socket>;
  readonly stop: () => Promise<void>;
};

export declare namespace ScriptedServer {
  type Terms = {
    /** The book of the case that the mark belongs to. */
    readonly book: (mark: string) => Book;
    /** What to do with the next arrival of the mark. */
    readonly next: (mark: string) => Case.Act | undefined;
    readonly played: (kind: string) => void;
  };
}

type Said = { readonly bytes: string; readonly end: 'keep' | 'end' | 'reset' };

const foreign = 'of another request';
const echoes = [FuzzWords.attempt, 'bramblebend-request-id'] as const;

/** The headers that tie an answer to the request: those of both ways of speaking. */
const tiesOf = ({ headers }: RawHttp.Request): Record<string, string> =>
  Object.fromEntries(echoes.flatMap((name) => (headers[name] === undefined ? [] : [[name, headers[name]]])));

const cutAt = (text: string, act: Case.Act): string =>
  text.slice(0, Math.floor((text.length * act.cut) / 1000));

const say = (act: Case.Act, request: RawHttp.Request, body: string): Said => {
  const ties = tiesOf(request);
  const whole = RawHttp.answer(200, ties, body);
  const chunked =
    RawHttp.answer(200, { ...ties, 'transfer-encoding': 'chunked' }) +
    (body === '' ? '' : RawHttp.chunk(body)) +
    RawHttp.lastChunk;
  const bare = RawHttp.answer(200, ties) + body;
  switch (act.kind) {
    case 'chunked':
      return { bytes: chunked, end: 'keep' };
    case 'until-end':
      return { bytes: bare, end: 'end' };
    case 'until-reset':
      return { bytes: cutAt(bare, act), end: 'reset' };
    case 'no-content':
      return { bytes: RawHttp.answer(204, ties), end: 'keep' };
    case 'failure':
      return { bytes: RawHttp.answer(500, ties, 'failed'), end: 'keep' };
    case 'not-run':
      return {
        bytes: RawHttp.answer(503, { ...ties, [FuzzWords.notExecuted]: 'true' }, 'full'),
        end: 'keep',
      };
    case 'no-promise':
      return { bytes: RawHttp.answer(429, ties, 'too many'), end: 'keep' };
    case 'twice':
      return { bytes: whole + whole, end: 'keep' };
    case 'junk-after':
      return { bytes: `${chunked}junk\r\n`, end: 'keep' };
    case 'cut':
      return { bytes: cutAt(act.size % 2 === 0 ? whole : chunked, act), end: 'end' };
    case 'reset':
      return { bytes: cutAt(act.size % 2 === 0 ? whole : chunked, act), end: 'reset' };
    case 'reset-unread':
      return { bytes: '', end: 'reset' };
    case 'silence':
      return { bytes: '', end: 'keep' };
    case 'foreign-id': {
      const others = Object.fromEntries(Object.keys(ties).map((name) => [name, 'of-another']));
      return { bytes: RawHttp.answer(200, others, foreign), end: 'keep' };
    }
    case 'no-id':
      return { bytes: RawHttp.answer(200, {}, foreign), end: 'keep' };
    case 'interim':
      return { bytes: RawHttp.answer(103, { link: '</a>' }) + whole, end: 'keep' };
    case 'garbage':
      return { bytes: 'HTTP/1.1 2x0 ?\r\n\r\n', end: 'keep' };
    default:
      return { bytes: whole, end: 'keep' };
  }
};

const attend = (
  terms: ScriptedServer.Terms,
  socket: Socket,
  surplus: { bytes: string },
  request: RawHttp.Request,
) => {
  if (request.target === '/identity')
    return void socket.write(RawHttp.answer(200, { 'x-service': 'g' }, '{}'));
  const mark = request.headers['x-mark'] ?? '';
  const act = terms.next(mark);
  const book = terms.book(mark);
  const body = `<${mark}#${book.arrivals.length}:${'z'.repeat(act?.size ?? 0)}>`;
  // Where nothing ties an answer to its request, what the server says is its answer.
  const isForeign = act?.kind === 'foreign-id' || act?.kind === 'no-id';
  const isWithoutBody = act?.kind === 'no-content';
  const { method, target } = request;
  book.arrivals.push({
    ...{ mark, method, target, body: request.body },
    hasRun: act?.kind !== 'not-run',
    act: act?.kind ?? 'none',
    bodies:
      act === undefined ? [] : [isWithoutBody ? '' : isForeign && book.way === 'plain' ? foreign : body],
    statuses: act?.kind === 'no-promise' ? [429] : [],
  });
  if (!act) return socket.destroy();
  terms.played(act.kind);
  const { bytes, end } = say(act, request, body);
  const before = surplus.bytes;
  surplus.bytes = act.kind === 'repeats-before-next' ? bytes : '';
  const speak = () => {
    if (socket.destroyed) return;
    if (end === 'end') socket.end(before + bytes, 'latin1');
    else if (end === 'reset') socket.write(before + bytes, 'latin1', () => Reset.now(socket));
    else socket.write(before + bytes, 'latin1');
  };
  if (act.delay === 0) speak();
  else setTimeout(speak, act.delay);
};

export const ScriptedServer = {
  start: (terms: ScriptedServer.Terms): Promise<ScriptedServer> =>
    Lab.listen((socket) => {
      const surplus = { bytes: '' };
      RawHttp.readRequests(socket, (request) => attend(terms, socket, surplus, request));
    }),
};
