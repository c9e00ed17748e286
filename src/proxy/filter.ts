/**
 * A filter is one step of request processing in the proxy: it either answers the call or passes it on. A filter that can
 * decide synchronously returns its result without a promise.
 */
import type { Compiled } from '../manifest/compiled.js';
import type { Overload } from '../overload/overload.js';
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
import type { Drain } from './drain.js';
import type { FirstManifest } from './first-manifest.js';
import type { KeyLease } from './key-lease.js';
import type { Meters } from './meters.js';
import type { QuotaLimiter } from './quota-limiter.js';
import type { Shares } from './shares.js';
import type { Stall } from './stall.js';

/** Answers a call, or passes it to the next filter. */
export type Filter = (call: Call) => Filter.Step | Promise<Filter.Step>;

/** Results and dependencies of filters. */
export declare namespace Filter {
  /** Whether the call has been answered or continues with the next filter. */
  type Step = 'answered' | 'next';
  /** The parts of the proxy that filters use. */
  type Dependencies = {
    readonly compiled: () => Compiled | undefined;
    readonly firstManifest: FirstManifest;
    readonly keyLease: KeyLease;
    readonly drain: Drain;
    /** Number of requests in progress. */
    readonly active: () => number;
    /** Requests in progress above which new ones are refused. */
    readonly maxConcurrent: number;
    /** Bounds on what clients make this process hold. */
    readonly overload: Overload;
    readonly dialect: Dialect;
    readonly zone: string;
    readonly pool: Pool;
    readonly inFlight: InFlight;
    readonly ejector: Ejector;
    readonly failures: FailureScores;
    readonly budget: Budget;
    readonly quotas: QuotaLimiter;
    readonly stall: Stall;
    readonly slowStart: SlowStart;
    readonly placement: Placement;
    readonly warmup: Warmup;
    readonly healthChecker: HealthChecker;
    readonly shares: Shares;
    readonly meters: Meters;
    /** Writes a log line. */
    readonly note: (text: string, facts?: Record<string, unknown>) => void;
  };
}
