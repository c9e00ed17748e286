/**
 * One proxy of the experiment: the product's modules that pick, wait, refuse, try, eject, warm and learn, wired as the
 * proxy wires them, over a network that the experiment gives. This file is bundled, and run by the script alone.
 */

import { Instant } from '../../src/common/instant.js';
import { Timer } from '../../src/common/timer.js';
import { RetryLimits } from '../../src/duty/retry-limits.js';
import { TokenPools } from '../../src/duty/token-pools.js';
import { Compiled } from '../../src/manifest/compiled.js';
import type { View } from '../../src/manifest/view.js';
import { Budget } from '../../src/upstream/budget.js';
import type { Candidate as Choice } from '../../src/upstream/candidate.js';
import type { Connection } from '../../src/upstream/connection.js';
import { Ejector } from '../../src/upstream/ejector.js';
import { FailureScores } from '../../src/upstream/failure-scores.js';
import { HealthChecker } from '../../src/upstream/health-checker.js';
import { InFlight } from '../../src/upstream/in-flight.js';
import { Outcome } from '../../src/upstream/outcome.js';
import { Placement } from '../../src/upstream/placement.js';
import type { Pool } from '../../src/upstream/pool.js';
import { SlowStart } from '../../src/upstream/slow-start.js';
import { Suspicion } from '../../src/upstream/suspicion.js';
import { Tries } from '../../src/upstream/tries.js';
import type { UpstreamTry } from '../../src/upstream/upstream-try.js';
import { Warmup } from '../../src/upstream/warmup.js';
import type { Frame } from '../../src/wire/frame.js';

/** A proxy that decides, without sockets. */
export type Front = {
  readonly serve: (request: Front.Request) => Promise<Front.Answer>;
  readonly enforce: (compiled: Compiled) => void;
  readonly hear: (loads: readonly Placement.Load[]) => void;
  /** Another proxy has found a server dark. */
  readonly hearDark: (instance: string) => void;
  readonly hearFailures: (told: readonly FailureScores.Report[]) => void;
  readonly untold: () => readonly FailureScores.Report[];
  /** Tokens for extra tries that the pools of all proxies grant. */
  readonly grant: (transfers: readonly Frame.Transfer[]) => void;
  readonly stop: () => void;
};

export declare namespace Front {
  type Request = {
    readonly rule: string;
    readonly want: Placement.Request;
    readonly left: number;
    readonly signal: AbortSignal;
    /** How a run on a server goes: until its head comes, and then until its end. */
    readonly run: (run: Run) => Promise<UpstreamTry>;
    readonly onStream: (
      trial: Extract<UpstreamTry, { kind: 'stream' }>,
    ) => Promise<'done' | 'server' | 'left'>;
    /** The last piece that has come, once one has. */
    readonly last: () => number;
  };
  type Run = {
    readonly pick: Choice;
    readonly left: number;
    readonly signal: AbortSignal;
    readonly after: number;
    readonly job: InFlight.Job;
    readonly onSend: () => void;
    readonly onPiece: (span: number) => void;
    readonly connectWithin: number;
    readonly connectWhy: UpstreamTry.Reason;
    /** Hands over what ends the run from here, when its server is found dark. */
    readonly onEnd: (end: (why: UpstreamTry.Reason) => void) => void;
  };
  type Answer =
    | { readonly kind: 'served' | 'broken' }
    | {
        readonly kind: 'refused';
        readonly status: number;
        readonly why: string;
        readonly retryAfter: number;
      };
  type Needs = {
    readonly node: string;
    readonly zone: string;
    readonly roster: () => readonly string[];
    readonly hasIdle: (instance: string) => boolean;
    /** What nobody can know in time: the tokens that a server has still to read. For policies that stand for a bound. */
    readonly unread: (instance: string) => number;
    /** Opens a connection; false when none came before the signal. */
    readonly open: (instance: string, signal: AbortSignal) => Promise<boolean>;
    readonly keep: (instance: string) => void;
    readonly tellDark: (instance: string) => void;
    readonly extraTries: RetryLimits;
    /** Hands tokens that are not needed to the pools of all proxies, and asks these for others. */
    readonly sendTokens: Budget.Send;
  };
}

const tendEvery = 500;
/** The multiple of the limit of a warming server that it bears. */
const warmupOvershoot = 1.5;
const connectWithin = { why: 'slow', span: 400 } as const;

