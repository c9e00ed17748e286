/** One play of an experiment: a seed's requests and chance, a workload, faults and the script of a policy. */
import type { Compiled } from '../../src/manifest/compiled.js';
import type { View } from '../../src/manifest/view.js';
import { Random } from '../random.js';
import { Breaking } from './breaking.js';
import { Client, type Place } from './client.js';
import { Deployment } from './deployment.js';
import { Fault } from './faults.js';
import { Connections, Network } from './network.js';
import { Script } from './script.js';
import type { Server } from './server.js';
import { type Tally, TallyBook } from './tally.js';
import { Timeline } from './timeline.js';
import { Workload } from './workload.js';

export declare namespace World {
  type Play = {
    readonly seed: number;
    readonly code: string;
    readonly workload: Workload;
    readonly faults: readonly Fault[];
    readonly span: number;
    readonly load: number;
  };
}

const reportEvery = 500;
const reportLag = 230;
const failuresEvery = 500;
const onTheWay = 30;
const mostFailing = 16;
const connectionsKeptFor = 8000;
const settling = 20_000;
/** What is left of an aim for reading, besides the way and the first tokens. */
const readingPart = 0.9;

const stream = { requests: 1, script: 2, servers: 3, places: 4, faults: 5 } as const;
const randomOf = (seed: number, purpose: number) => Random.of((seed * 7919 + purpose * 104_729) >>> 0);

type Parts = {
  readonly play: World.Play;
  readonly timeline: Timeline;
  readonly book: TallyBook;
  readonly network: Network;
  readonly deployment: Deployment;
  readonly places: readonly Place[];
};

const every = (timeline: Timeline, span: number, until: number, work: () => void): void => {
  if (timeline.now() >= until) return;
  timeline.after(span, () => {
    work();
    every(timeline, span, until, work);
  });
};

const placesOf = (
  script: Script,
  { play, timeline, deployment, network }: Omit<Parts, 'places'>,
): Place[] => {
  const { workload } = play;
  const nodes = workload.zones.flatMap((zone) =>
    Array.from({ length: zone.proxies }, (_none, index) => ({ zone, node: `${zone.name}-${index + 1}` })),
  );
  const roster = nodes.map(({ node }) => node);
  const pools = script.Front.pools(workload.extraTries, roster.length);
  const made: Place[] = [];
  for (const { zone, node } of nodes) {
    const connections = new Connections(timeline, connectionsKeptFor);
    const front = script.Front.of({
      node,
      zone: zone.name,
      roster: () => roster,
      hasIdle: (instance) => connections.has(instance),
      unread: (instance) => deployment.find(instance)?.report().unread ?? 0,
      open: (instance, signal) => connections.open(deployment.find(instance)!, zone, network, signal),
      keep: (instance) => connections.give(instance),
      tellDark(instance) {
        timeline.after(onTheWay, () => {
          for (const other of made) if (other.front !== front) other.front.hearDark(instance);
        });
      },
      extraTries: workload.extraTries,
      sendTokens(transfers) {
        timeline.after(onTheWay, () => {
          const granted = pools.exchange(transfers);
          if (granted.length > 0) timeline.after(onTheWay, () => front.grant(granted));
        });
        return true;
      },
    });
    made.push({ front, zone, connections, isUp: true, serving: new Set() });
  }
  return made;
};

/** What cores tell all proxies: the loads of servers, and which of them fail. */
const tellAll = ({ play, timeline, deployment, places }: Parts): void => {
  const until = play.span + settling;
  every(timeline, reportEvery, until, () => {
    const loads = deployment
      .servers()
      .filter((server) => server.isUp() && server.service.engine)
      .map((server) => {
        const { queued, active, used, total } = server.report();
        return { instance: server.instance, queued, active, bound: total > 0 ? used / total : 0 };
      });
    timeline.after(reportLag, () => {
      for (const { front } of places) front.hear(loads);
    });
  });
  every(timeline, failuresEvery, until, () => {
    const sums = new Map<string, number>();
    for (const { front } of places)
      for (const { instance, count } of front.untold()) sums.set(instance, (sums.get(instance) ?? 0) + count);
    const worst = [...sums].sort(([, a], [, b]) => b - a).slice(0, mostFailing);
    const told = worst.map(([instance, count]) => ({ instance, count }));
    if (told.length > 0)
      timeline.after(onTheWay, () => {
        for (const { front } of places) front.hearFailures(told);
      });
  });
};

