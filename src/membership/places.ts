// Where a node looks for a parent: relays that a control node named, then seeds and the peers learned since.
// Those that failed longest ago go first, control nodes before other nodes' agents, but an agent is always
// among those tried, so that a node cut off from every control node finds its way through a peer. After a
// relay was no good the node stays with control nodes for a while, whatever they name.
import { Address } from '../kinds/address.js';
import { Moment } from '../kinds/moment.js';

export type Places = {
  readonly next: () => readonly string[];
  readonly failed: (place: string) => void;
  readonly learn: (peers: readonly string[]) => void;
  readonly lower: (relays: readonly string[], own: string) => boolean;
  readonly all: () => readonly string[];
};

const most = 24;
const atOnce = 3;
const stayFor = 5000;

const hash = (text: string): number =>
  [...text].reduce((sum, letter) => (sum * 31 + letter.charCodeAt(0)) >>> 0, 7);

export const Places = {
  hash,
  of(seeds: readonly string[], node: string, isFixed: boolean): Places {
    const first = hash(node) % Math.max(1, seeds.length);
    const places = [...seeds.slice(first), ...seeds.slice(0, first)];
    const failedAt = new Map<string, Moment>();
    let preferred: string[] = [];
    let stayUntil = Moment.past;
    const since = (place: string): number => failedAt.get(place) ?? Moment.past;
    return {
      all: () => places,
      failed: (place) => void failedAt.set(place, Moment.now()),
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
      learn(peers) {
        if (isFixed) return;
        for (const peer of new Set(peers)) {
          if (!Address.parse(peer) || seeds.includes(peer)) continue;
          if (places.includes(peer)) places.splice(places.indexOf(peer), 1);
          places.push(peer);
        }
        while (places.length > most) places.splice(seeds.length, 1);
      },
      lower(relays, own) {
        const others = relays.filter((relay) => Address.parse(relay) !== undefined);
        if (others.length === 0 || others.includes(own) || !Moment.isPast(stayUntil)) return false;
        const start = hash(node) % others.length;
        preferred = [...others.slice(start), ...others.slice(0, start)];
        stayUntil = Moment.after(stayFor);
        return true;
      },
    };
  },
};
