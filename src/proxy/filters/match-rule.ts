/**
 * Match-rule filter: selects the first rule whose path, method, headers, model and teams match. Timeouts requested by the
 * client are capped at the bounds of the rule.
 */
import { Instant } from '../../common/instant.js';
import type { Compiled } from '../../manifest/compiled.js';
import type { Document } from '../../manifest/document.js';
import { Call } from '../call.js';
import type { Filter } from '../filter.js';
import { Responses } from '../responses.js';

/** The timeouts that apply to a call. */
export type MatchRule = { readonly timeouts: Document.Timeouts };

const timeoutsHeader = 'bramblebend-timeouts';

const parseTimeouts = (text: string, rule: Compiled.Rule): Document.Timeouts | undefined => {
  const asked = { ...rule.timeouts };
  for (const part of text.split(',')) {
    const [name, value] = part.split('=').map((one) => one.trim());
    if (name === undefined || !Object.hasOwn(asked, name) || !/^[1-9]\d{0,6}$/.test(value ?? ''))
      return undefined;
    const key = name as keyof Document.Timeouts;
    Object.assign(asked, { [key]: Math.min(Number(value), rule.bounds[key]) });
  }
  return asked;
};

const findRule = (call: Call): Compiled.Rule | undefined => {
  const team = Call.require(call, 'team');
  const model = call.prompt?.model;
  return Call.require(call, 'candidateRules').find(
    (one) =>
      (one.match.models === undefined || (model !== undefined && one.match.models.includes(model))) &&
      (one.teams === undefined || one.teams.includes(team.name)),
  );
};

const refuseTimeouts = (call: Call, rule: Compiled.Rule) =>
  Responses.refuse(call, {
    status: 400,
    code: 'bad_timeouts',
    text: `${timeoutsHeader} must read name=milliseconds, with names out of ${Object.keys(rule.timeouts).join(', ')}`,
  });

/** Creates the match-rule filter. */
export const MatchRule = {
  /** Whether the rule needs an API key that the call does not have. */
  lacksKey: (call: Call, rule: Compiled.Rule): boolean => rule.needsKey && call.key === undefined,
  filter: (): Filter => (call) => {
    const rule = findRule(call);
    if (!rule)
      return Responses.refuse(call, {
        status: 404,
        code: 'no_rule',
        text: 'no rule takes this path, method, model and team',
      });
    if (MatchRule.lacksKey(call, rule)) return Responses.refuse(call, Responses.invalidKey);
    if ((call.body?.length ?? 0) > rule.maxBodyBytes)
      return Responses.refuse(call, Responses.bodyTooLong(rule.maxBodyBytes));
    const asked = call.incoming.headers[timeoutsHeader];
    const timeouts = asked === undefined ? rule.timeouts : parseTimeouts(String(asked), rule);
    if (!timeouts) return refuseTimeouts(call, rule);
    call.rule = rule;
    if (rule.usesSharedWall) call.wall = call.compiled?.walls?.shared();
    call.timeouts = timeouts;
    const left = Math.min(timeouts.total, call.requestInfo.timeLeft ?? timeouts.total);
    call.deadline = Instant.after(left, call.arrivedAt);
    return 'next';
  },
};
