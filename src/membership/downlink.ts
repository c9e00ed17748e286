// The upper end of a session: one task per child. The child says who it is, gets the peers and the
// newest view, and from then on every newer one, and the peers again when they are others; what the child
// tells of the nodes below it goes on the roll. When the child holds a newer view than we do, we ask for it. A
// child that came with the view that is held here is sent only what changes of it.
import { match } from 'ts-pattern';
import { Failure } from '../kinds/failure.js';
import { Stamp } from '../kinds/stamp.js';
import { Timer } from '../kinds/timer.js';
import { View } from '../manifest/view.js';
import type { Feed } from '../news/feed.js';
import { Copies } from '../repair/copies.js';
import { Ranges } from '../repair/ranges.js';
import type { Frame } from '../wire/frame.js';
import type { Link } from '../wire/link.js';
import type { Children } from './children.js';
import type { Roll } from './roll.js';

export type Downlink = { readonly node: string };

export declare namespace Downlink {
  type Needs = {
    readonly feed: Feed;
    readonly roll: Roll;
    readonly peers: (child: Frame.Entry) => readonly string[];
    readonly relays: (child: Frame.Entry) => readonly string[];
    readonly version: string;
    readonly age: () => number;
    readonly children: Children;
    readonly onTokens: (frame: Extract<Frame, { kind: 'tokens' }>) => void;
    readonly onCold: (frame: Extract<Frame, { kind: 'cold' }>) => void;
    readonly roster: () => readonly string[];
  };
}

const lookEvery = 1000;

export const Downlink = {
  async serve(
    link: Link,
    hello: Extract<Frame, { kind: 'hello' }>,
    frames: AsyncGenerator<Frame, void, void>,
    needs: Downlink.Needs,
  ): Promise<void> {
    const { feed, roll } = needs;
    const node = hello.self.node;
    const isPeer = hello.self.program === 'control';
    const isSame = Stamp.isSame(hello.self.stamp, feed.stamp());
    let held = new Set<string>(isSame ? Ranges.digests(Copies.of(feed.view())) : []);
    const sendNews = () => {
      const ranges = Copies.of(feed.view());
      const patch = Ranges.patch(ranges, held);
      const isWorthIt = patch.ranges.some(({ body }) => body === '');
      if (isWorthIt) link.send({ kind: 'patch', ...patch });
      else link.send({ kind: 'news', view: Copies.bytes(feed.view()) });
      held = new Set(Ranges.digests(ranges));
      link.send({ kind: 'ping', age: needs.age() });
    };
    const compare = (theirs: Stamp) => {
      if (Stamp.isNewer(theirs, feed.stamp())) link.send({ kind: 'ask', digests: [] });
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
    const unwatch = feed.watch(sendNews);
    needs.children.add(node, link);
    const looks = Timer.every(lookEvery, () => {
      const relays = needs.relays(hello.self);
      if (relays.length > 0) link.send({ kind: 'lower', relays: [...relays] });
      tellPeers();
    });
    try {
      roll.note([hello.self], node, !isPeer);
      link.send({
        kind: 'welcome',
        self: roll.self(),
        peers: peersNow().peers,
        relays: [...needs.relays(hello.self)],
        version: needs.version,
        age: needs.age(),
      });
      link.send({ kind: 'roster', proxies: [...needs.roster()] });
      compare(hello.self.stamp);
      for await (const frame of frames)
        match(frame)
          .with({ kind: 'roll' }, ({ entries }) => {
            roll.note(entries, node, !isPeer);
          })
          .with({ kind: 'ask' }, ({ digests }) => {
            held = new Set(digests);
            sendNews();
          })
          .with({ kind: 'news' }, ({ view }) => {
            feed.offer(View.decode(view));
          })
          .with({ kind: 'ping' }, ({ stamp }) => compare(stamp))
          .with({ kind: 'tokens' }, needs.onTokens)
          .with({ kind: 'cold' }, needs.onCold)
          .otherwise(({ kind }) => {
            throw Failure.of('frame', `unexpected ${kind} from a child`, { node });
          });
    } finally {
      unwatch();
      looks.stop();
      needs.children.remove(node, link);
      roll.forget(node);
    }
  },
};
