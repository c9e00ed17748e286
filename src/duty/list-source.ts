/**
 * A source that the list of servers is polled from. A poll returns the whole list, with the number of pages that it took, or
 * the reason why it failed. All pollers share one rate limit, so each pauses between two polls in proportion to its share.
 */
import type { Document } from '../manifest/document.js';

/** A source of the list of servers. */
export type ListSource = {
  readonly poll: () => Promise<ListSource.PollResult>;
  /** Calls per second allowed for all pollers together. */
  readonly rate: () => number;
};

/** Results of polls. */
export declare namespace ListSource {
  /** The list, `busy` if the source is overloaded, or the reason of the failure. */
  type PollResult =
    | { readonly kind: 'list'; readonly servers: readonly Document.Server[]; readonly pages: number }
    | { readonly kind: 'busy' }
    | { readonly kind: 'failed'; readonly why: string };
}

const pollIntervalMs = 700;
/** Fraction of the rate limit that polling may use. */
const shareOfRate = 0.5;
const maxPauseMs = 5600;

/** Poll intervals. */
export const ListSource = {
  pollIntervalMs,
  /** Pause after a poll that took `pages` calls, for one of `pollers` pollers, in milliseconds. */
  pauseAfter: (source: ListSource, pieces: number, pollers = 1): number =>
    Math.max(pollIntervalMs, (pieces * 1000) / (source.rate() * shareOfRate)) * pollers,
  /** Pause after the source reported that it is polled too often. */
  pauseWhenBusy: (before: number, pollers = 1): number => Math.min(maxPauseMs * pollers, before * 2),
};
