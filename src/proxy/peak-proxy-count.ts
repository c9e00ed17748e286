/**
 * The highest number of proxies that this one has known: over its lifetime, and within a recent span.
 */
import { Instant } from '../common/instant.js';

/** Tracks the highest number of known proxies. */
export type PeakProxyCount = {
  /** Records the current number. */
  readonly record: (count: number) => void;
  readonly allTime: () => number;
  /** The maximum within the last `span` milliseconds. */
  readonly within: (span: number) => number;
};

/** Creates a tracker. */
export const PeakProxyCount = {
  of(): PeakProxyCount {
    const seenAt = new Map<number, Instant>();
    const counts = () => [...seenAt.keys()];
    return {
      record(count) {
        seenAt.set(count, Instant.now());
      },
      allTime: () => Math.max(1, ...counts()),
      within: (span) => Math.max(1, ...counts().filter((count) => Instant.since(seenAt.get(count)!) <= span)),
    };
  },
};
