/**
 * What the outcome of a try tells about its server: to the sums of failures, to outlier ejection, to the prover of
 * unreachable servers and to the slow start of new ones.
 */
import type { Ejector } from './ejector.js';
import type { FailureScores } from './failure-scores.js';
import type { HealthChecker } from './health-checker.js';
import type { SlowStart } from './slow-start.js';
import type { Trial } from './trial.js';

/** How a try ended, as far as its server is concerned. */
export type Outcome = Trial;

export declare namespace Outcome {
  /** Those that learn from outcomes. */
  type Needs = {
    readonly failures: Pick<FailureScores, 'see' | 'good'>;
    readonly ejector: Pick<Ejector, 'good' | 'bad' | 'misdirected'>;
    readonly prover: Pick<HealthChecker, 'lost' | 'suspect'>;
    readonly ramp: Pick<SlowStart, 'good'>;
  };
}

/** What kinds of failure count: a whole failure, a request that was declined, a server that is silent for long. */
const weights = { failed: 1, declined: 0.5, silent: 0.5 } as const;
/** Tries that end by the caller or by the time that is over tell nothing of the server. */
const callersOwn: readonly Trial.Why[] = ['left', 'late', 'total'];

const failureOf = (trial: Trial): number => {
  if (trial.kind === 'stream' || trial.kind === 'unsent') return 0;
  if (trial.kind !== 'response') return callersOwn.includes(trial.why) ? 0 : weights.failed;
  if (trial.pick.group.isNotRun(trial.status, trial.headers))
    return trial.status >= 500 ? weights.declined : 0;
  return trial.status >= 500 ? weights.failed : 0;
};

const judgeHealth = ({ ejector }: Outcome.Needs, trial: Trial): void => {
  const { server, group } = trial.pick;
  if (trial.kind === 'stream' || (trial.kind === 'response' && trial.status < 500)) {
    ejector.good(server);
    return;
  }
  const isDeclined = trial.kind === 'response' && group.isNotRun(trial.status, trial.headers);
  const isOwn = trial.kind !== 'response' && [...callersOwn, 'full', 'slow'].includes(trial.why);
  if (!isDeclined && !isOwn) ejector.bad(server, group);
};

/** Tells those that learn of servers how a try ended. */
export const Outcome = {
  weights,
  tell(needs: Outcome.Needs, trial: Trial): void {
    const { server, group } = trial.pick;
    const failure = failureOf(trial);
    if (failure > 0) needs.failures.see(server.instance, failure);
    else if (trial.kind === 'stream') needs.failures.good(server.instance);
    if (trial.kind === 'unsent' && (trial.why === 'connect' || trial.why === 'identity'))
      needs.prover.lost(server);
    const isSuspect =
      trial.kind === 'unsent' ? trial.why === 'slow' : trial.kind === 'lost' && trial.why !== 'left';
    if (isSuspect) needs.prover.suspect(server);
    if (trial.kind === 'response' && trial.status === group.proof?.misdirected) {
      needs.ejector.misdirected(server);
      return;
    }
    if (trial.kind === 'stream' || trial.kind === 'response') needs.ramp.good(server.instance);
    judgeHealth(needs, trial);
  },
};
