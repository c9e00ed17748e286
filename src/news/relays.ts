/**
 * Chooses the agents that relay views in a zone: the first two by name of those that are ready there. Once these hold a
 * view the other agents are told to join them, so that views cross between regions twice per zone, independent of the
 * number of machines in it.
 */
import { Stamp } from '../common/stamp.js';
import type { Frame } from '../wire/frame.js';

/** The wire addresses of relays. */
export type Relays = readonly string[];

const relaysPerZone = 2;

const relaysIn = (zone: string, members: readonly Frame.Entry[]): readonly Frame.Entry[] =>
  members
    .filter((entry) => entry.program === 'agent' && entry.zone === zone && entry.ready)
    .sort((a, b) => (a.node < b.node ? -1 : 1))
    .slice(0, relaysPerZone);
const includes = (relays: readonly Frame.Entry[], child: Frame.Entry): boolean =>
  relays.some((entry) => entry.node === child.node);

/** Chooses the relays of a zone from the members. */
export const Relays = {
  /** Whether this child is a relay of its zone. */
  isRelay: (child: Frame.Entry, members: readonly Frame.Entry[]): boolean =>
    child.program === 'agent' && includes(relaysIn(child.zone, members), child),
  /** The relays that this child should join; empty for relays and for other programs than agents. */
  of(child: Frame.Entry, members: readonly Frame.Entry[]): Relays {
    if (child.program !== 'agent') return [];
    const relays = relaysIn(child.zone, members);
    if (includes(relays, child)) return [];
    return relays
      .filter((entry) => entry.depth <= 1 && !Stamp.isSame(entry.stamp, Stamp.none))
      .map((entry) => entry.wire);
  },
};
