// The roll says which nodes are members: each entry left its node some time ago (its age, counted on
// monotonic clocks along the way) and ends when nothing newer came for a while. Entries that came up
// from below are passed on upwards; entries told by mates are only kept.
import { Moment } from '../kinds/moment.js';
import type { Frame } from '../wire/frame.js';

export type Roll = {
  readonly self: () => Frame.Entry;
  readonly note: (entries: readonly Frame.Entry[], via: string, isBelow: boolean) => void;
  readonly forget: (via: string) => void;
  readonly below: () => readonly Frame.Entry[];
  readonly all: () => readonly Frame.Entry[];
  readonly quietFor: () => number;
  readonly watch: (see: () => void) => () => void;
};

type Held = { readonly entry: Frame.Entry; readonly left: Moment; readonly isBelow: boolean };

const staleAfter = 4000;

export const Roll = {
  staleAfter,
  of(describe: () => Omit<Frame.Entry, 'counter' | 'age' | 'via'>): Roll {
    const held = new Map<string, Held>();
    const watchers = new Set<() => void>();
    let counter = 0;
    let joinedAt = Moment.past;
    const self = (): Frame.Entry => ({ ...describe(), counter: ++counter, age: 0, via: '' });
    const expire = () => {
      for (const [node, one] of held) if (Moment.since(one.left) > staleAfter) held.delete(node);
    };
    const list = (choose: (one: Held) => boolean): Frame.Entry[] => {
      expire();
      return [...held.values()].filter(choose).map((one) => ({ ...one.entry, age: Moment.since(one.left) }));
    };
    return {
      self,
      note(entries, via, isBelow) {
        let isChanged = false;
        for (const entry of entries) {
          if (entry.node === describe().node) continue;
          const known = held.get(entry.node);
          const left = Moment.after(-entry.age);
          const isNewer =
            known === undefined ||
            (known.entry.boot === entry.boot ? entry.counter > known.entry.counter : left > known.left);
          if (!isNewer) continue;
          if (known?.entry.boot !== entry.boot) joinedAt = Moment.now();
          isChanged ||=
            known?.entry.stamp.revision !== entry.stamp.revision ||
            known.entry.stamp.epoch !== entry.stamp.epoch ||
            known.entry.ready !== entry.ready;
          held.set(entry.node, { entry: { ...entry, via }, left, isBelow });
        }
        if (isChanged) for (const see of [...watchers]) see();
      },
      forget(via) {
        for (const [node, one] of held) if (one.isBelow && one.entry.via === via) held.delete(node);
      },
      below: () => list((one) => one.isBelow),
      all: () => [self(), ...list(() => true)],
      quietFor: () => Moment.since(joinedAt),
      watch(see) {
        watchers.add(see);
        return () => void watchers.delete(see);
      },
    };
  },
};
