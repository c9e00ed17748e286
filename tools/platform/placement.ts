// A load experiment without sockets: on the pure model of servers, ways to place prompts are compared, each proxy
// seeing its own part of the traffic alone. Seeded, on a virtual clock; prints a table. The same requests are
// played for each way. By hand: node dist/tools/platform/placement.js --site baobab --rate 1.5
import { createHash } from 'node:crypto';
import { fileURLToPath } from 'node:url';
import sade from 'sade';
import { Random } from '../random.js';
import { EngineModel } from './engine-model.js';
import { PlacementView } from './placement-view.js';

export type Placement = {
  readonly way: string;
  readonly asked: number;
  readonly inTime: number;
  readonly first95: number;
  readonly readPerRequest: number;
  readonly gaps99: number;
  readonly gapsLate: number;
  readonly putBack: number;
  readonly afar: number;
};

export declare namespace Placement {
  type Site = {
    readonly servers: readonly number[];
    readonly figures: Partial<EngineModel.Figures>;
    readonly speeds: readonly number[];
    readonly proxies: number;
    readonly kinds: readonly Kind[];
  };
  type Kind = {
    readonly name: string;
    readonly perSecond: number;
    readonly aim: number;
    readonly gap: number;
    readonly priority: number;
    readonly shared: readonly { readonly tokens: number; readonly things: number }[];
    readonly own: number;
    readonly events: number;
  };
  type Terms = { readonly site: Site; readonly rate: number; readonly span: number; readonly seed: number };
}

const dossier = (perSecond: number, aim: number, gap: number, events: number): Placement.Kind => ({
  name: 'long',
  perSecond,
  aim,
  gap,
  priority: 1,
  shared: [
    { tokens: 2520, things: 4 },
    { tokens: 3780, things: 65 },
  ],
  own: 2890,
  events,
});
const question = (perSecond: number, aim: number, gap: number, events: number): Placement.Kind => ({
  name: 'short',
  perSecond,
  aim,
  gap,
  priority: 0,
  shared: [
    { tokens: 119, things: 8 },
    { tokens: 79, things: 215 },
  ],
  own: 628,
  events,
});

const sites: Readonly<Record<string, Placement.Site>> = {
  baobab: {
    servers: [3, 2, 1],
    figures: { stride: 8 },
    speeds: [1, 1, 1.3],
    proxies: 9,
    kinds: [dossier(12.2, 800, 600, 7), question(17.7, 600, 600, 36)],
  },
  likhet: {
    servers: [6, 4, 3],
    figures: { stride: 5, step: 5.05, readPerMs: 40.8, memory: 240_318 },
    speeds: [1, 1, 1.3],
    proxies: 9,
    kinds: [dossier(16.2, 800, 400, 10), question(42.8, 1200, 400, 58)],
  },
};

const oneWay = 55;
const ordinaryWays: readonly PlacementView.Way[] = [
  'random',
  'least',
  'rendezvous',
  'rendezvous-near',
  'cost',
  'cost-report',
  'cost-agreed',
];

type Request = {
  readonly at: number;
  readonly kind: Placement.Kind;
  readonly region: number;
  readonly proxy: number;
  readonly work: EngineModel.Work;
};
type Flight = { readonly request: Request; readonly server: number; readonly delay: number; last: number };

const lognormal = (random: Random, mean: number): number => {
  const normal = Math.sqrt(-2 * Math.log(1 - random.next())) * Math.cos(2 * Math.PI * random.next());
  return Math.max(1, Math.min(mean * 12, Math.round(mean * Math.exp(normal - 0.5))));
};

const requestsOf = ({ site, rate, span, seed }: Placement.Terms): Request[] => {
  const random = Random.of(seed);
  const { stride = 8 } = site.figures;
  const requests: Request[] = [];
  for (const kind of site.kinds)
    for (let at = random.gap(kind.perSecond * rate); at < span; at += random.gap(kind.perSecond * rate)) {
      const region = random.below(site.servers.length);
      const proxy = region + site.servers.length * random.below(site.proxies / site.servers.length);
      const id = `${kind.name}-${requests.length}`;
      const shared = kind.shared.map(({ tokens, things }, depth) => ({
        id: `${kind.name}-${depth}-${Math.floor(things * random.next() ** 1.3)}`,
        tokens,
      }));
      const parts = [...shared, { id, tokens: lognormal(random, kind.own) }];
      const out = Math.max(1, Math.round(kind.events * stride * (0.5 + random.next())));
      const work = { id, model: 'm', priority: kind.priority, parts, rest: 0, made: 0, out };
      requests.push({ at, kind, region, proxy, work });
    }
  return requests.sort((a, b) => a.at - b.at);
};

const percentile = (values: readonly number[], share: number): number => {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0;
};

