/**
 * The simulated operator of the platform: sends configurations and evacuations to any node that serves control, follows
 * redirects, moves on to another node after a failure, and repeats unchanged what got no clear response.
 */
import { request } from 'undici';
import type { Random } from '../random.js';
import { Recording } from './recording.js';
import { Words } from './words.js';

/** The simulated operator. */
export type Operator = {
  readonly put: (
    configuration: Operator.Configuration,
    base: number,
    more?: { readonly isValid?: boolean; readonly node?: string },
  ) => Promise<number>;
  readonly evacuate: (zone: string) => Promise<number>;
  readonly takeBack: (zone: string) => Promise<number>;
  readonly read: () => Promise<Operator.Configuration | undefined>;
};

/** Types used with it. */
export declare namespace Operator {
  type Route = {
    readonly name: string;
    readonly 'origin-host': string;
    readonly 'path-prefix': string;
    readonly 'target-service'?: string;
    readonly 'weighted-targets'?: readonly { readonly 'target-service': string; readonly share: number }[];
    readonly 'home-regions'?: readonly string[];
    readonly [more: string]: unknown;
  };
  type Configuration = {
    readonly revision: number;
    readonly 'route-table': readonly Route[];
    readonly services: readonly Readonly<Record<string, unknown>>[];
    readonly limits: Readonly<Record<string, number>>;
    readonly subscribers?: readonly Subscriber[];
  };
  type Subscriber = {
    readonly name: string;
    readonly credentials: readonly string[];
    readonly 'rate-per-s'?: number;
    readonly 'burst-size'?: number;
    readonly priority?: number;
  };
  type Terms = {
    readonly nodes: () => readonly string[];
    readonly random: Random;
    readonly recording: Recording;
    readonly ackWithin: number;
  };
}

type Answer = { readonly status: number; readonly text: string };

const ending = [400, 409, 412, 413, 422];
const pause = (span: number) => new Promise<void>((resolve) => setTimeout(resolve, span));

/** Of what was read back, in any order of fields, the same digest as of what was sent. */
const canonical = (value: unknown): unknown =>
  Array.isArray(value)
    ? value.map(canonical)
    : value !== null && typeof value === 'object'
      ? Object.fromEntries(
          Object.entries(value)
            .sort(([a], [b]) => (a < b ? -1 : 1))
            .map(([key, one]) => [key, canonical(one)]),
        )
      : value;
const digestOf = (configuration: unknown): string =>
  Recording.digest(JSON.stringify(canonical(configuration)));

const routesOf = (configuration: Operator.Configuration): Recording.Route[] =>
  configuration['route-table'].map((route) => {
    const shares = route['weighted-targets']
      ?.filter((one) => one.share > 0)
      .map((one) => one['target-service']);
    return {
      name: route.name,
      host: route['origin-host'],
      prefix: route['path-prefix'],
      services: shares && shares.length > 0 ? shares : [route['target-service'] ?? ''],
      homes: route['home-regions'] ?? [],
      ...(typeof route['timeout-ms'] === 'number' ? { timeout: route['timeout-ms'] } : {}),
      ...(typeof route['max-attempts'] === 'number' ? { attempts: route['max-attempts'] } : {}),
    };
  });

const tenantOf = (one: Operator.Subscriber): Recording.Subscriber => ({
  name: one.name,
  keys: one.credentials,
  perSecond: one['rate-per-s'] ?? 0,
  burst: one['burst-size'] ?? 0,
});

/** Creates operators. */
export const Operator = {
  digestOf,
  routesOf,
  of(terms: Operator.Terms): Operator {
    const { random, recording } = terms;
    const now = Recording.now;
    const once = async (node: string, method: 'GET' | 'POST', path: string, body?: Buffer, base?: number) => {
      let url = `http://${node}${path}`;
      for (let hop = 0; hop < 3; hop += 1) {
        const answer = await request(url, {
          method,
          headers: body
            ? {
                'Content-Type': 'application/json',
                ...(base === undefined ? {} : { [Words.base]: String(base) }),
              }
            : {},
          body: body ?? null,
          signal: AbortSignal.timeout(1000 + Math.ceil((body?.length ?? 0) / 1000)),
        });
        const text = await answer.body.text();
        if (answer.statusCode !== 307) return { status: answer.statusCode, text };
        url = String(answer.headers.location);
      }
      return { status: 0, text: '' };
    };
    const untilClear = async (
      method: 'GET' | 'POST',
      path: string,
      more: {
        readonly body?: Buffer;
        readonly base?: number;
        readonly within: number;
        readonly node?: string;
      },
    ): Promise<Answer> => {
      const ends = now() + more.within;
      let last: Answer = { status: 0, text: '' };
      let declined = 0;
      for (let tried = 0; now() < ends; tried += 1) {
        const node = more.node ?? random.pick(terms.nodes());
        try {
          last = await once(node, method, path, more.body, more.base);
        } catch {
          last = { status: 0, text: '' };
        }
        const { status } = last;
        if (status >= 200 && status < 300) return last;
        if (ending.includes(status)) return last;
        if (status >= 400 && status < 500 && ![408, 429].includes(status)) {
          declined += 1;
          if (declined >= 3) return last;
        }
        await pause(Math.min(1000, 50 * 2 ** tried));
      }
      return last;
    };
    const order = async (kind: 'evacuate' | 'take-back', zone: string, path: string): Promise<number> => {
      const sent = now();
      const { status } = await untilClear('POST', path, { within: terms.ackWithin });
      const isAcked = status >= 200 && status < 300;
      recording.orders.push({ kind, sent, status, zone, ...(isAcked ? { acked: now() } : {}) });
      return status;
    };
    return {
      async put(configuration, base, more = {}) {
        const sent = now();
        const body = Buffer.from(JSON.stringify(configuration));
        const place = recording.orders.length;
        const entry = {
          kind: 'configuration' as const,
          sent,
          revision: configuration.revision,
          base,
          isValid: more.isValid ?? true,
          routes: routesOf(configuration),
          ...(configuration.subscribers ? { subscribers: configuration.subscribers.map(tenantOf) } : {}),
          digest: digestOf(configuration),
        };
        recording.orders.push({ ...entry, status: 0 });
        const { status } = await untilClear('POST', Words.paths.replace, {
          body,
          base,
          within: terms.ackWithin * (base === 0 ? 5 : 2),
          ...(more.node === undefined ? {} : { node: more.node }),
        });
        recording.orders[place] = { ...entry, status, ...(status === 200 ? { acked: now() } : {}) };
        return status;
      },
      evacuate: (zone) => order('evacuate', zone, Words.paths.evacuate(zone)),
      takeBack: (zone) => order('take-back', zone, Words.paths.takeBack(zone)),
      async read() {
        const sent = now();
        const { status, text } = await untilClear('GET', Words.paths.read, { within: terms.ackWithin });
        let found: Operator.Configuration | undefined;
        try {
          found = status === 200 ? (JSON.parse(text) as Operator.Configuration) : undefined;
        } catch {}
        recording.orders.push({
          kind: 'read',
          sent,
          status,
          revision: found?.revision ?? 0,
          digest: found ? digestOf(found) : '',
          ...(found ? { acked: now() } : {}),
        });
        return found;
      },
    };
  },
};
