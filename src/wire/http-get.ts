/** Asks other programs for small documents by HTTP, over one kept connection to each address. */
import { Agent, type IncomingMessage, request } from 'node:http';
import { Failure } from '../kinds/failure.js';
import { Timer } from '../kinds/timer.js';

/** Reads documents of other programs. */
export type HttpGet = {
  /** Reads what stands at the path; fails when all of it has not come in time. */
  readonly read: (address: string, path: string) => Promise<HttpGet.Answer>;
};

export declare namespace HttpGet {
  type Answer = { readonly status: number; readonly body: string };
}

/** The longest answer that is read, in bytes. */
const longest = 16 * 1024 * 1024;

const collect = (
  answer: IncomingMessage,
  done: (body: string) => void,
  fail: (cause: Error) => void,
): void => {
  const chunks: Buffer[] = [];
  let length = 0;
  answer.on('data', (chunk: Buffer) => {
    length += chunk.length;
    if (length > longest) answer.destroy(Failure.of('reset', 'the answer is too long'));
    else chunks.push(chunk);
  });
  answer.once('error', fail);
  answer.once('end', () => {
    if (answer.complete) done(Buffer.concat(chunks).toString('utf8'));
    else fail(Failure.of('reset', 'the answer was cut'));
  });
};

const ask = (agent: Agent, within: number, address: string, path: string): Promise<HttpGet.Answer> =>
  new Promise((resolve, reject) => {
    const [host, port] = address.split(':');
    const asked = request({ agent, host, port, path });
    const late = Timer.after(within, () => asked.destroy(Failure.of('timeout', 'no whole answer in time')));
    const fail = (cause: Error) => {
      late.stop();
      reject(cause);
    };
    asked.on('error', fail);
    asked.once('response', (answer) => {
      const done = (body: string) => {
        late.stop();
        resolve({ status: answer.statusCode ?? 0, body });
      };
      collect(answer, done, fail);
    });
    asked.end();
  });

export const HttpGet = {
  /** An answer has to come whole within so many milliseconds. */
  of(within: number): HttpGet {
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    return { read: (address, path) => ask(agent, within, address, path) };
  },
};
