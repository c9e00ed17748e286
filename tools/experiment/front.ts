/**
 * One proxy of the experiment: the product's modules that pick, wait, refuse, try, eject, warm and learn, wired as the
 * proxy wires them, over a network that the experiment gives. This file is bundled, and run by the script alone.
 */

import { Purse } from '../../src/duty/purse.js';
import { Moment } from '../../src/kinds/moment.js';
import { Timer } from '../../src/kinds/timer.js';
import { Compiled } from '../../src/manifest/compiled.js';
import type { View } from '../../src/manifest/view.js';
import { Budget } from '../../src/upstream/budget.js';
import type { Connection } from '../../src/upstream/connection.js';
import { Ejector } from '../../src/upstream/ejector.js';
import { Failures } from '../../src/upstream/failures.js';
import { InFlight } from '../../src/upstream/in-flight.js';
import { Outcome } from '../../src/upstream/outcome.js';
import type { Pick as Choice } from '../../src/upstream/pick.js';
import { Placement } from '../../src/upstream/placement.js';
import type { Pool } from '../../src/upstream/pool.js';
import { Prover } from '../../src/upstream/prover.js';
import { Ramp } from '../../src/upstream/ramp.js';
import { Suspicion } from '../../src/upstream/suspicion.js';
import type { Trial } from '../../src/upstream/trial.js';
import { Tries } from '../../src/upstream/tries.js';
import { Warmup } from '../../src/upstream/warmup.js';

/** A proxy that decides, without sockets. */
export type Front = {
  readonly serve: (request: Front.Request) => Promise<Front.Answer>;
  readonly enforce: (compiled: Compiled) => void;
  readonly hear: (loads: readonly Placement.Load[]) => void;
  /** Another proxy has found a server dark. */
  readonly hearDark: (instance: string) => void;
  readonly hearFailures: (told: readonly Failures.Told[]) => void;
  readonly untold: () => readonly Failures.Told[];
  /** Tokens for extra tries that the pool of all proxies grants. */
  readonly grant: (batches: readonly Purse.Batch[]) => void;
  readonly stop: () => void;
};

export declare namespace Front {
  type Request = {
    readonly rule: string;
    readonly want: Placement.Want;
    readonly left: number;
    readonly signal: AbortSignal;
    /** How a run on a server goes: until its head comes, and then until its end. */
    readonly run: (run: Run) => Promise<Trial>;
    readonly onStream: (trial: Extract<Trial, { kind: 'stream' }>) => Promise<'done' | 'server' | 'left'>;
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
    readonly connectWhy: Trial.Why;
    /** Hands over what ends the run from here, when its server is found dark. */
    readonly onEnd: (end: (why: Trial.Why) => void) => void;
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
    readonly extraTries: { readonly count: number; readonly window: number };
    /** Hands tokens that are not needed to the pool of all proxies, and asks it for others. */
    readonly sendTokens: (batches: readonly Purse.Batch[], wanted: number) => boolean;
  };
}

const tendEvery = 500;
const connectWithin = { why: 'slow', span: 400 } as const;

type Parts = {
  readonly inFlight: InFlight;
  readonly ejector: Ejector;
  readonly failures: Failures;
  readonly ramp: Ramp;
  readonly warmup: Warmup;
  readonly placement: Placement;
  readonly budget: Budget;
  readonly prover: Prover;
};

const proverOf = (
  needs: Front.Needs,
  parts: Omit<Parts, 'prover'>,
  newest: () => Compiled | undefined,
): Prover =>
  Prover.of({
    pool: {
      give: ({ server }: Connection) => needs.keep(server.instance),
      async open(server: Compiled.Server, _group: Compiled.Group, signal: AbortSignal) {
        if (!(await needs.open(server.instance, signal))) throw new Error('no connection');
        return { server } as Connection;
      },
    } as unknown as Pool,
    newest,
    isFresh: parts.ramp.isFresh,
    onDark({ instance }) {
      parts.ramp.doubt(instance);
      needs.tellDark(instance);
    },
    onBack: () => {},
  });

const partsOf = (needs: Front.Needs, compiled: () => Compiled | undefined): Parts => {
  const region = () => compiled()?.regionOf(needs.zone);
  const inFlight = InFlight.of();
  const failures = Failures.of();
  const { extraTries, roster } = needs;
  const parts = {
    inFlight,
    failures,
    ejector: Ejector.of(() => {}),
    ramp: Ramp.of(needs.node, roster),
    warmup: Warmup.of(needs.node, roster),
    placement: Placement.of({
      region,
      inFlight,
      failing: failures.costs,
      hasIdle: needs.hasIdle,
      random: Math.random,
      zone: needs.zone,
      unread: needs.unread,
    } as Placement.Needs & Pick<Front.Needs, 'unread'>),
    budget: Budget.of(needs.sendTokens, {
      tries: extraTries.count,
      window: extraTries.window,
      proxies: () => roster().length,
    }),
  };
  return { ...parts, prover: proverOf(needs, parts, compiled) };
};

/** What is to be done when a stream has ended. */
const ends = new WeakMap<Trial, () => void>();

