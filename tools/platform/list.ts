/**
 * The simulated server list of the platform: paged, delayed, and rate-limited over all callers. A server that is to end is
 * listed as draining first; one that crashed remains for a while.
 */
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import type { Engine } from './engine.js';
import { Recording } from './recording.js';
import { Reset } from './reset.js';
import { Words } from './words.js';

/** The server list. */
export type PlatformList = {
  readonly address: string;
  readonly show: (engine: Engine) => void;
  readonly remove: (engine: Engine) => void;
  readonly fault: (isDown: boolean) => void;
  readonly calls: () => { readonly answered: number; readonly turnedAway: number };
  readonly stop: () => Promise<void>;
};

/** Types used with it. */
export declare namespace PlatformList {
  type Terms = {
    readonly listen: string;
    readonly lag: number;
    readonly perSecond: number;
    readonly page: number;
    readonly capacity: number;
    readonly recording: Recording;
  };
}

type Shown = { readonly from: number; readonly state: Recording.Listed['state'] };

/** Starts lists. */
export const PlatformList = {
  async start(terms: PlatformList.Terms): Promise<PlatformList> {
    const { recording } = terms;
    const now = Recording.now;
    const engines = new Map<string, { readonly engine: Engine; readonly history: Shown[] }>();
    let recent: number[] = [];
    let isDown = false;
    let answered = 0;
    let turnedAway = 0;
    const note = (engine: Engine, state: Shown['state']) => {
      const { instance } = engine.terms;
      const from = now() + terms.lag;
      const known = engines.get(instance) ?? { engine, history: [] };
      engines.set(instance, known);
      known.history.push({ from, state });
      recording.listed.push({ at: from, instance, state });
    };
    const entryOf = (engine: Engine, state: Shown['state']) => ({
      'instance-id': engine.terms.instance,
      'target-service': engine.terms.service,
      address: engine.address,
      zone: engine.terms.zone,
      revision: 'v1',
      capacity: terms.capacity,
      state,
      'warmup-left-ms': engine.coldLeft(),
      phase: 'combined',
      models: engine.terms.isPlain
        ? []
        : [{ name: engine.terms.modelName ?? 'm', revision: engine.terms.revision ?? 1, adapters: [] }],
    });
    const entries = (zone: string | null) => {
      const at = now();
      return [...engines.values()].flatMap(({ engine, history }) => {
        const shown = history.filter((one) => one.from <= at).at(-1);
        return shown && shown.state !== 'gone' && (zone === null || zone === engine.terms.zone)
          ? [entryOf(engine, shown.state)]
          : [];
      });
    };
    const server = createServer((incoming, response) => {
      if (isDown) return void Reset.of(incoming.socket);
      const url = new URL(incoming.url ?? '/', 'http://list');
      const answer = (status: number, body: object) => {
        response.writeHead(status, { 'Content-Type': 'application/json' });
        response.end(JSON.stringify(body));
      };
      if (incoming.method !== 'GET' || url.pathname !== Words.paths.list) return answer(404, {});
      const at = now();
      recent = recent.filter((one) => one > at - 1000);
      if (recent.length >= terms.perSecond) {
        turnedAway += 1;
        return answer(429, {});
      }
      recent.push(at);
      answered += 1;
      const token = url.searchParams.get('page-token') ?? 'p-0';
      const from = Number(/^p-(\d+)$/.exec(token)?.[1] ?? Number.NaN);
      if (!Number.isInteger(from)) return answer(400, { cause: 'page-token' });
      const all = entries(url.searchParams.get('zone'));
      const next = from + terms.page < all.length ? `p-${from + terms.page}` : null;
      return answer(200, { instances: all.slice(from, from + terms.page), 'next-token': next });
    });
    const cut = terms.listen.lastIndexOf(':');
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(Number(terms.listen.slice(cut + 1)), terms.listen.slice(0, cut), resolve);
    });
    return {
      address: `${terms.listen.slice(0, cut)}:${(server.address() as AddressInfo).port}`,
      show: (engine) => note(engine, engine.state()),
      remove: (engine) => note(engine, 'gone'),
      fault(wanted) {
        isDown = wanted;
      },
      calls: () => ({ answered, turnedAway }),
      stop: () =>
        new Promise((resolve) => {
          server.close(() => resolve());
          server.closeAllConnections();
        }),
    };
  },
};
