// Breadth-first search over all states within the bounds. The first violation of each kind is by that the one with
// the fewest steps; its trace is found again by following the parents and playing the steps between them.
import type { Bounds, Plant } from './bounds.js';
import { Invariants } from './invariants.js';
import { MachineSteps } from './machine-steps.js';
import { Packing } from './packing.js';
import { RegisterSteps } from './register-steps.js';
import { ReplicationSteps } from './replication-steps.js';
import { Seen } from './seen.js';
import type { Setting } from './step.js';
import { Waiting } from './waiting.js';
import { World } from './world.js';

/** A violation with the steps that lead to it. */
export type Violation = { readonly breach: string; readonly trace: readonly string[] };

export type Result = {
  readonly states: number;
  /** How many steps deep the search went; the last level may be part of one. */
  readonly depth: number;
  /** Whether every state within the bounds was explored. */
  readonly isWhole: boolean;
  readonly violations: readonly Violation[];
};

export type Search = {
  readonly bounds: Bounds;
  readonly plants?: readonly Plant[];
  /** The most distinct states to look at. */
  readonly most: number;
  readonly isFirstOnly?: boolean;
  readonly onLevel?: (depth: number, states: number) => void;
};

type Found = { readonly world: World; readonly text: () => string; readonly breach: string | undefined };

const steps = [...MachineSteps.all, ...RegisterSteps.all, ...ReplicationSteps.all];

const explore = (world: World, setting: Setting, take: (found: Found) => void): void => {
  for (const step of steps)
    step(world, setting, (next, text, breach) =>
      take({ world: World.tidy(next), text, breach: breach ?? Invariants.broken(next, setting.bounds) }),
    );
};

const traceTo = (state: number, last: string, seen: Seen, setting: Setting): string[] => {
  const path: number[] = [];
  for (let at = state; at > 0; at = seen.parentOf(at)) path.unshift(at);
  const trace: string[] = [];
  let world = World.first(setting.bounds);
  for (const next of path) {
    let reached: Found | undefined;
    explore(world, setting, (found) => {
      if (!reached && seen.isSame(next, Packing.pack(found.world))) reached = found;
    });
    if (!reached) throw new Error('a state that was found cannot be reached again');
    trace.push(reached.text());
    world = reached.world;
  }
  return [...trace, last];
};

export const Search = {
  run({ bounds, plants = [], most, isFirstOnly = false, onLevel = () => {} }: Search): Result {
    const setting: Setting = { bounds, plants: new Set(plants) };
    const seen = Seen.of(most);
    const violations = new Map<string, Violation>();
    let level = Waiting.of();
    const first = Packing.pack(World.first(bounds));
    level.put(seen.add(first, -1), first);
    let depth = 0;
    let isFull = false;
    const isOver = () => isFull || (isFirstOnly && violations.size > 0);
    while (level.size() > 0 && !isOver()) {
      const next = Waiting.of();
      const take = (parent: number, { world, text, breach }: Found) => {
        if (isOver()) return;
        if (breach) {
          const kind = breach.replace(/\b[a-h]\d\b|\d+/g, '#');
          if (!violations.has(kind))
            violations.set(kind, { breach, trace: traceTo(parent, text(), seen, setting) });
          return;
        }
        if (seen.size() >= most) isFull = true;
        if (isFull) return;
        const bytes = Packing.pack(world);
        const state = seen.add(bytes, parent);
        if (state >= 0) next.put(state, bytes);
      };
      level.drain((state, bytes) => {
        explore(Packing.unpack(bytes), setting, (found) => take(state, found));
        return !isOver();
      });
      depth += 1;
      onLevel(depth, seen.size());
      level = next;
    }
    return {
      states: seen.size(),
      depth,
      isWhole: !isOver(),
      violations: [...violations.values()],
    };
  },
};
