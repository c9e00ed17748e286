/**
 * The parent's end of a session: one task per child. The child introduces itself and receives the peers and the newest
 * view, from then on every newer view, and the peers again when they change. The nodes that the child reports below it
 * are entered in the member table. When the child holds a newer view than this node, this node asks for it, unless
 * another child was asked just before. A child that joins with the view held here is sent only later changes. A core
 * that is not the source of views sends other cores only its stamp: they receive the views from the source, and ask for
 * what they miss.
 */
import { match } from 'ts-pattern';
import { Failure } from '../common/failure.js';
import { Stamp } from '../common/stamp.js';
import { Timer } from '../common/timer.js';
import type { Feed } from '../news/feed.js';
import { ViewCache } from '../repair/view-cache.js';
import type { Frame } from '../wire/frame.js';
import type { Link } from '../wire/link.js';
import { Protocol } from '../wire/protocol.js';
import type { Children } from './children.js';
import type { MemberTable } from './member-table.js';
import { Roster } from './roster.js';
import type { TransferQueue } from './transfer-queue.js';
import { ViewSender } from './view-sender.js';

/** A session with one child. */
export type Downlink = { readonly node: string };

/** Options of a session with a child. */
export declare namespace Downlink {
  type Options = {
    readonly feed: Feed;
    readonly members: MemberTable;
    /** The addresses of other possible parents, which the child keeps. */
    readonly peers: (child: Frame.Entry) => readonly string[];
    /** The addresses of relays that the child should join instead; empty when it should stay. */
    readonly relays: (child: Frame.Entry) => readonly string[];
    /** Whether the child passes views on to other nodes. */
    readonly isRelay: (child: Frame.Entry) => boolean;
    readonly transfers: TransferQueue;
    readonly version: string;
    /** The age of the last message from the primary, in milliseconds. */
    readonly age: () => number;
    readonly children: Children;
    readonly onTokens: (frame: Extract<Frame, { kind: 'tokens' }>) => void;
    /** Absent at nodes that are no cores. */
    readonly onHorizon?: (frame: Extract<Frame, { kind: 'horizon' }>) => void;
    readonly onCold: (frame: Extract<Frame, { kind: 'cold' }>) => void;
    readonly roster: Roster;
    /** Whether this core sends views to other cores; true when absent. */
    readonly isViewSource?: () => boolean;
    readonly onFailures?: (failed: readonly Frame.Failed[]) => void;
  };
}

/** Interval at which a child is told of relays and changed peers. */
const relayCheckIntervalMs = 1000;

/** Serves the sessions of children. */
export const Downlink = {
  /** Serves one child until its link is closed. */
  async serve(
    link: Link,
    hello: Extract<Frame, { kind: 'hello' }>,
    frames: AsyncGenerator<Frame, void, void>,
    options: Downlink.Options,
  ): Promise<void> {
    const { feed, members } = options;
    const node = hello.self.node;
    const isPeer = hello.self.program === 'control';
    const isSame = Stamp.isSame(hello.self.stamp, feed.stamp());
    const protocol = Protocol.negotiate(hello.protocol);
    const viewSender = ViewSender.of({
      link,
      feed,
      transfers: options.transfers,
      protocol,
      isFirst: () => options.isRelay(hello.self),
      isSame,
      age: options.age,
    });
    const sendPing = () => link.send({ kind: 'ping', age: options.age() });
    const sendView = () => {
      if (!isPeer || !options.isViewSource || options.isViewSource()) viewSender.send();
      else sendPing();
    };
    const compareStamps = (theirs: Stamp) => {
      if (Stamp.isNewer(theirs, feed.stamp()) && options.transfers.mayRequest(theirs))
        link.send({ kind: 'ask', digests: [] });
      viewSender.markHeld(theirs);
    };
    let lastPeers = '';
    const currentPeers = () => {
      const peers = [...options.peers(hello.self)];
      const isNew = peers.join() !== lastPeers;
      lastPeers = peers.join();
      return { peers, isNew };
    };
    const sendPeers = () => {
      const { peers, isNew } = currentPeers();
      if (isNew) link.send({ kind: 'peers', peers });
    };
    const supportsChanges = protocol >= Protocol.heartbeats;
    const sendFullRoster = () => {
      const proxies = [...options.roster.names()];
      const digest = Roster.digestOf(proxies);
      link.send({ kind: 'roster', proxies, added: [], departed: [], digest, whole: true });
    };
    const sendRosterChange = (change: Roster.Change) => {
      if (supportsChanges) link.send({ kind: 'roster', proxies: [], whole: false, ...change });
      else sendFullRoster();
    };
    const subscriptions = [
      feed.watch(sendView),
      feed.watchConfirmed(sendPing),
      isPeer ? () => {} : options.roster.watch(sendRosterChange),
    ];
    options.children.add(node, link);
    const relayTimer = Timer.every(relayCheckIntervalMs, () => {
      const relays = options.relays(hello.self);
      if (relays.length > 0) link.send({ kind: 'lower', relays: [...relays] });
      sendPeers();
    });
    try {
      members.update([hello.self], node, !isPeer);
      link.send({
        kind: 'welcome',
        self: members.self(),
        peers: currentPeers().peers,
        relays: [...options.relays(hello.self)],
        version: options.version,
        age: options.age(),
        protocol,
      });
      sendRosterChange({ added: [], departed: [], digest: Roster.digestOf(options.roster.names()) });
      if (isSame) sendPing();
      compareStamps(hello.self.stamp);
      for await (const frame of frames) {
        if (frame.kind === 'ping') {
          compareStamps(frame.stamp);
          continue;
        }
        match(frame)
          .with({ kind: 'roll' }, ({ entries, whole, departed, stamp }) => {
            compareStamps(stamp);
            if (whole) members.replace(entries, node, !isPeer);
            else members.update(entries, node, !isPeer);
            members.markDeparted(departed, node);
          })
          .with({ kind: 'heartbeat' }, (heartbeat) => {
            compareStamps(heartbeat.stamp);
            if (!members.applyHeartbeat(heartbeat, node)) link.send({ kind: 'inquire', what: 'roll' });
          })
          .with({ kind: 'inquire' }, ({ what }) => {
            if (what === 'roster') sendFullRoster();
          })
          .with({ kind: 'ask' }, ({ digests }) => viewSender.handleRequest(digests))
          .with({ kind: 'news' }, (news) => {
            feed.offer(ViewCache.decodeView(news));
          })
          .with({ kind: 'tokens' }, options.onTokens)
          .with({ kind: 'horizon' }, (message) => options.onHorizon?.(message))
          .with({ kind: 'failures' }, ({ failed }) => options.onFailures?.(failed))
          .with({ kind: 'cold' }, options.onCold)
          .otherwise(({ kind }) => {
            throw Failure.of('frame', `unexpected ${kind} from a child`, { node });
          });
      }
    } finally {
      for (const unsubscribe of subscriptions) unsubscribe();
      relayTimer.stop();
      options.children.remove(node, link);
      members.removeVia(node);
    }
  },
};
