/**
 * Home: the regions this call is bound to. They come from the rule's declared header or else the team's default; a home
 * that is not known, or not among the team's, is refused and never guessed.
 */
import { Call } from '../call.js';
import type { Filter } from '../filter.js';
import { Responses } from '../responses.js';

/** The home of a call. */
export type Home = { readonly name: string };

export const Home = {
  filter: (): Filter => (call) => {
    const rule = Call.require(call, 'rule');
    const team = Call.require(call, 'team');
    if (rule.homeRegions) {
      call.regions = rule.homeRegions;
      return 'next';
    }
    const told = rule.homeHeader === undefined ? undefined : call.incoming.headers[rule.homeHeader];
    const name = told === undefined ? team.home : String(told);
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
