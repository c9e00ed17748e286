// What a campaign works on: the fleet, its faults, the journals, and the record of each fault made: which
// processes it kept down, which links it cut, whose disk it spoilt, and when.

import type { Faults } from '../faults/faults.js';
import type { FleetKit } from '../fleet-kit.js';
import { Journal } from '../journal.js';
import type { Random } from '../random.js';

export type World = {
  readonly kit: FleetKit;
  readonly faults: Faults;
  readonly random: Random;
  readonly made: World.Made[];
  readonly operators: Journal;
  readonly monitor: Journal;
  readonly list: { serial: number; evacuated: string[] };
  readonly busy: Set<object>;
  readonly acks: Set<(core: string) => void>;
  readonly strangers: Map<string, FleetKit.Server>;
  readonly callers: Journal;
  readonly stop: AbortSignal;
};

export declare namespace World {
  type Marks = {
    readonly down?: readonly string[];
    readonly cuts?: readonly string[];
    readonly disks?: readonly string[];
  };
  type Made = Marks & { readonly kind: string; readonly from: number; to: number };
}

export const World = {
  ip: (address: string): string => address.split(':')[0]!,
  begin(world: World, kind: string, marks: World.Marks): () => void {
    const made: World.Made = { kind, ...marks, from: Journal.now(), to: Number.POSITIVE_INFINITY };
    world.made.push(made);
    return () => {
      made.to = Journal.now();
    };
  },
  pause: (span: number, signal?: AbortSignal): Promise<void> =>
    new Promise((resolve) => {
      const timer = setTimeout(resolve, span);
      signal?.addEventListener('abort', () => {
        clearTimeout(timer);
        resolve();
      });
    }),
};
