// Plays cases against one proxy for each way of speaking: clients that write raw bytes, split and cut as the case
// says, several at a time, and scripted servers behind. After each case nothing of it may be left in the proxy.
import type { Socket } from 'node:net';
import { Dialect } from '../../src/proxy/dialect.js';
import type { Filter } from '../../src/proxy/filter.js';
import { FuzzWords } from '../platform/fuzz-words.js';
import { Book } from './book.js';
import type { Case } from './cases.js';
import { Lab } from './lab.js';
import { RawHttp } from './raw-http.js';
import { ScriptedServer } from './scripted-server.js';

export type Player = {
  readonly play: (one: Case) => Promise<readonly Book.Violation[]>;
  readonly occasions: Map<string, number>;
  readonly stop: () => Promise<void>;
};

export declare namespace Player {
  /** Changes a part of the request path; the tool's plants. */
  type Alter = (needs: Filter.Dependencies, way: Case.Way) => Filter.Dependencies;
}

type Stage = {
  readonly lab: Lab;
  readonly servers: readonly ScriptedServer[];
  readonly instances: readonly string[];
};

const total = 400;
const remaining = '150';
const mostKept = 300;
const answersWithin = 2500;
const leavesWithin = 30;
const ways = ['platform', 'own', 'plain'] as const;
const pause = (span: number) => new Promise<void>((resolve) => setTimeout(resolve, span));

const rule = (name: string, runs: string) => ({
  name,
  match: { path: `/${name}/*` },
  groups: ['g'],
  runs,
  home: { regions: [Lab.region] },
  affinity: false,
  timeouts: { connect: 300, first_byte: total, per_try: total, total, idle: total },
  retry: { retry_on: ['connect-failure', 'refused-stream', 'reset', '5xx'], count: 2, base: 1, max: 2 },
});

const documentOf = (way: Case.Way): object => {
  const proof =
    way === 'platform'
      ? { proof: { header: FuzzWords.target, misdirected: 421 } }
      : { identity: { path: '/identity', service: { at: { header: 'x-service' }, is: 'g' } } };
  const group = {
    kind: 'plain',
    regions: [Lab.region],
    not_run: [400, 429, 503].map((status) => ({ status, header: FuzzWords.notExecuted })),
    ejection: { consecutive_5xx: 1000 },
    ...proof,
    ...(way === 'own' ? { echo: 'bramblebend-request-id' } : {}),
  };
  return Lab.document({ g: group }, [rule('once', 'once'), rule('safe', 'repeatable')]);
};

const textOf = (mark: string, way: Case.Way, one: Case.Request, asked: Book.Asked): string => {
  const headers = {
    host: 'h.example',
    'x-mark': mark,
    ...(way === 'platform' ? { [FuzzWords.attempt]: mark, [FuzzWords.remaining]: remaining } : {}),
  };
  if (one.method === 'GET') return RawHttp.request('GET', asked.target, headers);
  if (!one.isChunked) return RawHttp.request(one.method, asked.target, headers, asked.body);
  const head = RawHttp.request(one.method, asked.target, { ...headers, 'transfer-encoding': 'chunked' });
  return head + (asked.body === '' ? '' : RawHttp.chunk(asked.body)) + RawHttp.lastChunk;
};

const cut: RawHttp.Answer = { status: 0, headers: {}, body: '', end: 'cut', rest: '' };

/** Reads one answer for each request, in their order, until all are there or the connection is closed. */
const readAnswers = (socket: Socket, asked: readonly Book.Asked[], onSurplus: (text: string) => void) =>
  new Promise<void>((resolve) => {
    let text = '';
    let count = 0;
    const read = (isClosed: boolean) => {
      while (count < asked.length) {
        const answer = RawHttp.parseAnswer(text, false, isClosed);
        if (!answer && !isClosed) return;
        asked[count]!.answer = answer ?? cut;
        text = answer?.rest ?? '';
        count += 1;
      }
      if (text !== '') onSurplus(text);
      resolve();
    };
    socket.on('data', (bytes: Buffer) => {
      text += bytes.toString('latin1');
      read(false);
    });
    socket.once('end', () => read(true));
    socket.once('close', () => read(true));
  });

