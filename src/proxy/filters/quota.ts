/**
 * Quota filter: refuses the request of a team that has exhausted its quota, before the request runs. A request is charged
 * once, on admission, regardless of its number of attempts and of whether the client disconnects; the charge is refunded
 * only if the request certainly did not run.
 */
import { Call } from '../call.js';
import type { Filter } from '../filter.js';
import { Responses } from '../responses.js';

/** The team whose quota a call is charged to. */
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
  call.refund = admitted.refund;
  return 'next';
};

/** Creates the quota filter and refunds charges. */
export const Quota = {
  filter:
    (needs: Filter.Dependencies): Filter =>
    (call) =>
      Call.require(call, 'team').quota === undefined ? 'next' : admit(needs, call),
  /** Refunds the charge of an answered call that certainly did not run. */
  refundIfNotRun({ refund, attemptResult }: Call): void {
    const isNotRun =
      attemptResult === undefined || (attemptResult.kind === 'refusal' && attemptResult.status === 503);
    if (isNotRun) refund?.();
  },
};
