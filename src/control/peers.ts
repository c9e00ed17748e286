/**
 * The connections to the other cores: for each address a client for requests and an uplink for news and the roll.
 * Addresses come from the seeds, from the newest term, and from the peers themselves, since a seed may know a core
 * that is not a seed.
 */

import { Address } from '../common/address.js';
import type { MemberTable } from '../membership/member-table.js';
import { Uplink } from '../membership/uplink.js';
import type { Feed } from '../news/feed.js';
import { Version } from '../startup/version.js';
import type { Frame } from '../wire/frame.js';
import { PeerClient } from '../wire/peer-client.js';

/** The connections of a core to the other cores. */
export type Peers = {
  /** Connects to these addresses, the seeds and those that peers named; closes all other connections. */
  readonly connectTo: (addresses: readonly string[]) => void;
  /** The clients of all connections. */
  readonly clients: () => readonly PeerClient[];
  /** The client of one address. */
  readonly clientAt: (address: string) => PeerClient | undefined;
  /** Sends a frame over the uplink to a node; false if there is none. */
  readonly sendUp: (node: string, body: Frame.Body) => boolean;
  /** Closes all connections. */
  readonly stop: () => Promise<void>;
};

/** Creates the connections of a core. */
export const Peers = {
  of(options: {
    readonly seeds: readonly string[];
    readonly ownAddress: () => string;
    readonly feed: Feed;
    readonly age: () => number;
    readonly roll: MemberTable;
    readonly onTokens: (frame: Extract<Frame, { kind: 'tokens' }>) => void;
    readonly onLoads: (loads: readonly Frame.Load[]) => void;
    readonly onLeaving: (instances: readonly string[]) => void;
    readonly onFailures: (failed: readonly Frame.Failed[]) => void;
    readonly onCold: (frame: Extract<Frame, { kind: 'cold' }>) => void;
    readonly onConnect: () => void;
    readonly note: (text: string, facts?: Record<string, unknown>) => void;
  }): Peers {
    const { feed, roll } = options;
    const connections = new Map<string, { client: PeerClient; uplink: Uplink }>();
    const learnedAddresses = new Map<string, readonly string[]>();
    const hello = () => ({ kind: 'hello', self: roll.self(), version: Version, aim: 'core' }) as const;
    const close = async ({ client, uplink }: { client: PeerClient; uplink: Uplink }) => {
      uplink.stop();
      await Promise.all([client.stop(), uplink.done]);
    };
    return {
      sendUp: (node, body) =>
        [...connections.values()].some(({ uplink }) => uplink.parent() === node && uplink.send(body)),
      clientAt: (address) => connections.get(address)?.client,
      clients: () => [...connections.values()].map(({ client }) => client),
      connectTo(addresses) {
        const known = [...options.seeds, ...addresses, ...[...learnedAddresses.values()].flat()];
        const wanted = new Set(
          known.filter((address) => address !== options.ownAddress() && Address.parse(address)),
        );
        for (const [address, peer] of connections)
          if (!wanted.has(address)) {
            connections.delete(address);
            learnedAddresses.delete(address);
            void close(peer);
          }
        for (const address of wanted)
          if (!connections.has(address))
            connections.set(address, {
              client: PeerClient.start({
                address,
                stamp: feed.stamp,
                age: options.age,
                hello,
                onConnect: options.onConnect,
              }),
              uplink: Uplink.run({
                feed,
                members: roll,
                seeds: [address],
                version: Version,
                hasFixedCandidates: true,
                reportsMembers: true,
                onPeers: (peers) => void learnedAddresses.set(address, peers),
                onTokens: options.onTokens,
                onLoads: options.onLoads,
                onLeaving: options.onLeaving,
                onFailures: options.onFailures,
                onCold: options.onCold,
                note: options.note,
              }),
            });
      },
      async stop() {
        await Promise.all([...connections.values()].map(close));
        connections.clear();
      },
    };
  },
};
