/**
 * What an experiment plays: places, proxies, servers, kinds of requests and their prompts, read from a YAML file, and the
 * requests that a seed draws from it.
 */
import { readFileSync } from 'node:fs';
import { parse } from 'yaml';
import type { Random } from '../random.js';

/** A deployment and its traffic. Times are in milliseconds, rates a second, sizes in bytes or tokens. */
export type Workload = {
  readonly name: string;
  readonly zones: readonly Workload.Zone[];
  readonly betweenZones: number;
  readonly betweenRegions: number;
  readonly toClients: number;
  readonly services: readonly Workload.Service[];
  readonly kinds: readonly Workload.Kind[];
  readonly wave: Workload.Wave;
  readonly extraTries: { readonly count: number; readonly window: number };
  /** For how long a shared part counts as one that need not be read again. */
  readonly keptFor: number;
  readonly prices: Workload.Prices;
};

export declare namespace Workload {
  /** A zone, its proxies and the servers of each service there. */
  type Zone = {
    readonly name: string;
    readonly region: string;
    readonly proxies: number;
    readonly servers: Readonly<Record<string, number>>;
  };
  type Service = {
    readonly name: string;
    readonly slots: number;
    readonly queue: number;
    readonly handshake: number;
    readonly speeds: readonly number[];
    readonly warmup?: { readonly span: number; readonly perSecond: number };
    /** Figures of a model server; a service without them works on each request for its span. */
    readonly engine?: {
      readonly memory: number;
      readonly step: number;
      readonly stepPerRequest: number;
      readonly contextPerThousand: number;
      readonly readPerMs: number;
      readonly pairsPerMillion: number;
      readonly stride: number;
      readonly piece: number;
    };
  };
  type Kind = {
    readonly name: string;
    readonly service: string;
    readonly perSecond: number;
    readonly runs: 'once' | 'repeatable' | 'resumable';
    readonly aim: number;
    readonly gap?: number;
    readonly deadline: number;
    readonly priority: number;
    readonly worth: number;
    readonly lateWorth: number;
    readonly servers: number;
    readonly clientTries: number;
    readonly bytes: number;
    readonly pieceBytes: number;
    readonly homes?: readonly string[];
    /** Of a service without tokens. */
    readonly span?: { readonly mean: number; readonly spread: number };
    readonly prompt?: {
      readonly shared: readonly {
        readonly tokens: number;
        readonly spread: number;
        readonly things: number;
        readonly skew: number;
      }[];
      readonly own: { readonly tokens: number; readonly spread: number; readonly most: number };
      readonly pieces: { readonly mean: number; readonly spread: number; readonly most: number };
    };
  };
  /** Each region's rate swings about its mean, one region after another. */
  type Wave = { readonly swing: number; readonly period: number };
  /** What each of these costs, in worth. */
  type Prices = {
    readonly connection: number;
    readonly megabyteBetweenZones: number;
    readonly megabyteBetweenRegions: number;
    readonly millionTokensReadAgain: number;
  };
  type Part = { readonly key: string; readonly tokens: number };
  /** One request, drawn. */
  type Drawn = {
    readonly id: string;
    readonly at: number;
    readonly kind: Kind;
    readonly zone: Zone;
    readonly parts: readonly Part[];
    readonly tokens: number;
    readonly out: number;
    readonly span: number;
    readonly worth: number;
    readonly lateWorth: number;
  };
  /** How many more requests of a kind come at a time, and from where. */
  type Press = (at: number, kind: Kind, zone: Zone) => number;
}

const sizeFloor = 0.3;
const mostSize = 4;
const outTokenWeight = 10;

const normal = (random: Random): number =>
  Math.sqrt(-2 * Math.log(1 - random.next())) * Math.cos(2 * Math.PI * random.next());

/** Log-normal with this mean. */
const spreadOut = (random: Random, mean: number, spread: number, most: number): number =>
  Math.min(most, mean * Math.exp(spread * normal(random) - (spread * spread) / 2));

