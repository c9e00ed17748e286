/**
 * One try of a simulated client on one connection: sends the request, reads the response to its end, and reports what it
 * observed, byte by byte and event by event.
 */
import { Client, errors } from 'undici';
import { Recording } from './recording.js';
import { Words } from './words.js';

/** What a client observed of one try. */
export type CallerTry = Omit<Recording.Ended, 'at' | 'attempt' | 'request'> & {
  readonly isSpent: boolean;
  /** The connection never came up, so nothing was sent. */
  readonly isUnsent: boolean;
};

/** Types used with it. */
export declare namespace CallerTry {
  type Terms = {
    readonly path: string;
    readonly headers: Record<string, string>;
    readonly body: Buffer;
    /** Milliseconds until the client gives up altogether. */
    readonly left: number;
    /** The longest silence that it bears. */
    readonly silence: number;
    readonly isStream: boolean;
  };
}

type Parsed = { id: number; run: string; place: number };

const parse = (text: string): Parsed => {
  const id = Number(/^id: ?(\d+)$/m.exec(text)?.[1] ?? Number.NaN);
  try {
    const data = JSON.parse(/^data: ?(.*)$/m.exec(text)?.[1] ?? '') as { run: string; place: number };
    return { id, run: data.run, place: data.place };
  } catch {
    return { id, run: '?', place: -1 };
  }
};

/** An end of the connection inside an answer, which is no answer but no wrong bytes either. */
const endReason = 'Invalid EOF state';

const isTalk = (error: unknown): boolean =>
  error instanceof errors.HTTPParserError && !error.message.includes(endReason);

const neverCameUp = (error: unknown): boolean => {
  const { syscall, code } = error as { syscall?: string; code?: string };
  return syscall === 'connect' || code === 'UND_ERR_CONNECT_TIMEOUT';
};

/** Runs tries. */
export const CallerTry = {
  connect: (front: string): Client =>
    new Client(`http://${front}`, {
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: 12_000,
      connect: { timeout: 1000 },
    }),
  async run(client: Client, terms: CallerTry.Terms): Promise<CallerTry> {
    const began = Recording.now();
    const abort = new AbortController();
    let why = '';
    const giveUp = (reason: string) => {
      why = reason;
      abort.abort();
    };
    const deadline = setTimeout(() => giveUp('deadline'), terms.left);
    let silence = setTimeout(() => giveUp('silence'), terms.silence);
    let status = 0;
    let head: Record<string, string | string[] | undefined> = {};
    const events: Parsed[] = [];
    const chunks: Buffer[] = [];
    let open = '';
    let first: number | undefined;
    let last = began;
    let widest = 0;
    const one = (name: string): string | undefined => {
      const value = head[name.toLowerCase()];
      return Array.isArray(value) ? value.join(',') : value;
    };
    const heard = (chunk: Buffer) => {
      clearTimeout(silence);
      silence = setTimeout(() => giveUp('silence'), terms.silence);
      chunks.push(chunk);
      if (!terms.isStream || status !== 200) return;
      open += chunk.toString('utf8');
      const whole = open.split('\n\n');
      open = whole.pop()!;
      if (whole.length === 0) return;
      const at = Recording.now();
      if (first === undefined) first = at - began;
      else widest = Math.max(widest, at - last);
      last = at;
      events.push(...whole.map(parse));
    };
    const tell = (outcome: Recording.Outcome, more: { isUnsent?: boolean; why?: string } = {}): CallerTry => {
      clearTimeout(deadline);
      clearTimeout(silence);
      const [echoed, seal, encoding, retryAfter] = [
        one(Words.attempt),
        one(Words.seal),
        one('Content-Encoding'),
        one(Words.retryAfter),
      ];
      return {
        outcome,
        status,
        digest: Recording.digest(Buffer.concat(chunks)),
        ...(echoed === undefined ? {} : { echoed }),
        ...(seal === undefined ? {} : { seal }),
        ...(encoding === undefined ? {} : { encoding }),
        ...(retryAfter === undefined ? {} : { retryAfter: Number(retryAfter) * 1000 }),
        ...(terms.isStream && status === 200 ? { events, widest } : {}),
        ...(first === undefined ? {} : { first }),
        ...(more.why === undefined ? {} : { why: more.why }),
        isSpent: outcome !== 'whole' || /close/i.test(one('Connection') ?? ''),
        isUnsent: more.isUnsent ?? false,
      };
    };
    try {
      const answer = await client.request({
        method: 'POST',
        path: terms.path,
        headers: terms.headers,
        body: terms.body,
        signal: abort.signal,
      });
      status = answer.statusCode;
      head = answer.headers;
      for await (const chunk of answer.body) heard(chunk as Buffer);
    } catch (error) {
      const text = why || (error as Error).message;
      if (why) return tell('silent', { why });
      if (isTalk(error)) return tell('wrong', { why: text });
      if (status !== 0) return tell('broken', { why: text });
      return tell('unreached', { why: text, isUnsent: neverCameUp(error) });
    }
    if (status >= 200 && status < 300) return tell('whole');
    const text = Buffer.concat(chunks).toString('utf8').slice(0, 200);
    return tell([408, 421, 429, 503].includes(status) ? 'refused' : 'failed', { why: text });
  },
};
