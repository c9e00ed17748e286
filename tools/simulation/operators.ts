// Operators that race: they read what is in place, send a change on that base to any machine, send the same order again
// elsewhere when no answer came, and once more much later. Readers read all the while. One of them waits at machines
// that return from a fault and asks at once.
import { Orders } from '../../src/store/orders.js';
import type { Random } from '../random.js';
import type { History, Order } from './history.js';
import { Http } from './http.js';
import { Machine } from './machine.js';
import type { Network } from './network.js';
import { Process } from './process.js';

export type Operators = {
  /** A machine has just come back: it is asked at once. */
  readonly visit: (machine: Machine) => void;
  readonly lastOrderAt: () => number;
};

export declare namespace Operators {
  type Kind = 'numbered' | 'matched';
  type Needs = {
    readonly network: Network;
    readonly random: Random;
    readonly machines: () => readonly Machine[];
    readonly history: History;
    readonly kind: Kind;
    readonly lostAnswers: () => number;
    readonly perSecond: number;
    readonly until: number;
    readonly onOrder: (machine: Machine) => void;
    readonly onAcknowledged: (order: Order) => void;
    readonly onServed: (what: 'order' | 'read', askedAt: number, isServed: boolean, to: string) => void;
    readonly trace: (who: string, text: string, facts?: object) => void;
  };
  /** What is in place, by an answer. */
  type Place = { readonly version: number; readonly content: string };
}

const answerWithin = { order: 6000, read: 3000 } as const;
const mostTries = 6;

const documentOf = (note: string, numbered?: { number: number }): object => ({
  zones: { 'a-1': { region: 'a' } },
  groups: {},
  homes: { here: { regions: ['a'] } },
  teams: {},
  rules: [],
  note,
  ...(numbered
    ? { source: { format: 'simulated', number: numbered.number, digest: note, packed: note } }
    : {}),
});

type Reply =
  | { readonly status: number; readonly body: Record<string, never>; readonly etag: string }
  | undefined;

