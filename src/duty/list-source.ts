// Where the list of servers is read from when it is not pushed: a poll gives it whole, in as many
// pieces as it took, or says why not. Its rate is one for all who ask, so each leaves it alone between two
// polls for as long as its part asks for.
import type { Document } from '../manifest/document.js';

export type ListSource = {
  readonly poll: () => Promise<ListSource.PollResult>;
  /** Calls a second that all pollers together may make. */
  readonly rate: () => number;
};

export declare namespace ListSource {
  type PollResult =
    | { readonly kind: 'list'; readonly servers: readonly Document.Server[]; readonly pages: number }
    | { readonly kind: 'busy' }
    | { readonly kind: 'failed'; readonly why: string };
}

const pollIntervalMs = 700;
const ownPart = 0.5;
const longestRest = 5600;

export const ListSource = {
  pollIntervalMs: pollIntervalMs,
  /** The pause after a poll of so many pieces, for one of so many pollers. */
  pauseAfter: (source: ListSource, pieces: number, pollers = 1): number =>
    Math.max(pollIntervalMs, (pieces * 1000) / (source.rate() * ownPart)) * pollers,
  /** The pause after the source said that it is asked too often. */
  pauseWhenBusy: (before: number, pollers = 1): number => Math.min(longestRest * pollers, before * 2),
};