type Parts = {
  readonly inFlight: InFlight;
  readonly ejector: Ejector;
  readonly failures: FailureScores;
  readonly slowStart: SlowStart;
  readonly warmup: Warmup;
  readonly placement: Placement;
  readonly budget: Budget;
  readonly healthChecker: HealthChecker;
};

const proverOf = (
  needs: Front.Needs,
  parts: Omit<Parts, 'healthChecker'>,
  newest: () => Compiled | undefined,
): HealthChecker =>
  HealthChecker.of({
    pool: {
      give: ({ server }: Connection) => needs.keep(server.instance),
      async open(server: Compiled.Server, _group: Compiled.Group, signal: AbortSignal) {
        if (!(await needs.open(server.instance, signal))) throw new Error('no connection');
        return { server } as Connection;
      },
    } as unknown as Pool,
    newest,
    isRecentlyHealthy: parts.slowStart.isRecentlyHealthy,
    onUnreachable({ instance }) {
      parts.slowStart.markUnreachable(instance);
      needs.tellDark(instance);
    },
    onRecovered: () => {},
  });

const partsOf = (needs: Front.Needs, compiled: () => Compiled | undefined): Parts => {
  const region = () => compiled()?.regionOf(needs.zone);
  const inFlight = InFlight.of();
  const failures = FailureScores.of();
  const { extraTries, roster } = needs;
  const parts = {
    inFlight,
    failures,
    ejector: Ejector.of(() => {}),
    slowStart: SlowStart.of(needs.node, roster),
    warmup: Warmup.of(needs.node, roster, () => warmupOvershoot),
    placement: Placement.of({
      region,
      inFlight,
      failureCosts: failures.costs,
      hasIdle: needs.hasIdle,
      random: Math.random,
      zone: needs.zone,
      unread: needs.unread,
    } as Placement.Needs & Pick<Front.Needs, 'unread'>),
    budget: Budget.of(needs.sendTokens, extraTries, () => roster().length),
  };
  return { ...parts, healthChecker: proverOf(needs, parts, compiled) };
};

/** What is to be done when a stream has ended. */
const ends = new WeakMap<UpstreamTry, () => void>();

/** One request on its way through a proxy. */
class Serving {
  private readonly rule: Compiled.Rule;
  private readonly deadline: Instant;
  private readonly tried: string[] = [];

  constructor(
    private readonly parts: Parts,
    private readonly compiled: () => Compiled,
    private readonly request: Front.Request,
  ) {
    this.rule = compiled().rules.find(({ name }) => name === request.rule)!;
    this.deadline = Instant.after(Math.min(request.left, this.rule.timeouts.total));
  }

  async serve(): Promise<Front.Answer> {
    const { parts, request, rule } = this;
    let verdict = await this.launch(0, 0);
    for (;;) {
      if (verdict.kind === 'response')
        return { kind: 'refused', status: verdict.result.status, why: 'server', retryAfter: 0 };
      if (verdict.kind === 'refusal') {
        const { status, why, retryAfter } = verdict;
        return request.last() > 0 ? { kind: 'broken' } : { kind: 'refused', status, why, retryAfter };
      }
      const { result: trial } = verdict;
      const how = await request.onStream(trial);
      trial.job.end();
      ends.get(trial)?.();
      if (how === 'done') return { kind: 'served' };
      if (how === 'server') {
        parts.ejector.bad(trial.pick.server, trial.pick.group);
        parts.failures.see(trial.pick.server.instance, 1);
      }
      if (how === 'left' || !rule.isResumable) return { kind: 'broken' };
      verdict = await this.launch(request.last(), verdict.sent);
    }
  }

  private launch(after: number, sent: number): Promise<Tries> {
    const { parts, compiled, request, rule } = this;
    const { parts: prompt } = request.want;
    return Tries.run({
      rule,
      regions: rule.homeRegions ?? compiled().regions,
      key: prompt.length > 1 ? prompt.map(({ key }) => key).join() : undefined,
      want: request.want,
      previous: { tried: [...this.tried], sent },
      deadline: this.deadline,
      signal: request.signal,
      budget: parts.budget,
      pickNeeds: () => this.pickNeeds(),
      run: (pick) => this.run(pick, after),
      onTryEnd: (trial) => Outcome.record(parts, trial),
    });
  }

  private pickNeeds(): Choice.Needs {
    const { parts } = this;
    return {
      compiled: this.compiled(),
      inFlight: parts.inFlight,
      ejector: parts.ejector,
      concurrencyLimit: parts.slowStart.concurrencyLimit,
      connectionLimit: () => Number.POSITIVE_INFINITY,
      isUnreachable: parts.healthChecker.isUnreachable,
      allowsWarmup: parts.warmup.allows,
      mayUseGroup: () => true,
      placement: parts.placement,
      random: Math.random,
    };
  }

