// Disks of the model: each machine has a letter, and each time it loses its disk the number after it rises. A set of
// disks is one integer of a bit each.
import type { Frame } from '../../src/wire/frame.js';

const generations = 4;
const letters = 'abcdefgh';

/** A set of disks, a bit each. */
export type Disks = number;

export const Disks = {
  none: 0 as Disks,
  generations,
  code: (machine: number, generation: number): number => machine * generations + generation,
  name: (code: number): string => `${letters[Math.floor(code / generations)]}${code % generations}`,
  codeOf: (name: string): number =>
    name === '' ? 255 : letters.indexOf(name[0]!) * generations + Number(name[1]),
  machineOf: (code: number): number => Math.floor(code / generations),
  only: (code: number): Disks => (1 << code) >>> 0,
  has: (disks: Disks, code: number): boolean => ((disks >>> code) & 1) === 1,
  add: (disks: Disks, code: number): Disks => (disks | (1 << code)) >>> 0,
  and: (a: Disks, b: Disks): Disks => (a & b) >>> 0,
  includes: (all: Disks, some: Disks): boolean => (some & ~all) === 0,
  count(disks: Disks): number {
    let left = disks;
    let count = 0;
    for (; left !== 0; left &= left - 1) count += 1;
    return count;
  },
  ofNames: (names: readonly string[]): Disks =>
    names.reduce((disks, name) => Disks.add(disks, Disks.codeOf(name)), 0),
  names: (disks: Disks): string[] =>
    Array.from({ length: 32 }, (_none, code) => code)
      .filter((code) => Disks.has(disks, code))
      .map(Disks.name),
  /** The core as terms name it: its wire is the machine, whichever disk it has. */
  core(code: number): Frame.Core {
    const letter = letters[Disks.machineOf(code)]!;
    return { disk: Disks.name(code), node: letter, wire: letter, http: letter };
  },
};
