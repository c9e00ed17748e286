/**
 * The retry loop of one request. The generator `decide` yields the next step (send a try, pause, wait for a retry
 * token), is resumed with the result of that step and returns the final result; `Tries.run` performs the steps. A
 * request whose rule forbids a second execution (`isOnce`) is retried only if the server certainly did not run it. Once
 * the request has been sent, every further try costs a retry token of the group it goes to, and one deadline and one hop
 * limit apply to all tries together. A request without a token fails at once; only the resumption of a broken stream waits
 * for one.
 */
import { match } from 'ts-pattern';
import type { Id } from '../common/id.js';
import { Instant } from '../common/instant.js';
import { Timer } from '../common/timer.js';
import type { Compiled } from '../manifest/compiled.js';
import type { Budget } from './budget.js';
import { Candidate } from './candidate.js';
import type { Placement } from './placement.js';
import { RetryAfter } from './retry-after.js';
import type { UpstreamTry } from './upstream-try.js';
import { Weights } from './weights.js';

/** The final result of a request: a stream, a complete response, or a refusal that the proxy generates. */
export type Tries =
  | {
      readonly kind: 'stream';
      readonly result: Extract<UpstreamTry, { kind: 'stream' }>;
      readonly tries: number;
      /** Number of servers the request was sent to, including those tried before a broken stream was resumed. */
      readonly sent: number;
    }
  | {
      readonly kind: 'response';
      readonly result: Extract<UpstreamTry, { kind: 'response' }>;
      readonly tries: number;
      readonly isNotRun: boolean;
    }
  | {
      readonly kind: 'refusal';
      readonly status: 502 | 503 | 504;
      readonly why: Tries.Reason;
      /** Milliseconds after which the client may retry; 0 if unknown. */
      readonly retryAfter: number;
      readonly tries: number;
    };

/** Types of the retry loop. */
export declare namespace Tries {
  type Reason = UpstreamTry.Reason | 'no_server' | 'budget' | 'refused' | 'attempts';
  /** Inputs and callbacks of one retry loop. */
  type Plan = {
    readonly rule: Compiled.Rule;
    readonly regions: readonly Id.Region[];
    /** Affinity key, used where the rule asks for affinity. */
    readonly key: string | undefined;
    readonly want: Placement.Request;
    /** Servers and tries already used by this request when a broken stream is resumed. */
    readonly previous: { readonly tried: readonly string[]; readonly sent: number };
    readonly deadline: Instant;
    readonly signal: AbortSignal;
    readonly budget: Budget;
    readonly pickNeeds: () => Candidate.Needs;
    readonly run: (pick: Candidate, tier: Candidate.Tier, hops: number) => Promise<UpstreamTry>;
    /** Called after each try, with what paid for it if it was an extra one. */
    readonly onTryEnd: (result: UpstreamTry, payment: Budget.Payment | undefined) => void;
  };
  /** What the loop does next; `span` is in milliseconds. */
  type Step =
    | {
        readonly kind: 'try';
        readonly pick: Candidate;
        readonly tier: Candidate.Tier;
        readonly hops: number;
        /** The group whose retry budget the request earns for. */
        readonly account: string;
      }
    | { readonly kind: 'pause'; readonly span: number }
    | { readonly kind: 'token'; readonly account: string; readonly span: number };
}

/** A server that was chosen, and the index of its tier. */
type Choice = { readonly pick: Candidate; readonly index: number };

/** Upper bound on how long a Retry-After header keeps a server out of selection, in milliseconds. */
const maxServerRestMs = 5000;
/** A try that could not be sent and costs no token ends the request once it has made more tries than this. */
const maxTriesIfUnsent = 6;
/** How long the resumption of a broken stream waits for a retry token, in milliseconds. */
const maxTokenWaitMs = 300;

/** Whether the server certainly did not run the request: it was not sent, or the response declares it. */
const isSurelyNotRun = (result: UpstreamTry): boolean =>
  result.kind === 'unsent' ||
  (result.kind === 'response' && result.pick.group.isNotRun(result.status, result.headers));

