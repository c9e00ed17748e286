/** How many proxies this one knew of: the most ever, and the most within a span up to now. */
import { Instant } from '../common/instant.js';

export type PeakProxyCount = {
  readonly record: (count: number) => void;
  readonly allTime: () => number;
  readonly within: (span: number) => number;
};

export const PeakProxyCount = {
  of(): PeakProxyCount {
    const seenAt = new Map<number, Instant>();
    const known = () => [...seenAt.keys()];
    return {
      record(count) {
        seenAt.set(count, Instant.now());
      },
      allTime: () => Math.max(1, ...known()),
      within: (span) => Math.max(1, ...known().filter((count) => Instant.since(seenAt.get(count)!) <= span)),
    };
  },
};
