// Terms, ballots and contents are made once each, so that they are compared by identity and kept in a packed
// state as small numbers.

import { Stamp } from '../../src/common/stamp.js';
import { Ballot } from '../../src/epoch/ballot.js';
import { Term } from '../../src/epoch/term.js';
import { Disks } from './disks.js';

/** A term of the product with what the model asks of it often. */
export type KnownTerm = {
  readonly id: number;
  readonly value: Term;
  readonly cores: Disks;
  readonly inSync: Disks;
  readonly primary: number;
  readonly epoch: number;
  readonly majority: number;
};

/** What a disk holds: its stamp and the operators' changes in it, in order. */
export type Content = {
  readonly id: number;
  readonly stamp: Stamp;
  readonly history: string;
};

const terms: KnownTerm[] = [];
const termsByKey = new Map<string, KnownTerm>();
const contents: Content[] = [];
const contentsByKey = new Map<string, Content>();
const ballots = new Map<number, Ballot>();

export const Tables = {
  /** The one known term of this value; the order of its lists is no part of it. */
  term(given: Term): KnownTerm {
    const cores = [...given.cores].sort((a, b) => (a.disk < b.disk ? -1 : 1));
    const value = { ...given, inSync: [...given.inSync].sort(), cores };
    const names = cores.map((core) => core.disk);
    const key = `${value.epoch}/${value.formed}/${value.primary}/${value.inSync}/${names}`;
    const found = termsByKey.get(key);
    if (found) return found;
    const made: KnownTerm = {
      id: terms.length + 1,
      value,
      cores: Disks.ofNames(names),
      inSync: Disks.ofNames(value.inSync),
      primary: Disks.codeOf(value.primary),
      epoch: value.epoch,
      majority: Term.majority(value),
    };
    if (made.id > 0xffff) throw new Error('too many terms for the packed state');
    terms.push(made);
    termsByKey.set(key, made);
    return made;
  },
  termOf: (id: number): KnownTerm | null => terms[id - 1] ?? null,
  content(epoch: number, revision: number, history: string): Content {
    const key = `${epoch}/${revision}/${history}`;
    const found = contentsByKey.get(key);
    if (found) return found;
    const made = { id: contents.length, stamp: Stamp.of(epoch, revision), history };
    if (made.id > 0xffff) throw new Error('too many contents for the packed state');
    contents.push(made);
    contentsByKey.set(key, made);
    return made;
  },
  contentOf: (id: number): Content => contents[id]!,
  ballot(round: number, disk: string): Ballot {
    const key = round * 256 + Disks.codeOf(disk);
    const found = ballots.get(key);
    if (found) return found;
    const made = { round, disk };
    ballots.set(key, made);
    return made;
  },
  none: Ballot.none,
};
