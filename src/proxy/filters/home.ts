/**
 * Home filter: determines the regions that may serve this call, from the header declared in the rule or else from the
 * default of the team. A home that is unknown or not allowed to the team is refused; there is no fallback.
 */
import { Call } from '../call.js';
import type { Filter } from '../filter.js';
import { Responses } from '../responses.js';

/** The home of a call: a named set of regions. */
export type Home = { readonly name: string };

/** Creates the home filter. */
export const Home = {
  filter: (): Filter => (call) => {
    const rule = Call.require(call, 'rule');
    const team = Call.require(call, 'team');
    if (rule.homeRegions) {
      call.regions = rule.homeRegions;
      return 'next';
    }
    const requested = rule.homeHeader === undefined ? undefined : call.incoming.headers[rule.homeHeader];
    const name = requested === undefined ? team.home : String(requested);
    const regions = name === undefined ? undefined : Call.require(call, 'compiled').homes.get(name);
    if (!regions)
      return Responses.refuse(call, {
        status: 400,
        code: 'unknown_home',
        text: name === undefined ? 'neither the request nor its team names a home' : 'the home is not known',
      });
    if (team.homes && !team.homes.some((one) => one === name))
      return Responses.refuse(call, {
        status: 403,
        code: 'forbidden_home',
        text: 'the home is not among those of the team',
      });
    call.regions = regions;
    return 'next';
  },
};
