// Raw HTTP/1.1 for scripted servers and clients: bytes are written as a test wants them, and what comes is read
// strictly by a reader of its own, so that nothing of the libraries under test judges their own output.
import type { Socket } from 'node:net';

export declare namespace RawHttp {
  type Headers = Readonly<Record<string, string>>;
  type Request = {
    readonly method: string;
    readonly target: string;
    readonly headers: Headers;
    readonly body: string;
    /** The head as it came. */
    readonly head: string;
  };
  type Answer = {
    readonly status: number;
    readonly headers: Headers;
    readonly body: string;
    /** How the answer ended: whole by its own framing, or cut. */
    readonly end: 'whole' | 'closed' | 'cut';
    /** Bytes after the answer, when the connection was read to its end. */
    readonly rest: string;
  };
  /** What a reader of one message has found so far. */
  type Progress = { readonly isWhole: boolean; readonly body: string; readonly rest: string };
}

const line = '\r\n';
const headEnd = '\r\n\r\n';

const headersOf = (head: string): Record<string, string> => {
  const headers: Record<string, string> = {};
  for (const one of head.split(line).slice(1)) {
    const colon = one.indexOf(':');
    const name = one.slice(0, colon).toLowerCase();
    const value = one.slice(colon + 1).trim();
    headers[name] = headers[name] === undefined ? value : `${headers[name]}, ${value}`;
  }
  return headers;
};

/** Reads a chunked body as far as it came. */
const readChunks = (text: string): RawHttp.Progress => {
  let body = '';
  let at = 0;
  for (;;) {
    const end = text.indexOf(line, at);
    if (end < 0) return { isWhole: false, body, rest: '' };
    const size = Number.parseInt(text.slice(at, end), 16);
    if (!Number.isInteger(size)) return { isWhole: false, body, rest: '' };
    const from = end + line.length;
    if (size === 0) {
      if (text.startsWith(line, from)) return { isWhole: true, body, rest: text.slice(from + line.length) };
      const trailers = text.indexOf(headEnd, from);
      if (trailers < 0) return { isWhole: false, body, rest: '' };
      return { isWhole: true, body, rest: text.slice(trailers + headEnd.length) };
    }
    body += text.slice(from, from + size);
    if (text.length < from + size + line.length) return { isWhole: false, body, rest: '' };
    at = from + size + line.length;
  }
};

const readBody = (headers: RawHttp.Headers, text: string, isLengthKnown: boolean): RawHttp.Progress => {
  if (/chunked$/i.test(headers['transfer-encoding'] ?? '')) return readChunks(text);
  if (headers['content-length'] === undefined)
    return isLengthKnown ? { isWhole: true, body: '', rest: text } : { isWhole: false, body: text, rest: '' };
  const length = Number(headers['content-length']);
  return { isWhole: text.length >= length, body: text.slice(0, length), rest: text.slice(length) };
};

const parseAnswer = (text: string, isHead: boolean, isClosed: boolean): RawHttp.Answer | undefined => {
  const end = text.indexOf(headEnd);
  if (end < 0) return undefined;
  const head = text.slice(0, end);
  const status = Number(/^HTTP\/1\.[01] (\d{3})/.exec(head)?.[1] ?? 0);
  const after = text.slice(end + headEnd.length);
  if (status >= 100 && status < 200) return parseAnswer(after, isHead, isClosed);
  const headers = headersOf(head);
  if (isHead || status === 204 || status === 304)
    return { status, headers, body: '', end: 'whole', rest: after };
  const { isWhole, body, rest } = readBody(headers, after, false);
  if (isWhole) return { status, headers, body, end: 'whole', rest };
  if (!isClosed) return undefined;
  const isLengthTold = headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;
  return { status, headers, body, end: isLengthTold ? 'cut' : 'closed', rest };
};

export const RawHttp = {
  /** The first answer in the text, once it is whole, or what there is of it when the connection is closed. */
  parseAnswer,
  request(method: string, target: string, headers: RawHttp.Headers, body?: string): string {
    const all = body === undefined ? headers : { ...headers, 'content-length': String(body.length) };
    const lines = Object.entries(all).map(([name, value]) => `${name}: ${value}${line}`);
    return `${method} ${target} HTTP/1.1${line}${lines.join('')}${line}${body ?? ''}`;
  },
  answer(status: number, headers: RawHttp.Headers, body?: string): string {
    const all = body === undefined ? headers : { ...headers, 'content-length': String(body.length) };
    const lines = Object.entries(all).map(([name, value]) => `${name}: ${value}${line}`);
    return `HTTP/1.1 ${status} Told${line}${lines.join('')}${line}${body ?? ''}`;
  },
  chunk: (text: string): string => `${text.length.toString(16)}${line}${text}${line}`,
  lastChunk: `0${headEnd}`,
  /** Calls back for each whole request on the connection; `onHead` as soon as a head is there. */
  readRequests(
    socket: Socket,
    onRequest: (request: RawHttp.Request) => void,
    onHead: (request: RawHttp.Request) => void = () => {},
  ): void {
    let text = '';
    let hasTold = false;
    socket.on('data', (bytes: Buffer) => {
      text += bytes.toString('latin1');
      for (;;) {
        const end = text.indexOf(headEnd);
        if (end < 0) return;
        const head = text.slice(0, end);
        const [method = '', target = ''] = head.split(line)[0]!.split(' ');
        const headers = headersOf(head);
        if (!hasTold) onHead({ method, target, headers, body: '', head });
        hasTold = true;
        const { isWhole, body, rest } = readBody(headers, text.slice(end + headEnd.length), true);
        if (!isWhole) return;
        text = rest;
        hasTold = false;
        onRequest({ method, target, headers, body, head });
      }
    });
  },
  /** The next answer on the connection, or what came of it before the connection ended. */
  readAnswer: (socket: Socket, isHead = false): Promise<RawHttp.Answer> =>
    new Promise((resolve) => {
      let text = '';
      let isReset = false;
      const finish = (isClosed: boolean) => {
        const answer = parseAnswer(text, isHead, isClosed);
        if (!answer && !isClosed) return;
        socket.removeListener('data', onData);
        const none = { status: 0, headers: {}, body: '', end: 'cut' as const, rest: text };
        const told = answer ?? none;
        resolve(isReset && told.end === 'closed' ? { ...told, end: 'cut' } : told);
      };
      const onData = (bytes: Buffer) => {
        text += bytes.toString('latin1');
        finish(false);
      };
      socket.on('data', onData);
      socket.once('end', () => finish(true));
      socket.once('error', () => {
        isReset = true;
      });
      socket.once('close', () => finish(true));
    }),
};
