/**
 * Simulated clients of the platform: they resolve the directory, choose a proxy at random, keep connections open, and retry
 * only as the platform's protocol allows. Each try carries an id of its own, and everything observed is recorded.
 */
import { randomBytes } from 'node:crypto';
import { type Client as Connection, request } from 'undici';
import type { Random } from '../random.js';
import { CallerTry } from './caller-try.js';
import { Recording } from './recording.js';
import { Words } from './words.js';

/** A simulated client. */
export type Client = {
  /** One request with all its tries. */
  readonly call: (kind: Client.Kind) => Promise<Recording.Ended>;
  /** Requests at random moments, so many a second of each kind. */
  readonly play: (kinds: readonly Client.Kind[], rate?: number) => void;
  readonly pause: () => Promise<void>;
  readonly stop: () => Promise<void>;
};

/** Types used with it. */
export declare namespace Client {
  type Kind = {
    readonly name: string;
    readonly host: string;
    readonly path: (random: Random) => string;
    readonly runs: Recording.Runs;
    readonly isStream: boolean;
    readonly aim: number;
    readonly gap: number;
    readonly deadline: number;
    readonly retries: number;
    readonly perSecond: number;
    readonly headers: (random: Random) => Record<string, string>;
    readonly bytes: number;
  };
  type Terms = {
    readonly directories: readonly string[];
    readonly name: string;
    readonly region: string;
    readonly zone: string;
    readonly random: Random;
    readonly recording: Recording;
    readonly ttlMax: number;
    /** Keeps an answer of the directory for three times its time. */
    readonly isSlack?: boolean;
    /** Doesn't wait as told, and tries again at once and more often. */
    readonly isImpatient?: boolean;
    /** Goes on using its open connections, whatever the directory answers, until they are closed. */
    readonly isClinging?: boolean;
  };
}

/** A clinging client opens a connection anew for one in so many requests. */
const freshOneIn = 6;
const pause = (span: number) => new Promise<void>((resolve) => setTimeout(resolve, span));

const final = [400, 401, 404, 413, 431];
const promises = [408, 421, 429, 503];

const mayRepeat = (runs: Recording.Runs, seen: CallerTry): boolean => {
  if (seen.outcome === 'whole' || final.includes(seen.status)) return false;
  if (promises.includes(seen.status) || seen.isUnsent) return true;
  if (seen.why === 'deadline') return false;
  return runs !== 'once';
};