const playClient = async (
  address: string,
  client: Case.Client,
  asked: readonly Book.Asked[],
  texts: readonly string[],
  onSurplus: (text: string) => void,
): Promise<void> => {
  const all = texts.join('');
  const length = client.leaves === 'writing' ? Math.floor((all.length * client.leaveAt) / 1000) : all.length;
  let end = 0;
  for (const [index, one] of asked.entries()) {
    end += texts[index]!.length;
    one.isSent = end <= length;
    one.hasLeft = client.leaves !== 'never';
  }
  const socket = await Lab.connect(address);
  const answers = readAnswers(socket, asked, onSurplus);
  const first = Math.floor((length * client.split) / 1000);
  socket.write(all.slice(0, first), 'latin1');
  await new Promise<void>((resolve) => setImmediate(resolve));
  socket.write(all.slice(first, length), 'latin1');
  if (client.leaves === 'writing') await new Promise<void>((resolve) => setImmediate(resolve));
  else if (client.leaves === 'waiting') await pause((client.leaveAt * leavesWithin) / 1000);
  else await Promise.race([answers, pause(answersWithin)]);
  socket.destroy();
};

const settle = async ({ lab, instances }: Stage): Promise<string | undefined> => {
  const until = performance.now() + answersWithin;
  const jobs = () => instances.reduce((sum, one) => sum + lab.inFlight.of(one).jobs, 0);
  while (lab.active() > 0 || jobs() > 0) {
    if (performance.now() > until) return `${lab.active()} requests and ${jobs()} jobs are left`;
    await new Promise<void>((resolve) => setImmediate(resolve));
  }
  return undefined;
};

export const Player = {
  async start(name: string, alter: Player.Alter = (needs) => needs): Promise<Player> {
    const occasions = new Map<string, number>();
    const count = (what: string) => void occasions.set(what, (occasions.get(what) ?? 0) + 1);
    let book = Book.of('platform');
    // Those of the cases just before too: what a client left behind may arrive when its case is over.
    const books = new Map<string, Book>();
    const acts = new Map<string, readonly Case.Act[]>();
    let serial = 0;
    const bookOf = (mark: string): Book => {
      const known = books.get(mark);
      if (known && known !== book) late.add(known);
      return known ?? book;
    };
    const late = new Set<Book>();
    const next = (mark: string) =>
      acts.get(mark)?.[(books.get(mark) ?? book).arrivals.filter((one) => one.mark === mark).length];
    const forget = () => {
      for (const mark of [...books.keys()].slice(0, Math.max(0, books.size - mostKept))) {
        books.delete(mark);
        acts.delete(mark);
      }
    };
    const startStage = async (way: Case.Way): Promise<Stage> => {
      const terms = { book: bookOf, next, played: count };
      const servers = [await ScriptedServer.start(terms), await ScriptedServer.start(terms)];
      const lab = await Lab.start({
        document: documentOf(way),
        servers: servers.map(({ address }, index) => ({ instance: `i-${index}`, group: 'g', address })),
        dialect: way === 'platform' ? FuzzWords.dialect : Dialect,
        alter: (needs) => alter({ ...needs, budget: { ...needs.budget, spend: () => 'token' } }, way),
      });
      return { lab, servers, instances: ['i-0', 'i-1'] };
    };
    const stages = new Map<Case.Way, Stage>();
    for (const way of ways) stages.set(way, await startStage(way));
    return {
      occasions,
      async play(one) {
        const stage = stages.get(one.way)!;
        const surplus: string[] = [];
        book = Book.of(one.way);
        forget();
        const clients = one.clients.map((client) => {
          const asked = client.requests.map((request): Book.Asked => {
            serial += 1;
            const mark = `${name}-${serial}`;
            acts.set(mark, request.acts);
            books.set(mark, book);
            const body = request.method === 'GET' ? '' : `{${mark}:${'a'.repeat(request.size)}}`;
            const { runs, method } = request;
            const target = `/${runs}/${request.path}`;
            const made = {
              mark,
              runs,
              method,
              target,
              body,
              isSent: false,
              hasLeft: false,
              answer: undefined,
            };
            book.asked.set(mark, made);
            return made;
          });
          const texts = client.requests.map((request, index) =>
            textOf(asked[index]!.mark, one.way, request, asked[index]!),
          );
          count(`client:${client.leaves}`);
          if (asked.length > 1) count('client:pipelines');
          return playClient(stage.lab.address, client, asked, texts, (text) => void surplus.push(text));
        });
        await Promise.all(clients);
        const left = await settle(stage);
        count(`way:${one.way}`);
        const older = [...late];
        late.clear();
        return [
          ...[book, ...older].flatMap(Book.judge),
          ...surplus.map((text) => ({
            judge: 'mixed',
            text: `surplus: ${JSON.stringify(text.slice(0, 60))}`,
          })),
          ...(left === undefined ? [] : [{ judge: 'left', text: left }]),
        ];
      },
      async stop() {
        for (const { lab, servers } of stages.values()) {
          await lab.stop();
          for (const one of servers) await one.stop();
        }
      },
    };
  },
};
