// The upper end of a session: one task per child. The child says who it is, gets the peers and the
// newest view, and from then on every newer one, and the peers again when they are others; what the child
// tells of the nodes below it goes on the roll. When the child holds a newer view than we do, we ask for it, if no
// other child was just asked. A child that came with the view that is held here is sent only what changes of it. A core
// that is not the source of the news tells other cores only that it has them: they hear them there, and ask for the rest.
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

export type Downlink = { readonly node: string };

export declare namespace Downlink {
  type Options = {
    readonly feed: Feed;
    readonly members: MemberTable;
    readonly peers: (child: Frame.Entry) => readonly string[];
    readonly relays: (child: Frame.Entry) => readonly string[];
    readonly isRelay: (child: Frame.Entry) => boolean;
    readonly transfers: TransferQueue;
    readonly version: string;
    readonly age: () => number;
    readonly children: Children;
    readonly onTokens: (frame: Extract<Frame, { kind: 'tokens' }>) => void;
    readonly onCold: (frame: Extract<Frame, { kind: 'cold' }>) => void;
    readonly roster: Roster;
    readonly isViewSource?: () => boolean;
    readonly onFailures?: (failed: readonly Frame.Failed[]) => void;
  };
}

const lookEvery = 1000;

export const Downlink = {
  async serve(
    link: Link,
    hello: Extract<Frame, { kind: 'hello' }>,
    frames: AsyncGenerator<Frame, void, void>,
    needs: Downlink.Options,
  ): Promise<void> {
    const { feed, members: roll } = needs;
    const node = hello.self.node;
    const isPeer = hello.self.program === 'control';
    const isSame = Stamp.isSame(hello.self.stamp, feed.stamp());
    const protocol = Protocol.negotiate(hello.protocol);
    const dispatch = ViewSender.of({
      link,
      feed,
      transfers: needs.transfers,
      protocol,
      isFirst: () => needs.isRelay(hello.self),
      isSame,
      age: needs.age,
    });
    const sendWord = () => link.send({ kind: 'ping', age: needs.age() });
    const passOn = () => {
      if (!isPeer || !needs.isViewSource || needs.isViewSource()) dispatch.send();
      else sendWord();
    };
    const compare = (theirs: Stamp) => {
      if (Stamp.isNewer(theirs, feed.stamp()) && needs.transfers.mayRequest(theirs))
        link.send({ kind: 'ask', digests: [] });
      dispatch.markHeld(theirs);
    };
    let told = '';
    const peersNow = () => {
      const peers = [...needs.peers(hello.self)];
      const isNew = peers.join() !== told;
      told = peers.join();
      return { peers, isNew };
    };
    const tellPeers = () => {
      const { peers, isNew } = peersNow();
      if (isNew) link.send({ kind: 'peers', peers });
    };
    const knowsChanges = protocol >= Protocol.heartbeats;
    const rosterWhole = () => {
      const proxies = [...needs.roster.names()];
      const digest = Roster.digestOf(proxies);
      link.send({ kind: 'roster', proxies, added: [], departed: [], digest, whole: true });
    };
    const rosterChanged = (change: Roster.Change) => {
      if (knowsChanges) link.send({ kind: 'roster', proxies: [], whole: false, ...change });
      else rosterWhole();
    };
    const unwatch = [
      feed.watch(passOn),
      feed.watchConfirmed(sendWord),
      isPeer ? () => {} : needs.roster.watch(rosterChanged),
    ];
    needs.children.add(node, link);
    const looks = Timer.every(lookEvery, () => {
      const relays = needs.relays(hello.self);
      if (relays.length > 0) link.send({ kind: 'lower', relays: [...relays] });
      tellPeers();
    });
    try {
      roll.update([hello.self], node, !isPeer);
      link.send({
        kind: 'welcome',
        self: roll.self(),
        peers: peersNow().peers,
        relays: [...needs.relays(hello.self)],
        version: needs.version,
        age: needs.age(),
        protocol,
      });
      rosterChanged({ added: [], departed: [], digest: Roster.digestOf(needs.roster.names()) });
      if (isSame) sendWord();
      compare(hello.self.stamp);
      for await (const frame of frames) {
        if (frame.kind === 'ping') {
          compare(frame.stamp);
          continue;
        }
        match(frame)
          .with({ kind: 'roll' }, ({ entries, whole, departed, stamp }) => {
            compare(stamp);
            if (whole) roll.replace(entries, node, !isPeer);
            else roll.update(entries, node, !isPeer);
            roll.markDeparted(departed, node);
          })
          .with({ kind: 'heartbeat' }, (heartbeat) => {
            compare(heartbeat.stamp);
            if (!roll.applyHeartbeat(heartbeat, node)) link.send({ kind: 'inquire', what: 'roll' });
          })
          .with({ kind: 'inquire' }, ({ what }) => {
            if (what === 'roster') rosterWhole();
          })
          .with({ kind: 'ask' }, ({ digests }) => dispatch.handleRequest(digests))
          .with({ kind: 'news' }, (news) => {
            feed.offer(ViewCache.decodeView(news));
          })
          .with({ kind: 'tokens' }, needs.onTokens)
          .with({ kind: 'failures' }, ({ failed }) => needs.onFailures?.(failed))
          .with({ kind: 'cold' }, needs.onCold)
          .otherwise(({ kind }) => {
            throw Failure.of('frame', `unexpected ${kind} from a child`, { node });
          });
      }
    } finally {
      for (const end of unwatch) end();
      looks.stop();
      needs.children.remove(node, link);
      roll.removeVia(node);
    }
  },
};