/** Whether the retry policy covers this result. Client disconnects and the total timeout are never retried. */
const isRetriable = (result: UpstreamTry, { on, codes }: Compiled.Retry): boolean =>
  match(result)
    .with({ kind: 'stream' }, () => false)
    .with({ kind: 'unsent' }, ({ why }) => why !== 'left' && why !== 'total' && on.has('connect-failure'))
    .with({ kind: 'lost', why: 'reset' }, () => on.has('reset') || on.has('5xx'))
    .with(
      { kind: 'lost' },
      ({ why }) =>
        why !== 'left' && why !== 'total' && (on.has('5xx') || on.has('gateway-error') || on.has('reset')),
    )
    .with(
      { kind: 'response' },
      ({ status }) =>
        (isSurelyNotRun(result) && on.has('refused-stream')) ||
        (status >= 500 && on.has('5xx')) ||
        (status >= 502 && status <= 504 && on.has('gateway-error')) ||
        (codes.has(status) && on.has('retriable-status-codes')),
    )
    .exhaustive();

/** Exponential backoff with jitter: 50 to 100 percent of the capped interval. */
const backOff = (retry: Compiled.Retry, retryCount: number, random: () => number): number =>
  Math.min(retry.maxBackoffMs, retry.baseBackoffMs * 2 ** retryCount) * (0.5 + random() / 2);

