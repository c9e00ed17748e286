// What a campaign works on: the fleet, its faults, the journals, and the record of each fault made, with
// the machines that it touched and when.

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
  readonly stop: AbortSignal;
};

export declare namespace World {
  type Made = {
    readonly kind: string;
    readonly touches: readonly string[];
    readonly from: number;
    to: number;
  };
}

export const World = {
  ip: (address: string): string => address.split(':')[0]!,
  begin(world: World, kind: string, touches: readonly string[]): () => void {
    const made: World.Made = { kind, touches, from: Journal.now(), to: Number.POSITIVE_INFINITY };
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
