/**
 * The proxies nearest to a zone, for clients: ready ones, and where a region has none just now, those of it that drain but still
 * take requests. Any core answers from its own membership list. A core that has just
 * started, or that knows no ready proxy, answers 503 rather than an empty list.
 */

import type { MemberTable } from '../../membership/member-table.js';
import type { Frame } from '../../wire/frame.js';
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
    readonly roll: Pick<MemberTable, 'all' | 'unreadyFor'>;
    /** How long a proxy that drains may be named where its region has no ready one, in milliseconds. */
    readonly namesDrainingMs: number;
    /** Whether the core has run long enough to have heard from the members. */
    readonly isReady: () => boolean;
    readonly regionOf: (zone: string) => string | undefined;
  };
}

/** A proxy not heard of for longer is left out. */
const maxAgeMs = 3000;
/** How long clients may use a response. */
const ttlMs = 2000;

const toProxy = ({ node, http, zone }: Frame.Entry): ReadDirectory.Proxy => ({ node, address: http, zone });

/** The query for the proxies nearest to a zone. */
export const ReadDirectory = {
  /**
   * The ready proxies of the zone, else those of its region, else the region's own that have begun to drain, since a request may
   * be bound to its region, else all that are ready.
   */
  find(
    { roll, isReady, regionOf, namesDrainingMs }: ReadDirectory.Dependencies,
    zone: string,
  ): ReadDirectory.Found {
    if (!isReady()) return undefined;
    const region = regionOf(zone);
    const isInRegion = (one: ReadDirectory.Proxy) => region !== undefined && regionOf(one.zone) === region;
    const heard = roll.all().filter((entry) => entry.program === 'proxy' && entry.age < maxAgeMs);
    const ready = heard.filter((entry) => entry.ready).map(toProxy);
    const draining = heard.filter((entry) => roll.unreadyFor(entry.node) < namesDrainingMs).map(toProxy);
    const choices = [
      ready.filter((one) => one.zone === zone),
      ready.filter(isInRegion),
      draining.filter(isInRegion),
      ready,
    ];
    return choices.find((proxies) => proxies.length > 0);
  },
  /** Answers with the proxies, or 503 if there are none. */
  run(needs: ReadDirectory.Dependencies, { zone }: ReadDirectory): Responses {
    const proxies = ReadDirectory.find(needs, zone);
    return proxies
      ? { status: 200, body: { proxies, ttl: ttlMs } }
      : Responses.unconfirmed('no_proxy', 'no ready proxy is known just now', 'no');
  },
};
