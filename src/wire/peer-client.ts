// A courier keeps one link to a peer open and carries requests over it, each answered by a reply of the
// same serial. When the link is down a request fails at once; whoever asks decides what that means. From the
// votes it carries it knows whose disk answers there, which may be another one than was there before. A link
// carries requests as soon as it stands, and counts as up once something was heard over it. A peer whose vote is the
// one it gave last over this link says just that; the courier hands on the whole vote.
import { Address } from '../common/address.js';
import { Failure } from '../common/failure.js';
import { Instant } from '../common/instant.js';
import { Timer } from '../common/timer.js';
import type { Frame } from './frame.js';
import { Link } from './link.js';
import { Protocol } from './protocol.js';

type WithoutSerial<T> = T extends unknown ? Omit<T, 'serial'> : never;

type Vote = Extract<Frame.Reply, { kind: 'vote' }>;

export type PeerClient = {
  readonly ask: (request: WithoutSerial<Frame.Request>, within: number) => Promise<Frame.Reply>;
  readonly isUp: () => boolean;
  readonly downFor: () => number;
  readonly reaches: (core: Frame.Core) => boolean;
  /** What the peer knows of the frames, as told with its last vote; undefined before the first one. */
  readonly protocol?: () => Protocol | undefined;
  readonly place: string;
  readonly stop: () => Promise<void>;
};

export declare namespace PeerClient {
  type Options = {
    readonly place: string;
    readonly stamp: () => Frame['stamp'];
    readonly age: () => number;
    readonly hello: () => Extract<Frame.Body, { kind: 'hello' }>;
    readonly silence?: number;
    readonly onUp?: () => void;
  };
}

const isReply = (frame: Frame): frame is Frame & Frame.Reply =>
  frame.kind === 'vote' || frame.kind === 'appended' || frame.kind === 'position' || frame.kind === 'done';

const wholeOf = (vote: Vote, last: Vote | undefined): Vote => {
  if (!vote.isSame) return vote;
  if (!last || last.digest !== vote.digest) throw Failure.of('frame', 'a vote like none that was told');
  const { promised, accepted, term, core } = last;
  return { ...vote, promised, accepted, term, core };
};

export const PeerClient = {
  start(needs: PeerClient.Options): PeerClient {
    const stop = new AbortController();
    const waiting = new Map<number, (reply: Frame.Reply | Error) => void>();
    let serial = 0;
    let link: Link | undefined;
    let carrying: Link | undefined;
    let lastUp = Instant.now();
    let disk = '';
    let last: Vote | undefined;
    let protocol: Protocol | undefined;

    const failAll = () => {
      const cause = Failure.of('link', `the link to ${needs.place} ended`);
      for (const settle of [...waiting.values()]) settle(cause);
    };
    const attend = async () => {
      const address = Address.parse(needs.place);
      if (!address) return;
      const made = await Link.open(
        address,
        { stamp: needs.stamp, age: needs.age, pingEvery: 250, silence: needs.silence ?? 1200 },
        stop.signal,
      );
      const onStop = () => made.close();
      stop.signal.addEventListener('abort', onStop, { once: true });
      try {
        made.send(needs.hello());
        carrying = made;
        needs.onUp?.();
        for await (const frame of made.frames()) {
          lastUp = Instant.now();
          link = made;
          if (!isReply(frame)) continue;
          const reply = frame.kind === 'vote' ? wholeOf(frame, last) : frame;
          if (reply.kind === 'vote') {
            disk = reply.core.disk;
            protocol = Protocol.negotiate(reply.protocol);
            if (reply.digest) last = reply;
          }
          waiting.get(reply.serial)?.(reply);
        }
      } finally {
        stop.signal.removeEventListener('abort', onStop);
        link = undefined;
        carrying = undefined;
        last = undefined;
        failAll();
      }
    };
    const run = async () => {
      while (!stop.signal.aborted) {
        await attend().catch(() => undefined);
        await Timer.sleep(100, stop.signal);
      }
    };
    const done = run();
    return {
      place: needs.place,
      isUp: () => link !== undefined,
      downFor: () => (link ? 0 : Instant.since(lastUp)),
      reaches: (core) => disk === '' || disk === core.disk,
      protocol: () => protocol,
      ask: (request, within) =>
        new Promise((resolve, reject) => {
          const mine = ++serial;
          const settle = (reply: Frame.Reply | Error) => {
            waiting.delete(mine);
            timer.stop();
            if (reply instanceof Error) reject(reply);
            else resolve(reply);
          };
          const timer = Timer.after(within, () =>
            settle(Failure.of('silence', `${needs.place} did not answer`)),
          );
          waiting.set(mine, settle);
          const known = request.kind === 'peek' && last?.digest ? { known: last.digest } : {};
          if (!carrying?.send({ ...request, ...known, serial: mine } as Frame.Request))
            settle(Failure.of('link', `no link to ${needs.place}`));
        }),
      async stop() {
        stop.abort();
        await done;
      },
    };
  },
};
