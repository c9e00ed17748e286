// Where callers of a zone go: the ready proxies nearest to them. Any core tells it from its own roll; one
// that has just started, or knows no ready proxy, says so instead of sending callers nowhere.
import type { Roll } from '../../membership/roll.js';
import { Responses } from '../responses.js';

export type ReadDirectory = { readonly zone: string };

export declare namespace ReadDirectory {
  type Proxy = { readonly node: string; readonly address: string; readonly zone: string };
  type Found = readonly Proxy[] | undefined;
  type Dependencies = {
    readonly roll: Roll;
    readonly isReady: () => boolean;
    readonly regionOf: (zone: string) => string | undefined;
  };
}

const freshFor = 3000;
const holdsFor = 2000;

export const ReadDirectory = {
  find({ roll, isReady: knows, regionOf }: ReadDirectory.Dependencies, zone: string): ReadDirectory.Found {
    if (!knows()) return undefined;
    const ready = roll
      .all()
      .filter((entry) => entry.program === 'proxy' && entry.ready && entry.age < freshFor)
      .map(({ node, http, zone }) => ({ node, address: http, zone }));
    const region = regionOf(zone);
    const sameZone = ready.filter((one) => one.zone === zone);
    const sameRegion = ready.filter((one) => region !== undefined && regionOf(one.zone) === region);
    return [sameZone, sameRegion, ready].find((some) => some.length > 0);
  },
  run(needs: ReadDirectory.Dependencies, { zone }: ReadDirectory): Responses {
    const proxies = ReadDirectory.find(needs, zone);
    return proxies
      ? { status: 200, body: { proxies, ttl: holdsFor } }
      : Responses.unconfirmed('no_proxy', 'no ready proxy is known just now', 'no');
  },
};
