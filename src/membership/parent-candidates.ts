// Where a node looks for a parent: relays that a control node named, then seeds and the peers learned since.
// Those that failed longest ago go first, control nodes before other nodes' agents, but an agent is always
// among those tried, so that a node cut off from every control node finds its way through a peer. After a
// relay was no good the node stays with control nodes for a while, whatever they name. It remembers where the
// control nodes it met stand, so that a node which ended up with a far one may go back to a near one.
import { Address } from '../common/address.js';
import { Instant } from '../common/instant.js';

export type ParentCandidates = {
  readonly next: () => readonly string[];
  readonly markFailed: (place: string) => void;
  readonly addPeers: (peers: readonly string[]) => void;
  readonly preferRelays: (relays: readonly string[], own: string) => boolean;
  readonly all: () => readonly string[];
  readonly recordZone: (place: string, zone: string) => void;
  readonly preferNearer: (place: string, isNear: (zone: string) => boolean) => boolean;
};

const most = 24;
const atOnce = 3;
const stayFor = 5000;

const hash = (text: string): number =>
  [...text].reduce((sum, letter) => (sum * 31 + letter.charCodeAt(0)) >>> 0, 7);

export const ParentCandidates = {
  hash,
  of(seeds: readonly string[], node: string, isFixed: boolean): ParentCandidates {
    const first = hash(node) % Math.max(1, seeds.length);
    const places = [...seeds.slice(first), ...seeds.slice(0, first)];
    const failedAt = new Map<string, Instant>();
    const zones = new Map<string, string>();
    let preferred: string[] = [];
    let stayUntil = Instant.past;
    const since = (place: string): number => failedAt.get(place) ?? Instant.past;
    return {
      all: () => places,
      recordZone: (place, zone) => void zones.set(place, zone),
      preferNearer(place, isNear) {
        const here = zones.get(place);
        if (here !== undefined && isNear(here)) return false;
        const near = [...zones].filter(([one, zone]) => one !== place && isNear(zone)).map(([one]) => one);
        preferred = near.length > 0 ? near.sort((a, b) => since(a) - since(b)) : preferred;
        return near.length > 0;
      },
      markFailed: (place) => void failedAt.set(place, Instant.now()),
      next() {
        const order = [...places].sort(
          (a, b) => since(a) - since(b) || places.indexOf(a) - places.indexOf(b),
        );
        const core = order.find((place) => seeds.includes(place));
        const other = order.find((place) => !seeds.includes(place));
        const list = [...preferred.splice(0, 1), core, ...order.filter((place) => place !== core), other];
        const named = [...new Set(list)].filter((place) => place !== undefined);
        const chosen = named.slice(0, atOnce);
        return other === undefined || chosen.includes(other) ? chosen : [...chosen.slice(0, -1), other];
      },
      addPeers(peers) {
        if (isFixed) return;
        for (const peer of new Set(peers)) {
          if (!Address.parse(peer) || seeds.includes(peer)) continue;
          if (places.includes(peer)) places.splice(places.indexOf(peer), 1);
          places.push(peer);
        }
        while (places.length > most) places.splice(seeds.length, 1);
      },
      preferRelays(relays, own) {
        const others = relays.filter((relay) => Address.parse(relay) !== undefined);
        if (others.length === 0 || others.includes(own) || !Instant.isPast(stayUntil)) return false;
        const start = hash(node) % others.length;
        preferred = [...others.slice(start), ...others.slice(0, start)];
        stayUntil = Instant.after(stayFor);
        return true;
      },
    };
  },
};