const play = (way: PlacementView.Way, terms: Placement.Terms): Placement => {
  const { site } = terms;
  const regionOf = site.servers.flatMap((count, region) => Array.from({ length: count }, () => region));
  const speedOf = (server: number) => site.speeds[server % site.speeds.length]!;
  const figures = { ...EngineModel.ordinary, ...site.figures };
  const models = regionOf.map((_region, server) => EngineModel.of({ ...figures, speed: speedOf(server) }));
  const random = Random.of(terms.seed + 77);
  const reports = models.map((model) => model.report());
  const views = Array.from({ length: site.proxies }, (_none, proxy) =>
    PlacementView.of({
      way,
      region: proxy % site.servers.length,
      regionOf,
      figures,
      oneWay,
      random,
      reportOf: (server) => reports[server]!,
      hash: (text) => createHash('md5').update(text).digest().readUInt32LE(0),
    }),
  );
  const requests = requestsOf(terms);
  const flights = new Map<string, Flight>();
  const sends: { readonly at: number; readonly flight: Flight }[] = [];
  const firsts: number[] = [];
  const gaps: number[] = [];
  let inTime = 0;
  let gapsLate = 0;
  let afar = 0;
  let reportAt = 0;
  const act = (event: EngineModel.Event) => {
    const flight = flights.get(event.id);
    if (!flight) return;
    const { request, delay, server } = flight;
    const heardAt = event.at + delay;
    if (event.kind === 'begun') views[request.proxy]!.begun(server, request.work);
    if (event.kind === 'piece') {
      if (flight.last === 0) {
        firsts.push(heardAt - request.at);
        if (heardAt - request.at <= request.kind.aim) inTime += 1;
      } else {
        gaps.push(heardAt - flight.last);
        if (heardAt - flight.last > request.kind.gap) gapsLate += 1;
      }
      flight.last = heardAt;
    }
    if (event.kind !== 'done') return;
    views[request.proxy]!.done(server, request.work);
    flights.delete(event.id);
  };
  let place = 0;
  for (;;) {
    const arrival = requests[place]?.at ?? Number.POSITIVE_INFINITY;
    const send = sends[0]?.at ?? Number.POSITIVE_INFINITY;
    const nexts = models.map((model) => model.next() ?? Number.POSITIVE_INFINITY);
    const step = Math.min(...nexts);
    const now = Math.min(arrival, send, step);
    if (!Number.isFinite(now) || now > terms.span + 60_000) break;
    if (now > reportAt) {
      reportAt = now + 500;
      models.forEach((model, server) => {
        reports[server] = model.report();
      });
    }
    if (now === step) for (const event of models[nexts.indexOf(step)]!.advance(now)) act(event);
    else if (now === send) {
      const { flight } = sends.shift()!;
      if (models[flight.server]!.offer(now, flight.request.work) === 'full') {
        views[flight.request.proxy]!.done(flight.server, flight.request.work);
        flights.delete(flight.request.work.id);
      }
    } else {
      const request = requests[place]!;
      place += 1;
      const server = views[request.proxy]!.choose(request.work);
      const isAfar = regionOf[server] !== request.region;
      if (isAfar) afar += 1;
      const delay = isAfar ? oneWay : 0.5;
      const flight = { request, server, delay, last: 0 };
      flights.set(request.work.id, flight);
      const at = now + delay;
      const index = sends.findIndex((other) => other.at > at);
      sends.splice(index < 0 ? sends.length : index, 0, { at, flight });
    }
  }
  const read = models.reduce((sum, model) => sum + model.report().read, 0);
  return {
    way,
    asked: requests.length,
    inTime: inTime / requests.length,
    first95: percentile(firsts, 0.95),
    readPerRequest: read / requests.length,
    gaps99: percentile(gaps, 0.99),
    gapsLate: gapsLate / Math.max(1, gaps.length),
    putBack: models.reduce((sum, model) => sum + model.report().putBack, 0),
    afar: afar / requests.length,
  };
};

const mean = (rows: readonly Placement[]): Placement => {
  const of = (read: (row: Placement) => number) =>
    rows.reduce((sum, row) => sum + read(row), 0) / rows.length;
  return {
    way: rows[0]!.way,
    asked: Math.round(of((row) => row.asked)),
    inTime: of((row) => row.inTime),
    first95: of((row) => row.first95),
    readPerRequest: of((row) => row.readPerRequest),
    gaps99: of((row) => row.gaps99),
    gapsLate: of((row) => row.gapsLate),
    putBack: Math.round(of((row) => row.putBack)),
    afar: of((row) => row.afar),
  };
};

export const Placement = {
  sites,
  ways: ordinaryWays,
  play,
  table: (rows: readonly Placement[]): string =>
    [
      'way              asked  in time  first p95  read/request  pause p99  pauses late  put back  afar',
      ...rows.map((row) =>
        [
          row.way.padEnd(16),
          String(row.asked).padStart(6),
          `${(row.inTime * 100).toFixed(1)}%`.padStart(9),
          row.first95.toFixed(0).padStart(11),
          row.readPerRequest.toFixed(0).padStart(14),
          row.gaps99.toFixed(0).padStart(11),
          `${(row.gapsLate * 100).toFixed(2)}%`.padStart(13),
          String(row.putBack).padStart(10),
          `${(row.afar * 100).toFixed(0)}%`.padStart(6),
        ].join(''),
      ),
    ].join('\n'),
};

if (process.argv[1] === fileURLToPath(import.meta.url))
  sade('placement', true)
    .option('--site', `one of ${Object.keys(sites).join(', ')}`, 'baobab')
    .option('--rate', 'times the ordinary rate', 1)
    .option('--seconds', 'of traffic', 60)
    .option('--seed', 'of the traffic', 1)
    .option('--seeds', 'how many are played, from that one on, and averaged', 1)
    .action((flags: { site: string; rate: number; seconds: number; seed: number; seeds: number }) => {
      const terms = { site: sites[flags.site]!, rate: flags.rate, span: flags.seconds * 1000 };
      const seeds = Array.from({ length: flags.seeds }, (_none, index) => flags.seed + index);
      const rows = ordinaryWays.map((way) => mean(seeds.map((seed) => play(way, { ...terms, seed }))));
      process.stdout.write(`${Placement.table(rows)}\n`);
    })
    .parse(process.argv);