export const Operators = {
  run(needs: Operators.Needs): Operators {
    const { network, random, history, kind } = needs;
    const { clock } = network;
    const mayBeLate: Order[] = [];
    let count = 0;
    let lastOrderAt = 0;
    let actors = 0;

    const newProcess = () => Process.of(clock, `10.0.1.${++actors}`);
    const headers = { authorization: `Bearer ${Machine.token}`, 'content-type': 'application/json' };
    const call = async (own: Process, to: Machine, asked: Partial<Http.Call>): Promise<Reply> => {
      const isOrder = asked.method === 'PUT';
      const within = isOrder ? answerWithin.order : answerWithin.read;
      const mayLose = random.next() < needs.lostAnswers();
      const answer = await Http.call(network, own, {
        to: to.http,
        method: 'GET',
        path: '/',
        connectWithin: 1000,
        answerWithin: within,
        ...asked,
        headers: { ...headers, ...asked.headers },
      });
      if (mayLose) throw Object.assign(new Error('the answer was lost'), { code: 'LOST' });
      const body = JSON.parse(answer.body.toString('utf8')) as Record<string, never>;
      return { status: answer.status, body, etag: answer.headers.etag ?? '' };
    };
    const read = async (own: Process, by: string, to: Machine): Promise<Operators.Place | undefined> => {
      const askedAt = clock.at();
      const path = kind === 'numbered' ? '/numbered' : '/v1/manifest';
      let isLost = false;
      const reply = await call(own, to, { path }).catch((error) => {
        isLost = error.code === 'LOST';
        return undefined;
      });
      const { status, body, etag } = reply ?? { status: 0, body: {}, etag: '' };
      const isEmpty = kind === 'matched' && status === 404;
      const place = isEmpty
        ? { version: 0, content: '' }
        : status !== 200
          ? undefined
          : kind === 'numbered'
            ? {
                version: Number((body as { number?: number }).number),
                content: String((body as { digest?: string }).digest),
              }
            : {
                version: Number(etag.replaceAll('"', '')),
                content: String((body as { note?: string }).note),
              };
      if (!isLost) needs.onServed('read', askedAt, place !== undefined, to.name);
      needs.trace(
        by,
        place ? `read ${place.version} at ${to.name}` : `read at ${to.name}: ${status || 'nothing'}`,
        {
          ...(place ? { content: place.content } : {}),
          asked: askedAt,
        },
      );
      if (place) history.see({ kind: 'read', by, from: to.name, ...place, askedAt, at: clock.at() });
      return place;
    };
    const outcomeOf = (reply: NonNullable<Reply>): Order.Outcome => {
      if (reply.status === 200) return 'taken';
      if (reply.status >= 400 && reply.status < 500) return 'refused';
      const { error } = reply.body as { error?: { taken?: string } };
      return error?.taken === 'no' ? 'not taken' : 'unknown';
    };
    const note = (
      order: Order,
      reply: NonNullable<Reply>,
      to: Machine,
      askedAt: number,
      outcome: Order.Outcome,
    ) => {
      const { by } = order;
      if (outcome === 'taken') {
        const version =
          kind === 'numbered' ? order.number : Number((reply.body as { revision?: number }).revision);
        const isFirst = order.acknowledgedAt === undefined;
        order.version = version;
        order.acknowledgedAt ??= clock.at();
        if (isFirst)
          history.see({
            kind: 'acknowledgement',
            by,
            from: to.name,
            version,
            content: order.id,
            askedAt,
            at: clock.at(),
          });
        if (isFirst) needs.onAcknowledged(order);
      }
      if (outcome !== 'refused') return;
      order.refusedAt ??= clock.at();
      const { error } = reply.body as { error?: { number?: number; revision?: number } };
      const version = error?.number ?? error?.revision;
      if (version !== undefined)
        history.see({
          kind: 'refusal',
          by,
          from: to.name,
          version,
          content: undefined,
          askedAt,
          at: clock.at(),
        });
    };
    const send = async (own: Process, order: Order, to: Machine): Promise<Order.Outcome> => {
      const askedAt = clock.at();
      const attempt: Order.Try = {
        at: askedAt,
        to: to.name,
        outcome: 'unknown',
        endedAt: Number.POSITIVE_INFINITY,
      };
      order.tries.push(attempt);
      lastOrderAt = askedAt;
      needs.onOrder(to);
      const asked =
        kind === 'numbered'
          ? { path: '/numbered', headers: {} }
          : { path: '/v1/manifest', headers: { 'if-match': `"${order.base}"`, 'idempotency-key': order.id } };
      let code = '';
      const reply = await call(own, to, { ...asked, method: 'PUT', body: order.body }).catch((error) => {
        code = String(error.code ?? error);
        return undefined;
      });
      const isRefused = code === 'ECONNREFUSED' || code === 'UND_ERR_CONNECT_TIMEOUT';
      attempt.outcome = reply ? outcomeOf(reply) : isRefused ? 'not taken' : 'unknown';
      attempt.endedAt = clock.at();
      const isServed = attempt.outcome === 'taken' || attempt.outcome === 'refused';
      if (code !== 'LOST') needs.onServed('order', askedAt, isServed, to.name);
      needs.trace(order.by, `order ${order.id} on ${order.base} at ${to.name}: ${attempt.outcome}`, {
        status: reply?.status ?? code,
        asked: askedAt,
        ...(reply && reply.status !== 200 ? { why: JSON.stringify(reply.body) } : {}),
      });
      if (reply) note(order, reply, to, askedAt, attempt.outcome);
      return attempt.outcome;
    };
    const make = (by: string, base: number): Order => {
      const id = `order-${++count}`;
      const number = base + 1 + (random.next() < 0.3 ? random.below(3) : 0);
      const document = documentOf(id, kind === 'numbered' ? { number } : undefined);
      const body = kind === 'numbered' ? { base, document } : document;
      const order: Order = {
        id,
        keptAs: kind === 'numbered' ? `number ${number} ${Orders.shortDigest(id)}` : id,
        by,
        base,
        number,
        body: JSON.stringify(body),
        firstSentAt: clock.at(),
        tries: [],
        version: undefined,
        acknowledgedAt: undefined,
        refusedAt: undefined,
      };
      history.orders.push(order);
      return order;
    };
    const anyMachine = () => random.pick(needs.machines());
    const insist = async (own: Process, order: Order, first: Machine) => {
      let to = first;
      for (let tries = 0; tries < mostTries && clock.at() < needs.until; tries += 1) {
        const outcome = await send(own, order, to);
        if (outcome === 'taken' || outcome === 'refused') break;
        if (random.next() < 0.1) break;
        if (random.next() < 0.6) await clock.pause(random.below(300));
        to = anyMachine();
      }
      if (random.next() < 0.3) mayBeLate.push(order);
    };
    const operate = async (by: string) => {
      const own = newProcess();
      let base = 0;
      while (clock.at() < needs.until) {
        await clock.pause(random.gap(needs.perSecond));
        const late =
          mayBeLate.length > 0 && random.next() < 0.15
            ? mayBeLate.splice(random.below(mayBeLate.length), 1)
            : [];
        for (const order of late) await insist(own, order, anyMachine());
        if (late.length > 0) continue;
        const place = random.next() < 0.85 ? await read(own, by, anyMachine()) : undefined;
        base = place?.version ?? base;
        const wanted = random.next() < 0.08 ? random.below(base + 1) : base;
        const order = make(by, wanted);
        await insist(own, order, anyMachine());
        base = order.acknowledgedAt !== undefined ? Math.max(base, order.version!) : base;
      }
    };
    const look = async (by: string) => {
      const own = newProcess();
      while (clock.at() < needs.until) {
        await clock.pause(random.gap(3));
        await read(own, by, anyMachine());
      }
    };
    for (const by of ['operator-a', 'operator-b']) void operate(by);
    for (const by of ['reader-a', 'reader-b']) void look(by);
    return {
      lastOrderAt: () => lastOrderAt,
      visit(machine) {
        const own = newProcess();
        const by = `visitor-${actors}`;
        clock.after(random.below(60), () => void read(own, by, machine));
        const base = history.highestBefore(clock.at() + 1);
        clock.after(random.below(40), () => {
          const old = random.next() < 0.5 && mayBeLate.length > 0 ? random.pick(mayBeLate) : undefined;
          void send(own, old ?? make(by, base), machine);
        });
      },
    };
  },
};
