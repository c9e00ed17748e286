// Quota: a team that has used up what the manifest lets it ask for in a span is dropped as not run. A
// request is charged once, when it is let in, however many tries it takes and whether or not its caller
// stays; only one that certainly was not run is given back.

import { Call } from '../call.js';
import type { Filter } from '../filter.js';
import { Responses } from '../responses.js';

export type Quota = { readonly team: string };

export const Quota = {
  filter:
    (needs: Filter.Needs): Filter =>
    async (context, next) => {
      const { call } = context.var;
      const team = Call.need(call, 'team');
      const admitted = await needs.quotas.admit(team, call.body?.length ?? 0);
      if (admitted.kind === 'over') {
        needs.meters.refusals.inc({ code: 'over_quota' });
        return Responses.refuse(context, {
          status: 429,
          code: 'over_quota',
          text: 'your team has used up its quota for now',
          retryAfter: admitted.retryAfter,
        });
      }
      await next();
      if (call.verdict === undefined || (call.verdict.kind === 'refusal' && call.verdict.status === 503))
        admitted.undo();
    },
};
