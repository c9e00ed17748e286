/** How many proxies this one knew of: the most ever, and the most within a span up to now. */
import { Instant } from '../common/instant.js';

export type MostProxies = {
  readonly see: (count: number) => void;
  readonly ever: () => number;
  readonly within: (span: number) => number;
};

export const MostProxies = {
  of(): MostProxies {
    const seenAt = new Map<number, Instant>();
    const known = () => [...seenAt.keys()];
    return {
      see(count) {
        seenAt.set(count, Instant.now());
      },
      ever: () => Math.max(1, ...known()),
      within: (span) => Math.max(1, ...known().filter((count) => Instant.since(seenAt.get(count)!) <= span)),
    };
  },
};
