// Which agents relay news in a zone: the first two by name of those live there. The others are told to
// go to them, so that news crosses between regions twice a zone however many machines stand in it.
import type { Frame } from '../wire/frame.js';

export type Relays = readonly string[];

const perZone = 2;

export const Relays = {
  of(child: Frame.Entry, roll: readonly Frame.Entry[]): Relays {
    if (child.program !== 'agent') return [];
    const agents = roll
      .filter((entry) => entry.program === 'agent' && entry.zone === child.zone && entry.ready)
      .sort((a, b) => (a.node < b.node ? -1 : 1));
    const relays = agents.slice(0, perZone);
    if (relays.some((entry) => entry.node === child.node)) return [];
    return relays.filter((entry) => entry.depth <= 1).map((entry) => entry.wire);
  },
};
