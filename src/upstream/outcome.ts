/**
 * Reports the result of a try to the components that track server health: failure totals, outlier ejection, the health checker
 * that checks unreachable servers, and the slow start of new servers.
 */
import type { Ejector } from './ejector.js';
import type { FailureScores } from './failure-scores.js';
import type { HealthChecker } from './health-checker.js';
import type { SlowStart } from './slow-start.js';
import type { UpstreamTry } from './upstream-try.js';

/** The result of a try, as seen by the health tracking of its server. */
export type Outcome = UpstreamTry;

/** Types of outcome reporting. */
export declare namespace Outcome {
  /** The components that outcomes are reported to. */
  type Needs = {
    readonly failures: Pick<FailureScores, 'see' | 'good'>;
    readonly ejector: Pick<Ejector, 'good' | 'bad' | 'misdirected'>;
    readonly healthChecker: Pick<HealthChecker, 'lost' | 'suspect'>;
    readonly slowStart: Pick<SlowStart, 'good'>;
  };
}

/** Weight of each kind of failure: a failed try, a request the server declined to run, a long silence of the server. */
const failureWeights = { failed: 1, declined: 0.5, silent: 0.5 } as const;
/** Tries ended by the caller or by the deadline of the request say nothing about the server. */
const callerReasons: readonly UpstreamTry.Reason[] = ['left', 'late', 'total'];

/** The weight of the failure, or 0 if the try does not count against the server. */
const failureWeightOf = (result: UpstreamTry): number => {
  if (result.kind === 'stream' || result.kind === 'unsent') return 0;
  if (result.kind !== 'response') return callerReasons.includes(result.why) ? 0 : failureWeights.failed;
  if (result.pick.group.isNotRun(result.status, result.headers))
    return result.status >= 500 ? failureWeights.declined : 0;
  return result.status >= 500 ? failureWeights.failed : 0;
};

/** Reports success or failure of the server to outlier ejection. */
const updateEjector = ({ ejector }: Outcome.Needs, result: UpstreamTry): void => {
  const { server, group } = result.pick;
  if (result.kind === 'stream' || (result.kind === 'response' && result.status < 500)) {
    ejector.good(server);
    return;
  }
  const isDeclined = result.kind === 'response' && group.isNotRun(result.status, result.headers);
  const isNoServerFault =
    result.kind !== 'response' && [...callerReasons, 'full', 'slow'].includes(result.why);
  if (!isDeclined && !isNoServerFault) ejector.bad(server, group);
};

/** Reports results of tries to the components that track server health. */
export const Outcome = {
  weights: failureWeights,
  record(needs: Outcome.Needs, result: UpstreamTry): void {
    const { server, group } = result.pick;
    const failureWeight = failureWeightOf(result);
    if (failureWeight > 0) needs.failures.see(server.instance, failureWeight);
    else if (result.kind === 'stream') needs.failures.good(server.instance);
    if (result.kind === 'unsent' && (result.why === 'connect' || result.why === 'identity'))
      needs.healthChecker.lost(server);
    const isSuspect =
      result.kind === 'unsent' ? result.why === 'slow' : result.kind === 'lost' && result.why !== 'left';
    if (isSuspect) needs.healthChecker.suspect(server);
    if (result.kind === 'response' && result.status === group.proof?.misdirected) {
      needs.ejector.misdirected(server);
      return;
    }
    if (result.kind === 'stream' || result.kind === 'response') needs.slowStart.good(server.instance);
    updateEjector(needs, result);
  },
};
