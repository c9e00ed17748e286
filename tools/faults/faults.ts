// The runner's side of the faults: one small file that the preloaded module of every process watches.
import { renameSync, writeFileSync } from 'node:fs';

export type Faults = {
  readonly path: string;
  readonly cut: (from: readonly string[], to: readonly string[], way: Faults.Way) => () => void;
  readonly disk: (node: string, kind: Faults.Disk) => () => void;
  readonly clock: (node: string, by: number) => () => void;
  readonly healAll: () => void;
};

export declare namespace Faults {
  type Way = 'one' | 'both';
  type Disk = 'slow' | 'stall' | 'full' | 'gone';
  type State = {
    readonly cuts: readonly string[];
    readonly disks: Readonly<Record<string, Disk>>;
    readonly clocks: Readonly<Record<string, number>>;
  };
}

export const Faults = {
  pairs: (from: readonly string[], to: readonly string[], way: Faults.Way): readonly string[] =>
    from.flatMap((a) =>
      to.flatMap((b) => (a === b ? [] : way === 'one' ? [`${a}>${b}`] : [`${a}>${b}`, `${b}>${a}`])),
    ),
  open(path: string): Faults {
    const cuts = new Map<string, number>();
    const disks = new Map<string, Faults.Disk>();
    const clocks = new Map<string, number>();
    const write = () => {
      const state: Faults.State = {
        cuts: [...cuts.keys()],
        disks: Object.fromEntries(disks),
        clocks: Object.fromEntries(clocks),
      };
      writeFileSync(`${path}.new`, JSON.stringify(state));
      renameSync(`${path}.new`, path);
    };
    const put = <T>(held: Map<string, T>, node: string, value: T) => {
      held.set(node, value);
      write();
      return () => {
        held.delete(node);
        write();
      };
    };
    write();
    return {
      path,
      cut(from, to, way) {
        const pairs = Faults.pairs(from, to, way);
        for (const pair of pairs) cuts.set(pair, (cuts.get(pair) ?? 0) + 1);
        write();
        return () => {
          for (const pair of pairs) {
            const left = (cuts.get(pair) ?? 1) - 1;
            if (left <= 0) cuts.delete(pair);
            else cuts.set(pair, left);
          }
          write();
        };
      },
      disk: (node, kind) => put(disks, node, kind),
      clock: (node, by) => put(clocks, node, by),
      healAll() {
        cuts.clear();
        disks.clear();
        clocks.clear();
        write();
      },
    };
  },
};
