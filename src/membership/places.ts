// Where a node looks for a parent: relays that a control node named, then seeds and mates in turn. After
// a relay was no good the node stays with control nodes for a while, whatever they name.
import { Address } from '../kinds/address.js';
import { Moment } from '../kinds/moment.js';

export type Places = {
  readonly next: () => string;
  readonly learn: (mates: readonly string[]) => void;
  readonly lower: (relays: readonly string[], own: string) => boolean;
  readonly count: () => number;
};

const most = 16;
const stayFor = 5000;

const hash = (text: string): number =>
  [...text].reduce((sum, letter) => (sum * 31 + letter.charCodeAt(0)) >>> 0, 7);

export const Places = {
  of(seeds: readonly string[], node: string, isFixed: boolean): Places {
    const places = [...seeds];
    let turn = hash(node) % Math.max(1, places.length);
    let preferred: string[] = [];
    let stayUntil = 0 as Moment;
    return {
      count: () => places.length,
      next() {
        const relay = preferred.shift();
        if (relay !== undefined) return relay;
        const place = places[turn % places.length] ?? '';
        turn = (turn + 1) % places.length;
        return place;
      },
      learn(mates) {
        if (isFixed) return;
        for (const mate of mates) if (Address.parse(mate) && !places.includes(mate)) places.push(mate);
        while (places.length > most) places.splice(seeds.length, 1);
      },
      lower(relays, own) {
        const others = relays.filter((relay) => Address.parse(relay) !== undefined);
        if (others.length === 0 || others.includes(own) || !Moment.isPast(stayUntil)) return false;
        const first = hash(node) % others.length;
        preferred = [...others.slice(first), ...others.slice(0, first)];
        stayUntil = Moment.after(stayFor);
        return true;
      },
    };
  },
};
