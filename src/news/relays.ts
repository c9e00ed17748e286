// Which agents relay news in a zone: the first two by name of those live there. The others are told to
// go to them once they hold a view, so that news crosses between regions twice a zone however many machines stand
// in it.
import { Stamp } from '../common/stamp.js';
import type { Frame } from '../wire/frame.js';

export type Relays = readonly string[];

const perZone = 2;

const relaysOf = (zone: string, roll: readonly Frame.Entry[]): readonly Frame.Entry[] =>
  roll
    .filter((entry) => entry.program === 'agent' && entry.zone === zone && entry.ready)
    .sort((a, b) => (a.node < b.node ? -1 : 1))
    .slice(0, perZone);
const isAmong = (relays: readonly Frame.Entry[], child: Frame.Entry): boolean =>
  relays.some((entry) => entry.node === child.node);

export const Relays = {
  isRelay: (child: Frame.Entry, roll: readonly Frame.Entry[]): boolean =>
    child.program === 'agent' && isAmong(relaysOf(child.zone, roll), child),
  of(child: Frame.Entry, roll: readonly Frame.Entry[]): Relays {
    if (child.program !== 'agent') return [];
    const relays = relaysOf(child.zone, roll);
    if (isAmong(relays, child)) return [];
    return relays
      .filter((entry) => entry.depth <= 1 && !Stamp.isSame(entry.stamp, Stamp.none))
      .map((entry) => entry.wire);
  },
};
