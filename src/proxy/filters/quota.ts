/**
 * Quota: a team that has used up what the manifest lets it ask for in a span is refused as not run. A request is charged
 * once, when it is let in, however many tries it takes and whether or not its caller stays; only one that certainly was
 * not run is given back.
 */
import { Call } from '../call.js';
import type { Filter } from '../filter.js';
import { Responses } from '../responses.js';

/** Whose quota a call is charged to. */
export type Quota = { readonly team: string };

const admit = async (needs: Filter.Dependencies, call: Call): Promise<Filter.Step> => {
  const admitted = await needs.quotas.admit(Call.require(call, 'team'), call.body?.length ?? 0);
  if (admitted.kind === 'over') {
    needs.meters.refusals.inc({ code: 'over_quota' });
    return Responses.refuse(call, {
      status: 429,
      code: 'over_quota',
      text: 'your team has used up its quota for now',
      retryAfter: admitted.retryAfter,
    });
  }
  call.refund = admitted.undo;
  return 'next';
};

export const Quota = {
  filter:
    (needs: Filter.Dependencies): Filter =>
    (call) =>
      Call.require(call, 'team').quota === undefined ? 'next' : admit(needs, call),
  /** Gives back what a call was charged that has been answered and certainly was not run. */
  refundIfNotRun({ refund, attemptResult: verdict }: Call): void {
    const isNotRun = verdict === undefined || (verdict.kind === 'refusal' && verdict.status === 503);
    if (isNotRun) refund?.();
  },
};