  private async run(pick: Choice, after: number): Promise<UpstreamTry> {
    const { parts, request, rule, deadline } = this;
    const { instance } = pick.server;
    this.tried.push(instance);
    const placed = parts.placement.recordSent(pick.server, pick.group, request.want);
    const place = parts.warmup.reserve(instance);
    const weight = rule.aim === undefined ? request.want.bytes : placed.uncached;
    const job = parts.inFlight.begin(instance, weight);
    const watch = this.watchSilence(pick);
    let sentAt = Instant.now();
    const trial = await request.run({
      pick,
      left: Instant.remaining(deadline),
      signal: request.signal,
      after,
      job,
      onSend() {
        sentAt = Instant.now();
        place.confirmSent();
      },
      onPiece(span) {
        watch.heard();
        parts.placement.prefillSpeed.recordEventGap(instance, span);
      },
      connectWithin: connectWithin.span,
      connectWhy: connectWithin.why,
      onEnd: (end) => this.endWhenDark(pick, watch, end),
    });
    place.release();
    if (trial.kind === 'stream') {
      watch.began();
      job.startDecode();
      placed.recordFirstToken(Instant.since(sentAt));
      ends.set(trial, watch.stop);
    } else {
      watch.stop();
      job.end();
    }
    return trial;
  }

  private endWhenDark(
    { server, group }: Choice,
    watch: { onStop: () => void },
    end: (why: UpstreamTry.Reason) => void,
  ): void {
    const { parts, rule } = this;
    if (rule.isOnce) return;
    watch.onStop = parts.healthChecker.watch(server.instance, () => {
      if (parts.budget.held(group.name) >= 1) end('reset');
    });
  }

  /** Suspects the server when it is silent for long, before its first piece and between two. */
  private watchSilence({ server }: Choice) {
    const { parts, rule } = this;
    const gapAfter = Suspicion.pauseAfter(rule.gap);
    let timer = Timer.after(Suspicion.firstAfter(rule.aim), () => {
      parts.healthChecker.suspect(server);
      parts.failures.see(server.instance, Outcome.weights.silent);
    });
    const watch = {
      onStop: () => {},
      heard: () => timer.restart(),
      began() {
        timer.stop();
        if (gapAfter !== undefined) timer = Timer.after(gapAfter, () => parts.healthChecker.suspect(server));
      },
      stop() {
        timer.stop();
        watch.onStop();
      },
    };
    return watch;
  }
}

/** Proxies of the experiment, and the pool of tokens that a core keeps for them. */
export const Front = {
  /** The pools of retry tokens for a number of proxies. */
  pools: (limits: RetryLimits, proxies: number): TokenPools =>
    TokenPools.of(() => RetryLimits.poolCapacity(limits, proxies)),
  compile: (view: View): Compiled => Compiled.of(view)!,
  of(needs: Front.Needs): Front {
    let compiled: Compiled | undefined;
    const parts = partsOf(needs, () => compiled);
    const tending = Timer.every(tendEvery, () => parts.budget.maintain());
    return {
      serve: (request) => new Serving(parts, () => compiled!, request).serve(),
      enforce(next) {
        const before = compiled;
        compiled = next;
        for (const server of next.servers.values()) {
          const group = next.groups.get(server.group)!;
          const known = before?.servers.get(server.instance);
          if (!known || known.warming !== server.warming) parts.warmup.start(server.instance, server.warming);
          if (known?.isOpen === false && server.isOpen && group.warmup)
            parts.warmup.start(server.instance, group.warmup.span);
        }
        parts.budget.retain(next.groups.keys());
        parts.placement.retain(next);
        parts.ejector.retain(next);
        parts.healthChecker.retain(next);
        parts.failures.retain((instance) => next.servers.has(instance));
        for (const kept of [parts.slowStart, parts.warmup])
          kept.retain((instance) => next.servers.has(instance));
      },
      hear: parts.placement.updateLoads,
      hearDark(instance) {
        parts.healthChecker.reportUnreachable(instance);
        parts.slowStart.markUnreachable(instance);
      },
      hearFailures: parts.failures.addReported,
      untold: parts.failures.takeUnreported,
      grant: (transfers) => parts.budget.grant(1, transfers),
      stop() {
        tending.stop();
        parts.healthChecker.stop();
      },
    };
  },
};
