// The roll says which nodes are members: each entry left its node some time ago (its age, counted on
// monotonic clocks along the way) and ends when nothing newer came for a while. Entries that came up
// from below are passed on upwards; entries told by peers are only kept. Who watches is told which entries from
// below changed, so that only those need to be passed on at once.
import { Moment } from '../kinds/moment.js';
import type { Frame } from '../wire/frame.js';

export type Roll = {
  readonly self: () => Frame.Entry;
  readonly note: (entries: readonly Frame.Entry[], via: string, isBelow: boolean) => void;
  readonly forget: (via: string) => void;
  readonly below: () => readonly Frame.Entry[];
  readonly all: () => readonly Frame.Entry[];
  readonly get: (node: string) => Frame.Entry | undefined;
  readonly quietFor: () => number;
  readonly watch: (see: (changed: readonly string[]) => void) => () => void;
};

type Held = { readonly entry: Frame.Entry; readonly left: Moment; readonly isBelow: boolean };

const staleAfter = 4000;

export const Roll = {
  staleAfter,
  of(describe: () => Omit<Frame.Entry, 'counter' | 'age' | 'via'>): Roll {
    const held = new Map<string, Held>();
    const watchers = new Set<(changed: readonly string[]) => void>();
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
        const changed: string[] = [];
        const own = describe().node;
        for (const entry of entries) {
          if (entry.node === own) continue;
          const known = held.get(entry.node);
          const left = Moment.after(-entry.age);
          const isNewer =
            known === undefined ||
            (known.entry.boot === entry.boot ? entry.counter > known.entry.counter : left > known.left);
          if (!isNewer) continue;
          if (known?.entry.boot !== entry.boot) joinedAt = Moment.now();
          const isChanged =
            known?.entry.stamp.revision !== entry.stamp.revision ||
            known.entry.stamp.epoch !== entry.stamp.epoch ||
            known.entry.ready !== entry.ready;
          if (isChanged && isBelow) changed.push(entry.node);
          held.set(entry.node, { entry: { ...entry, via }, left, isBelow });
        }
        if (changed.length > 0) for (const see of [...watchers]) see(changed);
      },
      forget(via) {
        for (const [node, one] of held) if (one.isBelow && one.entry.via === via) held.delete(node);
      },
      below: () => list((one) => one.isBelow),
      all: () => [self(), ...list(() => true)],
      get(node) {
        if (node === describe().node) return self();
        const one = held.get(node);
        if (!one || Moment.since(one.left) > staleAfter) return undefined;
        return { ...one.entry, age: Moment.since(one.left) };
      },
      quietFor: () => Moment.since(joinedAt),
      watch(see) {
        watchers.add(see);
        return () => void watchers.delete(see);
      },
    };
  },
};
