/**
 * The ready proxies nearest to a zone, for clients. Any core answers from its own membership list. A core that has just
 * started, or that knows no ready proxy, answers 503 rather than an empty list.
 */

import type { MemberTable } from '../../membership/member-table.js';
import { Responses } from '../responses.js';

/** The zone that clients ask from. */
export type ReadDirectory = { readonly zone: string };

export declare namespace ReadDirectory {
  /** A ready proxy and its address. */
  type Proxy = { readonly node: string; readonly address: string; readonly zone: string };
  /** The proxies to use, nearest zone or region only, or undefined while none can be named. */
  type Found = readonly Proxy[] | undefined;
  /** What the directory is read from. */
  type Dependencies = {
    readonly roll: MemberTable;
    /** Whether the core has run long enough to have heard from the members. */
    readonly isReady: () => boolean;
    readonly regionOf: (zone: string) => string | undefined;
  };
}

/** A proxy not heard of for longer is left out. */
const maxAgeMs = 3000;
/** How long clients may use a response. */
const ttlMs = 2000;

/** The query for the proxies nearest to a zone. */
export const ReadDirectory = {
  /** The ready proxies of the zone, else those of its region, else all. */
  find({ roll, isReady, regionOf }: ReadDirectory.Dependencies, zone: string): ReadDirectory.Found {
    if (!isReady()) return undefined;
    const readyProxies = roll
      .all()
      .filter((entry) => entry.program === 'proxy' && entry.ready && entry.age < maxAgeMs)
      .map(({ node, http, zone }) => ({ node, address: http, zone }));
    const region = regionOf(zone);
    const sameZone = readyProxies.filter((one) => one.zone === zone);
    const sameRegion = readyProxies.filter((one) => region !== undefined && regionOf(one.zone) === region);
    return [sameZone, sameRegion, readyProxies].find((proxies) => proxies.length > 0);
  },
  /** Answers with the proxies, or 503 if there are none. */
  run(needs: ReadDirectory.Dependencies, { zone }: ReadDirectory): Responses {
    const proxies = ReadDirectory.find(needs, zone);
    return proxies
      ? { status: 200, body: { proxies, ttl: ttlMs } }
      : Responses.unconfirmed('no_proxy', 'no ready proxy is known just now', 'no');
  },
};
