/** Last-requests filter: while the proxy drains, refuses requests that it may not be able to finish. */
import { Call } from '../call.js';
import type { Filter } from '../filter.js';
import { Responses } from '../responses.js';

const leaving = Responses.unavailable('draining', 'this proxy ends before the request may have ended');

/** Creates the filter. */
export const LastRequests = {
  filter:
    (needs: Filter.Dependencies): Filter =>
    (call: Call) => {
      if (needs.drain.takes(call.arrivedAt, Call.require(call, 'deadline'))) return 'next';
      needs.meters.refusals.inc({ code: leaving.code });
      return Responses.refuse(call, leaving);
    },
};
