// What must never happen, judged by an observer of all machines: on each acknowledgement, on each answer that a
// majority confirms, and in each state.
import { Stamp } from '../../src/common/stamp.js';
import type { Bounds } from './bounds.js';
import type { Content } from './tables.js';
import type { World } from './world.js';

const missing = (all: string, history: string): string =>
  [...all].filter((change) => !history.includes(change)).join(' ');

/** The world after an acknowledgement, and what it broke. */
export type Seen = { readonly world: World; readonly breach?: string };

export const Invariants = {
  /** The observer hears an acknowledgement. */
  acknowledged(world: World, next: Content, bounds: Bounds): Seen {
    const isNewest = Stamp.isNewer(next.stamp, world.newest.stamp);
    const all = [...new Set([...world.acknowledged, ...next.history])].sort().join('');
    const after = { ...world, acknowledged: all, newest: isNewest ? next : world.newest };
    const lost = missing(world.acknowledged, next.history);
    if (!bounds.isChain && all.length > 1)
      return { world: after, breach: 'two contents were acknowledged for one base' };
    if (isNewest && lost !== '')
      return { world: after, breach: `change ${lost} was acknowledged and is lost` };
    if (!isNewest && missing(next.history, world.newest.history) !== '')
      return { world: after, breach: 'two primaries acknowledged, and the newer one does not hold it' };
    return { world: after };
  },
  /** Whether a primary's answer would be out of date: what it lacks, or that a majority has left it. */
  outOfDate(world: World, index: number): string | undefined {
    const { leader, disk } = world.machines[index]!;
    if (!leader) return undefined;
    const lacking = missing(world.acknowledged, leader.acknowledged.history);
    if (lacking !== '') return `lacks the acknowledged change ${lacking}`;
    const { chosen } = world;
    const isLater =
      chosen.value.formed > leader.term.value.formed ||
      (chosen.value.formed === leader.term.value.formed && chosen.epoch > leader.term.epoch);
    return isLater && chosen.primary !== disk ? 'a majority has left it behind' : undefined;
  },
  /**
   * Each acknowledged change lies on more disks than may be lost, those that were lost counted; and no two disks
   * hold different states of one stamp.
   */
  broken(world: World, bounds: Bounds): string | undefined {
    for (const { held } of world.machines)
      for (const { held: other } of world.machines)
        if (other !== held && Stamp.isSame(held.stamp, other.stamp))
          return `two disks hold different states of the stamp ${Stamp.text(held.stamp)}`;
    for (const change of world.acknowledged) {
      let count = world.wiped;
      for (const { held } of world.machines) if (held.history.includes(change)) count += 1;
      if (count <= bounds.losses) return `change ${change} was acknowledged and lies on ${count} disks alone`;
    }
    return undefined;
  },
};