/** A thing by its rank: the smaller the skew's exponent, the more even. */
const thingOf = (random: Random, things: number, skew: number): number =>
  Math.floor(things * random.next() ** (1 + skew));

/** The length of a shared part is its own: the same for all that use it. */
const sharedTokens = (name: string, mean: number, spread: number): number => {
  let hash = 2166136261;
  for (const letter of name) hash = Math.imul(hash ^ letter.charCodeAt(0), 16777619) >>> 0;
  const unit = ((hash ^ (hash >>> 13)) >>> 0) / 4294967296;
  return Math.max(16, Math.round(mean * Math.exp(spread * (unit - 0.5) * 3.46 - (spread * spread) / 2)));
};

const promptOf = (random: Random, id: string, kind: Workload.Kind, stride: number) => {
  if (!kind.prompt) return { parts: [], tokens: 0, out: 0, size: 1 };
  const { shared, own, pieces } = kind.prompt;
  const last = shared.at(-1);
  const thing = last ? thingOf(random, last.things, last.skew) : 0;
  // A thing lies below the same parts each time.
  const parts = shared.map(({ tokens, spread, things }, depth) => {
    const key = `${kind.name}-${depth}-${thing % things}`;
    return { key, tokens: sharedTokens(key, tokens, spread) };
  });
  const mine = Math.max(1, Math.round(spreadOut(random, own.tokens, own.spread, own.most)));
  const out = Math.max(1, Math.round(spreadOut(random, pieces.mean, pieces.spread, pieces.most))) * stride;
  const tokens = parts.reduce((sum, part) => sum + part.tokens, 0) + mine;
  const meanTokens = shared.reduce((sum, part) => sum + part.tokens, 0) + own.tokens;
  const mean = meanTokens + outTokenWeight * pieces.mean * stride;
  const size = Math.min(mostSize, sizeFloor + ((1 - sizeFloor) * (tokens + outTokenWeight * out)) / mean);
  return { parts: [...parts, { key: `own-${id}`, tokens: mine }], tokens, out, size };
};

const rateAt = ({ zones, wave }: Workload, zone: Workload.Zone, at: number): number => {
  const regions = [...new Set(zones.map(({ region }) => region))];
  const phase = regions.indexOf(zone.region) / regions.length;
  return 1 + wave.swing * Math.sin(2 * Math.PI * (at / wave.period + phase));
};

/** Workloads by name or path, and their requests. */
export const Workload = {
  read: (path: string): Workload => parse(readFileSync(path, 'utf8')) as Workload,
  regionsOf: ({ zones }: Workload): readonly string[] => [...new Set(zones.map(({ region }) => region))],
  /** All requests of a time span, in the order in which they come. */
  draw(
    workload: Workload,
    random: Random,
    { span, load, press }: { readonly span: number; readonly load: number; readonly press: Workload.Press },
  ): readonly Workload.Drawn[] {
    const drawn: Workload.Drawn[] = [];
    const { zones } = workload;
    const most = 1 + workload.wave.swing;
    for (const kind of workload.kinds) {
      const stride = workload.services.find(({ name }) => name === kind.service)?.engine?.stride ?? 1;
      for (const zone of zones) {
        const mostPress = 8;
        const rate = (kind.perSecond * load * most * mostPress) / zones.length;
        for (let at = random.gap(rate); at < span; at += random.gap(rate)) {
          const share = (rateAt(workload, zone, at) * press(at, kind, zone)) / (most * mostPress);
          if (random.next() >= share) continue;
          const id = `${kind.name}-${drawn.length}`;
          const { size, ...prompt } = promptOf(random, id, kind, stride);
          const work = kind.span
            ? spreadOut(random, kind.span.mean, kind.span.spread, kind.span.mean * 8)
            : 0;
          drawn.push({
            id,
            at,
            kind,
            zone,
            ...prompt,
            span: work,
            worth: kind.worth * size,
            lateWorth: kind.lateWorth * size,
          });
        }
      }
    }
    return drawn.sort((a, b) => a.at - b.at);
  },
};
