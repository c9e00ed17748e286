/**
 * A filter is one station on a request's way through the proxy: it answers the call, or lets it go on. One that has its
 * decision at hand gives it without a promise.
 */
import type { Compiled } from '../manifest/compiled.js';
import type { Budget } from '../upstream/budget.js';
import type { Ejector } from '../upstream/ejector.js';
import type { FailureScores } from '../upstream/failure-scores.js';
import type { HealthChecker } from '../upstream/health-checker.js';
import type { InFlight } from '../upstream/in-flight.js';
import type { Placement } from '../upstream/placement.js';
import type { Pool } from '../upstream/pool.js';
import type { SlowStart } from '../upstream/slow-start.js';
import type { Warmup } from '../upstream/warmup.js';
import type { Call } from './call.js';
import type { Dialect } from './dialect.js';
import type { FirstManifest } from './first-manifest.js';
import type { Meters } from './meters.js';
import type { Quotas } from './quotas.js';
import type { Shares } from './shares.js';
import type { Stall } from './stall.js';

/** Answers a call, or lets it go on. */
export type Filter = (call: Call) => Filter.Step | Promise<Filter.Step>;

export declare namespace Filter {
  /** Whether the call has been answered, or goes on to the next filter. */
  type Step = 'answered' | 'next';
  type Needs = {
    readonly compiled: () => Compiled | undefined;
    readonly firstManifest: FirstManifest;
    readonly active: () => number;
    readonly concurrent: number;
    readonly dialect: Dialect;
    readonly zone: string;
    readonly pool: Pool;
    readonly inFlight: InFlight;
    readonly ejector: Ejector;
    readonly failures: FailureScores;
    readonly budget: Budget;
    readonly quotas: Quotas;
    readonly stall: Stall;
    readonly ramp: SlowStart;
    readonly placement: Placement;
    readonly warmup: Warmup;
    readonly prover: HealthChecker;
    readonly shares: Shares;
    readonly meters: Meters;
    readonly note: (text: string, facts?: Record<string, unknown>) => void;
  };
}
