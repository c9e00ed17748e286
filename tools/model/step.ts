// What every kind of step is given, and how it hands on what may come of it.
import type { Bounds, Plant } from './bounds.js';
import type { World } from './world.js';

/** Takes one possible next world; the text is only made for a trace. */
export type Emit = (next: World, text: () => string, breach?: string) => void;

/** What the steps of one run share. */
export type Setting = {
  readonly bounds: Bounds;
  readonly plants: ReadonlySet<Plant>;
};

/** All that may come of one kind of step in one world. */
export type Step = (world: World, setting: Setting, emit: Emit) => void;
