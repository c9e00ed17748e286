// The other cores this one keeps in touch with: for each address a courier for requests and an uplink
// for news and the roll. Addresses come from the seeds, from the newest term, and from the peers themselves:
// a seed may know a core that is no seed.
import { Address } from '../common/address.js';
import type { Roll } from '../membership/roll.js';
import { Uplink } from '../membership/uplink.js';
import type { Feed } from '../news/feed.js';
import { Version } from '../startup/version.js';
import type { Frame } from '../wire/frame.js';
import { PeerClient } from '../wire/peer-client.js';

export type Peers = {
  readonly connectTo: (places: readonly string[]) => void;
  readonly clients: () => readonly PeerClient[];
  readonly clientAt: (place: string) => PeerClient | undefined;
  readonly sendUp: (node: string, body: Frame.Body) => boolean;
  readonly stop: () => Promise<void>;
};

export const Peers = {
  of(needs: {
    readonly seeds: readonly string[];
    readonly ownAddress: () => string;
    readonly feed: Feed;
    readonly age: () => number;
    readonly roll: Roll;
    readonly onTokens: (frame: Extract<Frame, { kind: 'tokens' }>) => void;
    readonly onLoads: (loads: readonly Frame.Load[]) => void;
    readonly onLeaving: (instances: readonly string[]) => void;
    readonly onFailures: (failed: readonly Frame.Failed[]) => void;
    readonly onCold: (frame: Extract<Frame, { kind: 'cold' }>) => void;
    readonly onConnect: () => void;
    readonly note: (text: string, facts?: Record<string, unknown>) => void;
  }): Peers {
    const { feed, roll } = needs;
    const held = new Map<string, { courier: PeerClient; uplink: Uplink }>();
    const heard = new Map<string, readonly string[]>();
    const hello = () => ({ kind: 'hello', self: roll.self(), version: Version, aim: 'core' }) as const;
    const end = async ({ courier, uplink }: { courier: PeerClient; uplink: Uplink }) => {
      uplink.stop();
      await Promise.all([courier.stop(), uplink.done]);
    };
    return {
      sendUp: (node, body) =>
        [...held.values()].some(({ uplink }) => uplink.parent() === node && uplink.send(body)),
      clientAt: (place) => held.get(place)?.courier,
      clients: () => [...held.values()].map(({ courier }) => courier),
      connectTo(places) {
        const known = [...needs.seeds, ...places, ...[...heard.values()].flat()];
        const wanted = new Set(known.filter((place) => place !== needs.ownAddress() && Address.parse(place)));
        for (const [place, peer] of held)
          if (!wanted.has(place)) {
            held.delete(place);
            heard.delete(place);
            void end(peer);
          }
        for (const place of wanted)
          if (!held.has(place))
            held.set(place, {
              courier: PeerClient.start({
                address: place,
                stamp: feed.stamp,
                age: needs.age,
                hello,
                onConnect: needs.onConnect,
              }),
              uplink: Uplink.run({
                feed,
                roll,
                seeds: [place],
                version: Version,
                isFixed: true,
                isUpward: true,
                onPeers: (peers) => void heard.set(place, peers),
                onTokens: needs.onTokens,
                onLoads: needs.onLoads,
                onLeaving: needs.onLeaving,
                onFailures: needs.onFailures,
                onCold: needs.onCold,
                note: needs.note,
              }),
            });
      },
      async stop() {
        await Promise.all([...held.values()].map(end));
        held.clear();
      },
    };
  },
};