function* decide(plan: Tries.Plan): Generator<Tries.Step, Tries, UpstreamTry | undefined> {
  const { rule } = plan;
  const tiers = Candidate.tiers(rule, plan.regions);
  const tried = new Set<string>(plan.previous.tried);
  let tries = 0;
  let sent = plan.previous.sent;
  let retries = Math.max(0, sent);
  let hops = 0;
  let tierIndex = 0;
  let mayHaveRun = false;
  let lastResult: UpstreamTry | undefined;
  let retryAfter = 0;

  /**
   * The group whose retry budget counts a try: the one that it goes to, or the first group of the rule where the try goes to a
   * fallback, since no request is for a fallback in the first place.
   */
  const accountOf = ({ pick, index }: Choice): string =>
    tiers[index]!.step === rule.steps[0] ? pick.group.name : rule.steps[0]!.groups[0]!;
  const choose = (from: number, isUntried: boolean): Choice | undefined => {
    const needs = plan.pickNeeds();
    for (let index = from; index < tiers.length; index += 1) {
      const eligible = Candidate.eligible(tiers[index]!, needs).filter(
        ({ server }) =>
          needs.ejector.backoffLeft(server) === 0 && (!isUntried || !tried.has(server.instance)),
      );
      const candidates = rule.weights ? Weights.draw(eligible, rule.weights, needs.random) : eligible;
      const want = rule.aim === undefined ? undefined : plan.want;
      const pick = Candidate.choose(candidates, rule.hasAffinity ? plan.key : undefined, needs, want);
      if (pick) return { pick, index };
    }
    return undefined;
  };
  const finish = (why?: Tries.Reason): Tries => {
    if (
      lastResult?.kind === 'response' &&
      why === undefined &&
      !isSurelyNotRun(lastResult) &&
      lastResult.status < 500
    )
      return { kind: 'response', result: lastResult, tries, isNotRun: false };
    const cause: Tries.Reason =
      lastResult?.kind === 'lost' || lastResult?.kind === 'unsent'
        ? lastResult.why
        : lastResult
          ? 'refused'
          : (why ?? 'no_server');
    const isTimeout = ['first_byte', 'per_try', 'total', 'late'].includes(cause);
    const status = !mayHaveRun ? 503 : isTimeout ? 504 : 502;
    return { kind: 'refusal', status, why: why ?? cause, retryAfter, tries };
  };
  const isResumption = sent > 0;
  const isOver = () => plan.signal.aborted || Instant.isPast(plan.deadline);

  if (sent > rule.retry.maxRetries) return finish('attempts');
  if (sent > 0 && isOver()) return finish('total');
  let next = choose(0, true);
  if (!next) {
    const needs = plan.pickNeeds();
    const restTimes = tiers.flatMap((tier) =>
      Candidate.eligible(tier, needs).map(({ server }) => needs.ejector.backoffLeft(server)),
    );
    retryAfter = restTimes.length > 0 ? Math.min(...restTimes) : 0;
    return finish('no_server');
  }
  for (;;) {
    let payment = sent > 0 ? plan.budget.spend(accountOf(next)) : undefined;
    if (sent > 0 && !payment) {
      if (!isResumption) return finish('budget');
      const until = Instant.after(maxTokenWaitMs);
      do {
        if (isOver() || Instant.isPast(until)) return finish('budget');
        yield { kind: 'token', account: accountOf(next), span: Instant.remaining(until) };
        const rechosen = choose(tierIndex, true);
        if (!rechosen || (rechosen.index > tierIndex && hops >= rule.hops)) return finish('no_server');
        if (rechosen.index > tierIndex) hops += 1;
        tierIndex = rechosen.index;
        next = rechosen;
        payment = plan.budget.spend(accountOf(next));
      } while (!payment);
    }
    tierIndex = next.index;
    tried.add(next.pick.server.instance);
    const account = accountOf(next);
    const result = yield { kind: 'try', pick: next.pick, tier: tiers[tierIndex]!, hops, account };
    if (!result) return finish();
    plan.onTryEnd(result, payment);
    tries += 1;
    lastResult = result;
    const isUncharged =
      result.kind === 'unsent' &&
      (result.pick.group.proof !== undefined || ['full', 'slow'].includes(result.why));
    if (!isUncharged) sent += 1;
    if (result.kind === 'stream') return { kind: 'stream', result, tries, sent };
    if (!isSurelyNotRun(result)) mayHaveRun = true;
    if (result.kind === 'response') {
      const retryAfterMs = RetryAfter.parse(result.headers);
      if (retryAfterMs !== undefined) {
        retryAfter = Math.max(retryAfter, retryAfterMs);
        plan.pickNeeds().ejector.backOff(result.pick.server, Math.min(retryAfterMs, maxServerRestMs));
      }
    }
    if (isOver()) return finish();
    if (!isRetriable(result, rule.retry)) return finish();
    if (rule.isOnce && mayHaveRun) return finish();
    if (isUncharged && tries > maxTriesIfUnsent) return finish();
    const canRetry = isUncharged || retries < rule.retry.maxRetries;
    const untried = choose(canRetry ? tierIndex : tierIndex + 1, true);
    const isHop = untried !== undefined && untried.index > tierIndex;
    if (untried && (!isHop || hops < rule.hops)) {
      if (!isUncharged) {
        plan.budget.requestTokens(accountOf(untried));
        yield { kind: 'pause', span: backOff(rule.retry, retries, plan.pickNeeds().random) };
        if (!isHop) retries += 1;
      }
    } else if (canRetry) {
      const eligible = Candidate.eligible(tiers[tierIndex]!, plan.pickNeeds());
      const restTimes = eligible.map(({ server }) => plan.pickNeeds().ejector.backoffLeft(server));
      const waitMs = Math.max(
        Math.min(...restTimes, maxServerRestMs),
        backOff(rule.retry, retries, plan.pickNeeds().random),
      );
      if (eligible.length === 0 || waitMs >= Instant.remaining(plan.deadline)) return finish();
      plan.budget.requestTokens(account);
      yield { kind: 'pause', span: waitMs };
      retries += 1;
    } else return finish();
    if (isOver()) return finish();
    const chosen = choose(isHop ? tierIndex + 1 : tierIndex, true) ?? choose(tierIndex, false);
    if (!chosen) return finish();
    if (chosen.index > tierIndex && hops >= rule.hops) return finish();
    if (chosen.index > tierIndex) hops += 1;
    next = chosen;
  }
}

/** Runs the retry loop. */
export const Tries = {
  async run(plan: Tries.Plan): Promise<Tries> {
    const loop = decide(plan);
    let result: UpstreamTry | undefined;
    for (;;) {
      const step = loop.next(result);
      if (step.done) return step.value;
      if (step.value.kind === 'try') {
        if (result === undefined && plan.previous.sent === 0) plan.budget.earn(step.value.account);
        result = await plan.run(step.value.pick, step.value.tier, step.value.hops);
      } else {
        const span = Math.min(step.value.span, Instant.remaining(plan.deadline));
        if (step.value.kind === 'token')
          await plan.budget.waitForToken(step.value.account, span, plan.signal);
        else await Timer.sleep(span, plan.signal);
      }
    }
  },
};