/** Creates clients. */
export const Client = {
  mayRepeat,
  of(terms: Client.Terms): Client {
    const { recording, random } = terms;
    const now = Recording.now;
    const idle = new Map<string, Connection[]>();
    const all = new Set<Connection>();
    const shunned = new Set<string>();
    const pending = new Set<Promise<unknown>>();
    const timers = new Set<NodeJS.Timeout>();
    let known: { readonly addresses: readonly string[]; readonly until: number } | undefined;
    let asking: Promise<void> | undefined;
    let serial = 0;

    const ask = async (): Promise<void> => {
      const query = new URLSearchParams({ name: terms.name, region: terms.region, zone: terms.zone });
      for (const directory of terms.directories.slice(0, 3)) {
        try {
          const answer = await request(`http://${directory}${Words.paths.resolution}?${query}`, {
            signal: AbortSignal.timeout(1000),
          });
          const body = (await answer.body.json()) as { addresses?: unknown; 'ttl-s'?: unknown };
          const { addresses, 'ttl-s': ttl } = body;
          if (answer.statusCode !== 200 || !Array.isArray(addresses) || typeof ttl !== 'number') continue;
          if (addresses.length === 0 || addresses.length > 64) continue;
          recording.resolved.push({ at: now(), addresses: addresses.map(String) });
          const kept = Math.min(ttl, terms.ttlMax) * 1000 * (terms.isSlack ? 3 : 1);
          known = { addresses: addresses.map(String), until: now() + kept };
          shunned.clear();
          for (const [front, connections] of idle)
            if (!terms.isClinging && !addresses.includes(front)) {
              idle.delete(front);
              for (const connection of connections) discard(connection);
            }
          return;
        } catch {}
      }
    };
    const addresses = async (): Promise<readonly string[]> => {
      if (!known || known.until < now()) {
        asking ??= ask().finally(() => {
          asking = undefined;
        });
        await asking;
      }
      return known?.addresses ?? [];
    };
    const discard = (connection: Connection) => {
      all.delete(connection);
      connection.destroy().catch(() => {});
    };
    const open = (front: string): Connection => {
      const connection = CallerTry.connect(front);
      all.add(connection);
      connection.on('disconnect', (_origin, _targets, error: Error) => {
        const list = idle.get(front);
        const place = list?.indexOf(connection) ?? -1;
        if (place < 0) return;
        list?.splice(place, 1);
        if (/parser|HPE_/i.test(`${error?.name} ${(error as { code?: string })?.code}`))
          recording.strays.push({ at: now(), front, why: error.message });
        discard(connection);
      });
      return connection;
    };
    const takeKept = (front: string, isFresh: boolean): Connection | undefined =>
      isFresh ? undefined : idle.get(front)?.pop();
    const giveBack = (front: string, connection: Connection, seen: CallerTry) => {
      const isUnwanted = !terms.isClinging && !known?.addresses.includes(front);
      if (seen.isSpent || connection.destroyed || isUnwanted) return discard(connection);
      idle.set(front, [...(idle.get(front) ?? []), connection]);
    };
    const chooseFront = async (isFresh: boolean): Promise<string | undefined> => {
      const list = await addresses();
      const open = [...idle].flatMap(([front, connections]) => (connections.length > 0 ? [front] : []));
      if (terms.isClinging && !isFresh && open.length > 0 && random.below(freshOneIn) > 0)
        return random.pick(open);
      const good = list.filter((front) => !shunned.has(front));
      return good.length > 0 ? random.pick(good) : list.length > 0 ? random.pick(list) : undefined;
    };

    const call = async (kind: Client.Kind): Promise<Recording.Ended> => {
      serial += 1;
      const id = `${terms.zone}-${serial}`;
      const began = now();
      const path = kind.path(random);
      const headers = kind.headers(random);
      const body = Buffer.alloc(kind.bytes, `${id} `);
      const retries = kind.retries * (terms.isImpatient ? 3 : 1);
      let lastEvent = 0;
      for (let tried = 0; ; tried += 1) {
        const left = began + kind.deadline - now();
        const attempt = randomBytes(8).toString('hex');
        const front = await chooseFront(tried > 0);
        const base = { attempt, request: id };
        if (front === undefined || left <= 0) {
          const ended: Recording.Ended = {
            ...base,
            at: now(),
            outcome: 'unreached',
            status: 0,
            why: 'nowhere to go',
          };
          return ended;
        }
        const kept = takeKept(front, tried > 0);
        recording.sent.push({
          ...base,
          isKept: kept !== undefined,
          at: now(),
          kind: kind.name,
          runs: kind.runs,
          host: kind.host,
          path,
          region: terms.region,
          zone: terms.zone,
          front,
          digest: Recording.digest(body),
          left: Math.round(left),
          labels: Recording.labels(headers),
          ...(lastEvent > 0 ? { lastEvent } : {}),
          ...(headers[Words.key] === undefined ? {} : { key: headers[Words.key] }),
        });
        const connection = kept ?? open(front);
        const seen = await CallerTry.run(connection, {
          path,
          body,
          left,
          silence: kind.isStream ? Math.max(2000, 4 * kind.aim, 8 * kind.gap) : kind.deadline,
          isStream: kind.isStream,
          headers: {
            ...headers,
            Host: kind.host,
            [Words.attempt]: attempt,
            [Words.remaining]: String(Math.round(left)),
            ...(lastEvent > 0 ? { [Words.lastEvent]: String(lastEvent) } : {}),
          },
        });
        giveBack(front, connection, seen);
        const { isSpent: _isSpent, isUnsent, ...told } = seen;
        const ended: Recording.Ended = { ...base, ...told, at: now() };
        recording.ended.push(ended);
        if (isUnsent) shunned.add(front);
        lastEvent = seen.events?.at(-1)?.id ?? lastEvent;
        if (tried >= retries || !mayRepeat(kind.runs, seen)) return ended;
        const third = Math.max(0, began + kind.deadline - now()) / 3;
        if (seen.retryAfter !== undefined && !terms.isImpatient)
          await pause(Math.min(seen.retryAfter, third));
      }
    };
    const plan = (kind: Client.Kind, rate: number) => {
      const timer = setTimeout(
        () => {
          timers.delete(timer);
          const work = call(kind).finally(() => pending.delete(work));
          pending.add(work);
          plan(kind, rate);
        },
        random.gap(kind.perSecond * rate),
      );
      timers.add(timer);
    };
    const pauseAll = async (): Promise<void> => {
      for (const timer of timers) clearTimeout(timer);
      timers.clear();
      await Promise.all([...pending]);
    };
    return {
      call,
      play(kinds, rate = 1) {
        for (const kind of kinds) plan(kind, rate);
      },
      pause: pauseAll,
      async stop() {
        await pauseAll();
        await Promise.all([...all].map((connection) => connection.destroy().catch(() => {})));
      },
    };
  },
};