const serveWith = async (
  parts: Parts,
  compiled: () => Compiled,
  request: Front.Request,
): Promise<Front.Answer> => {
  const { want, signal } = request;
  const rule = compiled().rules.find(({ name }) => name === request.rule)!;
  const regions = rule.homeRegions ?? compiled().regions;
  const deadline = Moment.after(Math.min(request.left, rule.timeouts.total));
  const tried: string[] = [];
  const launch = (after: number, sent: number): Promise<Tries> =>
    Tries.run({
      rule,
      regions,
      key: want.parts.length > 1 ? want.parts.map(({ key }) => key).join() : undefined,
      want,
      before: { tried: [...tried], sent },
      deadline,
      signal,
      budget: parts.budget,
      pick: () => ({
        compiled: compiled(),
        inFlight: parts.inFlight,
        ejector: parts.ejector,
        allowance: parts.ramp.allowance,
        connections: () => Number.POSITIVE_INFINITY,
        isDark: parts.prover.isDark,
        mayWarm: parts.warmup.allows,
        mayGo: () => true,
        placement: parts.placement,
        random: Math.random,
      }),
      async run(pick) {
        tried.push(pick.server.instance);
        const placed = parts.placement.sent(pick.server, pick.group, want);
        const place = parts.warmup.enter(pick.server.instance);
        const job = parts.inFlight.begin(
          pick.server.instance,
          rule.aim === undefined ? want.bytes : placed.uncached,
        );
        let sentAt = Moment.now();
        let forget = () => {};
        let pausing: Timer | undefined;
        const gapAfter = Suspicion.pauseAfter(rule.gap);
        const silent = Timer.after(Suspicion.firstAfter(rule.aim), () => {
          parts.prover.suspect(pick.server);
          parts.failures.see(pick.server.instance, Outcome.weights.silent);
        });
        const trial = await request.run({
          pick,
          left: Moment.left(deadline),
          signal,
          after,
          job,
          onSend() {
            sentAt = Moment.now();
            place.sent();
          },
          onPiece(span) {
            pausing?.again();
            parts.placement.reading.event(pick.server.instance, span);
          },
          connectWithin: connectWithin.span,
          connectWhy: connectWithin.why,
          onEnd(end) {
            if (rule.isOnce) return;
            forget = parts.prover.watch(pick.server.instance, () => {
              if (parts.budget.held() >= 1) end('reset');
            });
          },
        });
        silent.stop();
        place.leave();
        if (trial.kind !== 'stream') forget();
        else if (gapAfter !== undefined)
          pausing = Timer.after(gapAfter, () => parts.prover.suspect(pick.server));
        ends.set(trial, () => {
          pausing?.stop();
          forget();
        });
        if (trial.kind === 'stream') {
          job.toDecode();
          placed.answered(Moment.since(sentAt));
        } else job.end();
        return trial;
      },
      note: (trial) => Outcome.tell(parts, trial),
    });
  let verdict = await launch(0, 0);
  for (;;) {
    if (verdict.kind === 'response')
      return { kind: 'refused', status: verdict.trial.status, why: 'server', retryAfter: 0 };
    if (verdict.kind === 'refusal')
      return request.last() > 0
        ? { kind: 'broken' }
        : { kind: 'refused', status: verdict.status, why: verdict.why, retryAfter: verdict.retryAfter };
    const how = await request.onStream(verdict.trial);
    verdict.trial.job.end();
    ends.get(verdict.trial)?.();
    if (how === 'done') return { kind: 'served' };
    if (how === 'server') {
      parts.ejector.bad(verdict.trial.pick.server, verdict.trial.pick.group);
      parts.failures.see(verdict.trial.pick.server.instance, 1);
    }
    if (how === 'left' || !rule.isResumable) return { kind: 'broken' };
    verdict = await launch(request.last(), verdict.sent);
  }
};

/** Proxies of the experiment, and the pool of tokens that a core keeps for them. */
export const Front = {
  purse: () => Purse.of(),
  compile: (view: View): Compiled => Compiled.of(view)!,
  of(needs: Front.Needs): Front {
    let compiled: Compiled | undefined;
    const parts = partsOf(needs, () => compiled);
    const tending = Timer.every(tendEvery, () => parts.budget.tend());
    return {
      serve: (request) => serveWith(parts, () => compiled!, request),
      enforce(next) {
        const before = compiled;
        compiled = next;
        for (const server of next.servers.values()) {
          const group = next.groups.get(server.group)!;
          const known = before?.servers.get(server.instance);
          if (!known || known.warming !== server.warming) parts.warmup.begin(server.instance, server.warming);
          if (known?.isOpen === false && server.isOpen && group.warmup)
            parts.warmup.begin(server.instance, group.warmup.span);
        }
        parts.placement.retain(next);
        parts.ejector.retain(next);
        parts.prover.retain(next);
        parts.failures.retain((instance) => next.servers.has(instance));
        for (const kept of [parts.ramp, parts.warmup]) kept.retain((instance) => next.servers.has(instance));
      },
      hear: parts.placement.hear,
      hearDark(instance) {
        parts.prover.hear(instance);
        parts.ramp.doubt(instance);
      },
      hearFailures: parts.failures.hear,
      untold: parts.failures.untold,
      grant: (batches) => parts.budget.grant(1, batches),
      stop() {
        tending.stop();
        parts.prover.stop();
      },
    };
  },
};
