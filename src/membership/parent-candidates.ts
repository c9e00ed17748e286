/**
 * The addresses at which a node looks for a parent: relays that a control node named, then the seeds and the peers
 * learned since. Candidates that failed longest ago come first, and control nodes before the agents of other nodes. One
 * agent is always among the candidates that are tried, so that a node that is cut off from every control node reaches
 * the tree through a peer. After moving to a relay the node ignores further relays for a while, so that it stays with
 * control nodes when the relay turned out to be unusable. The zones of the control nodes that it was connected to are
 * kept, so that a node with a distant parent can move back to a near one.
 */
import { Address } from '../common/address.js';
import { Instant } from '../common/instant.js';

/** The candidates of one node. */
export type ParentCandidates = {
  /** The addresses to try next, in order. */
  readonly next: () => readonly string[];
  /** Records that a connection to this address failed or ended. */
  readonly markFailed: (address: string) => void;
  /** Adds addresses named by a parent; the oldest learned ones are discarded beyond the limit. */
  readonly addPeers: (peers: readonly string[]) => void;
  /** Puts relays first; false when there is none, this node is one itself, or it was moved to a relay recently. */
  readonly preferRelays: (relays: readonly string[], own: string) => boolean;
  readonly all: () => readonly string[];
  /** Records the zone of the control node at this address. */
  readonly recordZone: (address: string, zone: string) => void;
  /** Puts the known nearer control nodes first; false when there is none or the current parent is near. */
  readonly preferNearer: (address: string, isNear: (zone: string) => boolean) => boolean;
};

/** Most addresses that are kept, seeds included. */
const maxCandidates = 24;
/** Number of addresses that are tried at a time. */
const maxParallelDials = 3;
/** Time after a move to a relay in which further relays are ignored. */
const relayCooldownMs = 5000;

const hash = (text: string): number =>
  [...text].reduce((sum, letter) => (sum * 31 + letter.charCodeAt(0)) >>> 0, 7);

/** Creates candidates. */
export const ParentCandidates = {
  /** A number from a node name, which spreads nodes over seeds and relays. */
  hash,
  /** `isFixed` keeps the candidates to the seeds. */
  of(seeds: readonly string[], node: string, isFixed: boolean): ParentCandidates {
    const firstSeed = hash(node) % Math.max(1, seeds.length);
    const candidates = [...seeds.slice(firstSeed), ...seeds.slice(0, firstSeed)];
    const failedAt = new Map<string, Instant>();
    const zones = new Map<string, string>();
    let preferred: string[] = [];
    let relayCooldownUntil = Instant.past;
    const failureTime = (address: string): number => failedAt.get(address) ?? Instant.past;
    return {
      all: () => candidates,
      recordZone: (address, zone) => void zones.set(address, zone),
      preferNearer(address, isNear) {
        const zoneOfParent = zones.get(address);
        if (zoneOfParent !== undefined && isNear(zoneOfParent)) return false;
        const near = [...zones]
          .filter(([other, zone]) => other !== address && isNear(zone))
          .map(([other]) => other);
        preferred = near.length > 0 ? near.sort((a, b) => failureTime(a) - failureTime(b)) : preferred;
        return near.length > 0;
      },
      markFailed: (address) => void failedAt.set(address, Instant.now()),
      next() {
        const order = [...candidates].sort(
          (a, b) => failureTime(a) - failureTime(b) || candidates.indexOf(a) - candidates.indexOf(b),
        );
        const seed = order.find((address) => seeds.includes(address));
        const peer = order.find((address) => !seeds.includes(address));
        const list = [...preferred.splice(0, 1), seed, ...order.filter((address) => address !== seed), peer];
        const distinct = [...new Set(list)].filter((address) => address !== undefined);
        const selected = distinct.slice(0, maxParallelDials);
        return peer === undefined || selected.includes(peer) ? selected : [...selected.slice(0, -1), peer];
      },
      addPeers(peers) {
        if (isFixed) return;
        for (const peer of new Set(peers)) {
          if (!Address.parse(peer) || seeds.includes(peer)) continue;
          if (candidates.includes(peer)) candidates.splice(candidates.indexOf(peer), 1);
          candidates.push(peer);
        }
        while (candidates.length > maxCandidates) candidates.splice(seeds.length, 1);
      },
      preferRelays(relays, own) {
        const usable = relays.filter((relay) => Address.parse(relay) !== undefined);
        if (usable.length === 0 || usable.includes(own) || !Instant.isPast(relayCooldownUntil)) return false;
        const start = hash(node) % usable.length;
        preferred = [...usable.slice(start), ...usable.slice(0, start)];
        relayCooldownUntil = Instant.after(relayCooldownMs);
        return true;
      },
    };
  },
};
