/** A client: it sends a request to a proxy, waits as long as it may, and tries again where the answer lets it. */
import { Exchange } from './exchange.js';
import type { Front } from './front.js';
import type { Connections, Network } from './network.js';
import type { Server } from './server.js';
import type { TallyBook } from './tally.js';
import type { Timeline } from './timeline.js';
import type { Workload } from './workload.js';

/** A proxy where it stands. */
export type Place = {
  readonly front: Front;
  readonly zone: Workload.Zone;
  readonly connections: Connections;
  isUp: boolean;
  /** Ends what it serves, when it is lost. */
  readonly serving: Set<AbortController>;
};

export declare namespace Client {
  type Surroundings = {
    readonly timeline: Timeline;
    readonly network: Network;
    readonly book: TallyBook;
    readonly toClients: number;
    readonly choose: (zone: Workload.Zone) => Place | undefined;
    readonly server: (instance: string) => Server;
    readonly onBegun: (request: Workload.Drawn, hit: number, server: Server) => void;
    /** Why its first piece came late. */
    readonly causeOf: (request: Workload.Drawn) => string;
  };
}

const leastSilence = 2000;
const silenceInAims = 4;
const silenceInGaps = 8;
const leastRetryAfter = 1000;

/** What a client has seen of the answer to one request. */
class Watch {
  first: number | undefined;
  last = 0;
  lastAt: number;
  longestGap = 0;

  constructor(private readonly startedAt: number) {
    this.lastAt = startedAt;
  }

  see(index: number, at: number): void {
    if (this.first === undefined) this.first = at - this.startedAt;
    else this.longestGap = Math.max(this.longestGap, at - this.lastAt);
    this.last = Math.max(this.last, index);
    this.lastAt = at;
  }
}

const silenceOf = ({ kind }: Workload.Drawn): number =>
  kind.gap === undefined
    ? Number.POSITIVE_INFINITY
    : Math.max(leastSilence, silenceInAims * kind.aim, silenceInGaps * kind.gap);

const wantOf = ({ kind, parts, tokens }: Workload.Drawn) => ({
  parts,
  wall: '',
  tokens,
  bytes: kind.bytes,
  aim: kind.aim,
  gap: kind.gap ?? kind.deadline,
});

let serial = 0;

const ask = async (
  request: Workload.Drawn,
  watch: Watch,
  place: Place,
  left: number,
  around: Client.Surroundings,
): Promise<Front.Answer> => {
  const { timeline, network, book, toClients } = around;
  const leaving = new AbortController();
  place.serving.add(leaving);
  const silence = silenceOf(request);
  const startedAt = timeline.now();
  const check = () => {
    const quiet = timeline.now() - Math.max(startedAt, watch.lastAt);
    if (quiet >= silence) leaving.abort();
    else timer = timeline.after(silence - quiet + 1, check);
  };
  let timer = Number.isFinite(silence) ? timeline.after(silence, check) : undefined;
  const over = timeline.after(left, () => leaving.abort());
  const answer = await place.front.serve({
    rule: request.kind.name,
    want: wantOf(request),
    left,
    signal: leaving.signal,
    last: () => watch.last,
    run(run) {
      serial += 1;
      const server = around.server(run.pick.server.instance);
      return Exchange.run({
        timeline,
        network,
        book,
        connections: place.connections,
        from: place.zone,
        server,
        request,
        run,
        id: `${request.id}-${serial}`,
        onBegun: (hit) => around.onBegun(request, hit, server),
      });
    },
    onStream: (trial) =>
      Exchange.streamOf(trial).pump((index, at) => {
        network.carry(place.zone, request.zone, request.kind.pieceBytes);
        watch.see(index, at + toClients);
      }),
  });
  timer?.cancel();
  over.cancel();
  place.serving.delete(leaving);
  return answer;
};

const endOf = ({ kind }: Workload.Drawn, watch: Watch): 'in time' | 'late first' | 'late pause' => {
  if ((watch.first ?? Number.POSITIVE_INFINITY) > kind.aim) return 'late first';
  return kind.gap !== undefined && watch.longestGap > kind.gap ? 'late pause' : 'in time';
};

/** Clients of experiments. */
export const Client = {
  async play(request: Workload.Drawn, around: Client.Surroundings): Promise<void> {
    const { timeline, book, toClients } = around;
    const { kind } = request;
    const startedAt = timeline.now();
    const watch = new Watch(startedAt);
    const left = () => kind.deadline - (timeline.now() - startedAt);
    for (let tries = 0; tries <= kind.clientTries; tries += 1) {
      const place = around.choose(request.zone);
      if (!place || left() <= 0) break;
      await pause(timeline, toClients);
      const answer = await ask(request, watch, place, left(), around);
      if (answer.kind === 'served') {
        const end = endOf(request, watch);
        if (end === 'late first') book.count(`${kind.name}: late first by ${around.causeOf(request)}`);
        return book.ended(request, end);
      }
      if (answer.kind === 'refused') book.count(`refused: ${answer.status} ${answer.why}`);
      else book.count('broken at the proxy');
      const isPromise = answer.kind === 'refused' && [429, 503].includes(answer.status);
      if (!isPromise && kind.runs === 'once') break;
      const wait = answer.kind === 'refused' ? Math.max(leastRetryAfter, answer.retryAfter) : 0;
      await pause(timeline, Math.min(wait, left() / 3));
    }
    book.ended(request, 'failed');
  },
};

const pause = (timeline: Timeline, span: number) =>
  new Promise<void>((resolve) => void timeline.after(Math.max(0, span), resolve));
