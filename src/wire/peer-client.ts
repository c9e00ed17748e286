/**
 * A client for requests to one peer. It keeps a link open, reconnects when the link ends, and matches replies to
 * requests by serial number. While the link is down a request fails at once, and the caller decides what that means.
 */
import { Address } from '../common/address.js';
import { Failure } from '../common/failure.js';
import { Instant } from '../common/instant.js';
import { Timer } from '../common/timer.js';
import type { Frame } from './frame.js';
import { Link } from './link.js';
import { Protocol } from './protocol.js';

type WithoutSerial<T> = T extends unknown ? Omit<T, 'serial'> : never;

type Vote = Extract<Frame.Reply, { kind: 'vote' }>;

/** Sends requests to one peer and knows the state of the link to it. */
export type PeerClient = {
  /** Sends a request; rejects when no reply arrives within `within` milliseconds or the link ends. */
  readonly ask: (request: WithoutSerial<Frame.Request>, within: number) => Promise<Frame.Reply>;
  /** Whether something was received over the current link. Requests are sent earlier, as soon as it is connected. */
  readonly isUp: () => boolean;
  /** Milliseconds since something was last received or the client was started; 0 while the link is up. */
  readonly downFor: () => number;
  /**
   * Whether this core answers at the address. The last vote names the disk that answered there, which may differ from
   * the one before; until the first vote any core is assumed to.
   */
  readonly reaches: (core: Frame.Core) => boolean;
  /** The protocol version shared with the peer, from its last vote; undefined before the first vote. */
  readonly protocol?: () => Protocol | undefined;
  readonly address: string;
  readonly stop: () => Promise<void>;
};

/** Options of a peer client. */
export declare namespace PeerClient {
  type Options = {
    /** The address of the peer, as `host:port`. */
    readonly address: string;
    readonly stamp: () => Frame['stamp'];
    readonly age: () => number;
    readonly hello: () => Extract<Frame.Body, { kind: 'hello' }>;
    /** Milliseconds without received data after which the link is closed. */
    readonly silence?: number;
    /** Called when a link is connected and requests can be sent. */
    readonly onConnect?: () => void;
  };
}

const isReply = (frame: Frame): frame is Frame & Frame.Reply =>
  frame.kind === 'vote' || frame.kind === 'appended' || frame.kind === 'position' || frame.kind === 'done';

/** Restores a full vote: a peer whose vote has not changed since its last one over this link sends only the digest. */
const expandVote = (vote: Vote, lastVote: Vote | undefined): Vote => {
  if (!vote.isSame) return vote;
  if (!lastVote || lastVote.digest !== vote.digest)
    throw Failure.of('frame', 'the peer refers to a vote that it did not send over this link');
  const { promised, accepted, term, core } = lastVote;
  return { ...vote, promised, accepted, term, core };
};

/** Creates peer clients. */
export const PeerClient = {
  start(options: PeerClient.Options): PeerClient {
    const stop = new AbortController();
    const pending = new Map<number, (reply: Frame.Reply | Error) => void>();
    let serial = 0;
    let link: Link | undefined;
    let connected: Link | undefined;
    let lastReceived = Instant.now();
    let disk = '';
    let lastVote: Vote | undefined;
    let protocol: Protocol | undefined;

    const failAll = () => {
      const cause = Failure.of('link', `the link to ${options.address} was closed`);
      for (const settle of [...pending.values()]) settle(cause);
    };
    const runLink = async () => {
      const address = Address.parse(options.address);
      if (!address) return;
      const opened = await Link.open(
        address,
        { stamp: options.stamp, age: options.age, pingEvery: 250, silence: options.silence ?? 1200 },
        stop.signal,
      );
      const onStop = () => opened.close();
      stop.signal.addEventListener('abort', onStop, { once: true });
      try {
        opened.send(options.hello());
        connected = opened;
        options.onConnect?.();
        for await (const frame of opened.frames()) {
          lastReceived = Instant.now();
          link = opened;
          if (!isReply(frame)) continue;
          const reply = frame.kind === 'vote' ? expandVote(frame, lastVote) : frame;
          if (reply.kind === 'vote') {
            disk = reply.core.disk;
            protocol = Protocol.negotiate(reply.protocol);
            if (reply.digest) lastVote = reply;
          }
          pending.get(reply.serial)?.(reply);
        }
      } finally {
        stop.signal.removeEventListener('abort', onStop);
        link = undefined;
        connected = undefined;
        lastVote = undefined;
        failAll();
      }
    };
    const reconnect = async () => {
      while (!stop.signal.aborted) {
        await runLink().catch(() => undefined);
        await Timer.sleep(100, stop.signal);
      }
    };
    const done = reconnect();
    return {
      address: options.address,
      isUp: () => link !== undefined,
      downFor: () => (link ? 0 : Instant.since(lastReceived)),
      reaches: (core) => disk === '' || disk === core.disk,
      protocol: () => protocol,
      ask: (request, within) =>
        new Promise((resolve, reject) => {
          const requestSerial = ++serial;
          const settle = (reply: Frame.Reply | Error) => {
            pending.delete(requestSerial);
            timer.stop();
            if (reply instanceof Error) reject(reply);
            else resolve(reply);
          };
          const timer = Timer.after(within, () =>
            settle(Failure.of('silence', `${options.address} did not answer`)),
          );
          pending.set(requestSerial, settle);
          const known = request.kind === 'peek' && lastVote?.digest ? { known: lastVote.digest } : {};
          if (!connected?.send({ ...request, ...known, serial: requestSerial } as Frame.Request))
            settle(Failure.of('link', `no link to ${options.address}`));
        }),
      async stop() {
        stop.abort();
        await done;
      },
    };
  },
};
