/**
 * A core's vote, and what several votes say together. These pure functions decide for the proposer, for the running
 * core and for the forming of cores; the result does not depend on the order in which votes arrive.
 */
import type { Frame } from '../wire/frame.js';
import { Ballot } from './ballot.js';
import { Term } from './term.js';

/** What one core has promised and accepted, and the state that it holds. */
export type Vote = Omit<Extract<Frame.Reply, { kind: 'vote' }>, 'kind' | 'serial'>;

const compare = (a: Vote, b: Vote): number => {
  if (!a.term || !b.term) return Number(a.term !== null) - Number(b.term !== null);
  return Term.compare(a.term, a.accepted ?? Ballot.none, b.term, b.accepted ?? Ballot.none);
};

/** Ordering, counting and filtering of votes. */
export const Vote = {
  /** Orders votes by their accepted terms: by forming, then by ballot; votes without a term are lowest. */
  compare,
  /** The vote with the newest accepted term, if any core has accepted one. */
  newest: (votes: readonly Vote[]): Vote | undefined =>
    votes.filter((vote) => vote.term !== null).sort((a, b) => compare(b, a))[0],
  /** The votes that granted the request. */
  granted: (votes: readonly Vote[]): readonly Vote[] => votes.filter((vote) => vote.isGranted),
  /** Whether the votes come from a majority of a term's cores. */
  isMajority: (votes: readonly Vote[], term: Term): boolean =>
    term.cores.filter((core) => votes.some((vote) => vote.core.disk === core.disk)).length >=
    Term.majority(term),
  /** The votes of cores that are not blank. */
  remembering: (votes: readonly Vote[]): readonly Vote[] => votes.filter((vote) => !vote.isBlank),
  /** The first vote of each disk. */
  distinct: (votes: readonly Vote[]): readonly Vote[] =>
    votes.filter((one, index) => votes.findIndex((other) => other.core.disk === one.core.disk) === index),
};