type Begun = { readonly hit: number; readonly server: Server };

/** Counts what is read anew although some server had read it lately, and tells why a first piece came late. */
const readingBook = ({ play, timeline, book }: Pick<Parts, 'play' | 'timeline' | 'book'>) => {
  const usedAt = new Map<string, number>();
  const begun = new Map<string, Begun>();
  return {
    onBegun(request: Workload.Drawn, hit: number, server: Server) {
      begun.set(request.id, { hit, server });
      let path = '';
      let before = 0;
      for (const { key, tokens } of request.parts.slice(0, -1)) {
        path = `${path}/${key}`;
        const known = usedAt.get(path);
        if (before >= hit && known !== undefined && timeline.now() - known <= play.workload.keptFor)
          book.count('tokens read again', tokens);
        usedAt.set(path, timeline.now());
        before += tokens;
      }
      book.count('tokens asked', request.tokens);
      book.count('tokens read', request.tokens - hit);
    },
    causeOf(request: Workload.Drawn): string {
      const known = begun.get(request.id);
      const own = request.parts.at(-1)?.tokens ?? 0;
      if (!known || own === 0) return 'waiting';
      const shared = request.tokens - own;
      const { hit, server } = known;
      if (server.readingOf(own, shared) > request.kind.aim * readingPart) return 'its own part';
      if (server.readingOf(request.tokens - hit, hit) > request.kind.aim * readingPart) return 'shared parts';
      return 'others at the server';
    },
  };
};

const chooserOf =
  (places: readonly Place[], network: Network, random: Random) =>
  (zone: Workload.Zone): Place | undefined => {
    const up = places.filter((place) => place.isUp && network.reaches(zone, place.zone));
    const near = up.filter((place) => place.zone.name === zone.name);
    const region = up.filter((place) => place.zone.region === zone.region);
    const among = near.length > 0 ? near : region.length > 0 ? region : up;
    return among.length > 0 ? random.pick(among) : undefined;
  };

const countServers = (book: TallyBook, servers: readonly Server[]): void => {
  const taken = servers.filter(({ service }) => service.engine).map((server) => server.taken());
  const mean = taken.reduce((sum, one) => sum + one, 0) / Math.max(1, taken.length);
  book.count('busiest over mean', Math.max(...taken) / Math.max(1, mean));
};

/** Plays of experiments. */
export const World = {
  async play(play: World.Play): Promise<Tally> {
    const { seed, workload, faults, span, load } = play;
    const timeline = Timeline.of();
    const book = new TallyBook(workload);
    const network = Network.of(workload, book);
    const script = Script.load(play.code, timeline, randomOf(seed, stream.script));
    const deployment = Deployment.of(workload, timeline, randomOf(seed, stream.servers));
    const places = placesOf(script, { play, timeline, book, network, deployment });
    const enforce = () => {
      const compiled: Compiled = script.Front.compile(deployment.view() as View);
      for (const { front } of places) front.enforce(compiled);
    };
    enforce();
    deployment.onChange(enforce);
    const parts: Parts = { play, timeline, book, network, deployment, places };
    tellAll(parts);
    Breaking.plan({ faults, timeline, network, deployment, places, random: randomOf(seed, stream.faults) });
    const around: Client.Surroundings = {
      timeline,
      network,
      book,
      toClients: workload.toClients,
      choose: chooserOf(places, network, randomOf(seed, stream.places)),
      server: (instance) => deployment.find(instance)!,
      ...readingBook(parts),
    };
    const press = Fault.pressOf(faults, workload.zones);
    for (const request of Workload.draw(workload, randomOf(seed, stream.requests), { span, load, press }))
      timeline.after(request.at, () => void Client.play(request, around));
    await timeline.runUntil(span + settling);
    for (const { front } of places) front.stop();
    countServers(book, deployment.servers());
    return book.close();
  },
};
