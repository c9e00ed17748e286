/**
 * Home filter: determines the regions that may serve this call, from the header declared in the rule or else from the
 * default of the team. A home that is unknown or not allowed to the team is refused; there is no fallback.
 */
import type { Id } from '../../common/id.js';
import type { Compiled } from '../../manifest/compiled.js';
import { Call } from '../call.js';
import type { Filter } from '../filter.js';
import { Responses } from '../responses.js';

/** The home of a call: a named set of regions. */
export type Home = { readonly name: string };

const forbiddenHome: Responses = {
  status: 403,
  code: 'forbidden_home',
  text: 'the home is not among those of the team',
};

/** The home regions of the rule; a team that is bound to homes stays within these too. */
const useRuleHomes = (
  call: Call,
  ruleRegions: readonly Id.Region[],
  { homes }: Compiled.Team,
): Filter.Step => {
  const compiled = Call.require(call, 'compiled');
  const teamRegions = homes?.flatMap((name) => compiled.homes.get(name) ?? []);
  const regions = ruleRegions.filter((region) => teamRegions?.includes(region) ?? true);
  if (regions.length === 0) return Responses.refuse(call, forbiddenHome);
  call.regions = regions;
  return 'next';
};

/** Creates the home filter. */
export const Home = {
  filter: (): Filter => (call) => {
    const rule = Call.require(call, 'rule');
    const team = Call.require(call, 'team');
    if (rule.homeRegions) return useRuleHomes(call, rule.homeRegions, team);
    const requested = rule.homeHeader === undefined ? undefined : call.incoming.headers[rule.homeHeader];
    const name = requested === undefined ? team.home : String(requested);
    const regions = name === undefined ? undefined : Call.require(call, 'compiled').homes.get(name);
    if (!regions)
      return Responses.refuse(call, {
        status: 400,
        code: 'unknown_home',
        text: name === undefined ? 'neither the request nor its team names a home' : 'the home is not known',
      });
    if (team.homes && !team.homes.some((one) => one === name)) return Responses.refuse(call, forbiddenHome);
    call.regions = regions;
    return 'next';
  },
};
